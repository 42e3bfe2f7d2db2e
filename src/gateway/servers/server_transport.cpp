#include "gateway/servers/server_transport.h"

#include "gateway/log_event.h"
#include "gateway/relay/relay_fields.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

// Connections of a round: enough for servers of several services, in this data centre and others.
constexpr std::size_t RoundConnections = 4;
// A connection that takes longer than this starts a round. Connections to other data centres of the
// region open within 40 ms.
constexpr milliseconds SlowConnect{150};
// How long a call waits for the result of a round. The nearest server of a round answers within
// this time, if this node is not cut off.
constexpr milliseconds VerdictTimeout{60};
// How long a list of peers that may relay is used.
constexpr milliseconds RelayListLifetime{250};
// A relay that has sent nothing for a call in this time may be suspended.
constexpr milliseconds SilentRelay{250};

} // namespace

server_transport::server_transport(http::io_loop &loop, http::connection_pool &pool,
                                   server_directory &directory, const data_center_id &dataCenter,
                                   wire::log &log, std::uint32_t seed)
    : m_loop(loop)
    , m_pool(pool)
    , m_directory(directory)
    , m_dataCenter(dataCenter)
    , m_log(log)
    , m_access(loop.clock())
    , m_relays(loop.clock(), dataCenter, seed)
{ }

server_transport::call_id server_transport::start(server_call call)
{
    return add(std::move(call), m_findRelays != nullptr);
}

server_transport::call_id server_transport::startDirect(server_call call)
{
    return add(std::move(call), false);
}

server_transport::call_id server_transport::add(server_call call, bool mayBeRelayed)
{
    const auto open = std::make_shared<open_call>();
    open->id = ++m_lastCall;
    open->wanted = std::move(call);
    open->mayBeRelayed = mayBeRelayed;
    m_calls.emplace(open->id, open);
    if (mayBeRelayed && m_access.state() == server_access_state::CutOff)
        sendByRelay(open);
    else
        sendDirectly(open);
    return open->id;
}

void server_transport::sendDirectly(const open_call_ptr &open)
{
    const auto &wanted = open->wanted.call;
    http::outbound_call call;
    call.toHead = wanted.toHead;
    call.maxBodyBytes = wanted.maxBodyBytes;
    call.ownerOf = wanted.ownerOf;
    // Answers to the node's own calls, such as stage calls, name no call.
    if (!wanted.ownerOf)
        call.ownerOf = [](const http::response_head &) { return http::answer_owner::Unnamed; };
    call.onConnect = [this, open](http::connect_outcome outcome) {
        open->connectOutcome = outcome;
        if (outcome == http::connect_outcome::Connected)
            onConnected();
        else
            onConnectFailure(open->wanted.server->record);
    };
    call.writeHead = [this, open]() -> std::optional<std::string> {
        cancelTimers(*open);
        open->written = true;
        auto text = open->wanted.call.writeHead();
        if (!text)
            return std::nullopt;
        open->awaitsAnswer = true;
        m_access.onCallSent();
        text->append(std::exchange(open->wanted.call.body, {}));
        return text;
    };
    call.onHead = [this, open](const http::response_head &head) {
        onAnswerBytes(*open);
        if (open->wanted.call.onHead)
            open->wanted.call.onHead(head);
    };
    call.onBody = [this, open](std::string_view bytes) {
        onAnswerBytes(*open);
        if (open->wanted.call.onBody)
            open->wanted.call.onBody(bytes);
    };
    call.onEnd = [this, open](http::call_end how) { onDirectEnd(open, how); };
    open->call = m_pool.start(open->wanted.server->record.address, std::move(call));
    open->slowTimer = m_loop.callAfter(SlowConnect, [this, open] {
        open->slowTimer = 0;
        if (m_calls.contains(open->id))
            onConnectTrouble(open);
    });
}

void server_transport::onDirectEnd(const open_call_ptr &open, http::call_end how)
{
    const bool notConnected =
        open->connectOutcome && *open->connectOutcome != http::connect_outcome::Connected;
    if (!notConnected || how != http::call_end::NotSent) {
        finish(open, how);
        return;
    }
    open->call = 0;
    if (open->verdictTimer == 0)
        onConnectTrouble(open);
}

// Until the round has a result, it isn't known whether the server is down or this node is cut off.
void server_transport::onConnectTrouble(const open_call_ptr &open)
{
    if (!open->connectOutcome)
        onConnectFailure(open->wanted.server->record);
    if (m_access.state() != server_access_state::Reachable && open->verdictTimer == 0) {
        m_waiting.push_back(open);
        open->verdictTimer = m_loop.callAfter(VerdictTimeout, [this, open] {
            open->verdictTimer = 0;
            if (m_calls.contains(open->id))
                sendElsewhere(open);
        });
    } else if (open->call == 0 && open->verdictTimer == 0) {
        finish(open, http::call_end::NotSent);
    }
    if (m_access.state() == server_access_state::CutOff)
        decideWaitingCalls();
}

void server_transport::decideWaitingCalls()
{
    const bool cutOff = m_access.state() == server_access_state::CutOff;
    for (const auto &weak : std::exchange(m_waiting, {})) {
        const auto open = weak.lock();
        if (!open || !m_calls.contains(open->id) || open->verdictTimer == 0)
            continue;
        m_loop.cancelTimer(std::exchange(open->verdictTimer, 0));
        if (cutOff)
            sendElsewhere(open);
        else if (open->call == 0)
            finish(open, http::call_end::NotSent);
    }
}

void server_transport::refreshRelays()
{
    const auto now = m_loop.now();
    if (m_relaysRefreshedAt != steady_time{} && now - m_relaysRefreshedAt < RelayListLifetime)
        return;
    m_relaysRefreshedAt = now;
    m_relays.setCandidates(m_findRelays());
}

void server_transport::sendElsewhere(const open_call_ptr &open)
{
    if (open->mayBeRelayed) {
        sendByRelay(open);
        return;
    }
    if (open->call != 0)
        m_pool.abandon(std::exchange(open->call, 0));
    finish(open, http::call_end::NotSent);
}

void server_transport::sendByRelay(const open_call_ptr &open)
{
    refreshRelays();
    const auto relay = open->relaysTried < MaxRelaysTried
        ? m_relays.choose(open->wanted.server->region, open->failedRelays)
        : std::nullopt;
    if (!relay) {
        if (open->call != 0)
            return; // the direct connection may still open
        // Posted, since no event may be reported before `start` has returned.
        m_loop.post([this, open] {
            if (m_calls.contains(open->id))
                finish(open, http::call_end::NotSent);
        });
        return;
    }
    cancelTimers(*open);
    if (open->call != 0)
        m_pool.abandon(open->call);
    ++open->relaysTried;
    ++m_relayedCalls;
    open->relay = relay->vm;
    open->relayedAt = m_loop.now();
    open->relayResult.reset();
    m_relays.onStarted(relay->vm);
    open->call = m_pool.start(relay->address, relayCall(open, *relay));
}

// A relay may refuse the call and another one may get it, so the text is kept until then.
std::optional<std::string> server_transport::writeRelayedHead(open_call &open)
{
    if (open.text.empty()) {
        open.written = true;
        auto head = open.wanted.call.writeHead();
        if (!head)
            return std::nullopt;
        open.writtenAt = m_loop.now();
        open.text = std::move(*head);
        open.text.append(std::exchange(open.wanted.call.body, {}));
    }
    relay_order order;
    order.server = open.wanted.server->record.id;
    order.startedAt = open.wanted.server->record.startedAt;
    order.age = std::chrono::duration_cast<milliseconds>(m_loop.now() - open.writtenAt);
    order.request = open.wanted.request;
    order.repeatable = open.wanted.repeatable;
    auto text = open.text;
    insertOrder(text, order);
    return text;
}

http::outbound_call server_transport::relayCall(const open_call_ptr &open,
                                                const relay_candidate &relay)
{
    const auto &wanted = open->wanted.call;
    http::outbound_call call;
    call.toHead = wanted.toHead;
    call.maxBodyBytes = wanted.maxBodyBytes;
    call.writeHead = [this, open, relay]() -> std::optional<std::string> {
        auto text = writeRelayedHead(*open);
        if (text && !open->wanted.request.empty())
            m_log.write(wire::log_level::Info,
                        m_log.line(wire::log_level::Info, toName(log_event::CallRelayed))
                            .add("request", open->wanted.request)
                            .add("server", open->wanted.server->record.id.value)
                            .add("by", relay.vm.value));
        return text;
    };
    call.ownerOf = [open](const http::response_head &head) {
        const auto &ownerOfAnswer = open->wanted.call.ownerOf;
        const bool forwarded = findResult(head.fields) == relay_result::Forwarded;
        const bool other =
            forwarded && ownerOfAnswer && ownerOfAnswer(head) == http::answer_owner::OtherCall;
        return other ? http::answer_owner::OtherCall : http::answer_owner::ThisCall;
    };
    call.onHead = [open](const http::response_head &head) {
        auto answer = head;
        open->relayResult = takeResult(answer.fields).value_or(relay_result::Busy);
        if (takeEndsWithConnection(answer.fields))
            answer.chunked = false;
        if (open->relayResult != relay_result::Forwarded)
            return;
        open->text = {};
        if (open->wanted.call.onHead)
            open->wanted.call.onHead(answer);
    };
    call.onBody = [open](std::string_view bytes) {
        if (open->relayResult == relay_result::Forwarded && open->wanted.call.onBody)
            open->wanted.call.onBody(bytes);
    };
    call.onEnd = [this, open, relay](http::call_end how) { onRelayEnd(open, relay, how); };
    return call;
}

void server_transport::onRelayEnd(const open_call_ptr &open, const relay_candidate &relay,
                                  http::call_end how)
{
    open->call = 0;
    open->relay.reset();
    m_relays.onEnded(relay.vm);
    const bool refused = how == http::call_end::Complete && open->relayResult
        && *open->relayResult != relay_result::Forwarded;
    const bool withheld = how == http::call_end::NotSent && open->written && open->text.empty();
    const bool unreached = how == http::call_end::NotSent && !withheld;
    if (!refused && !unreached) {
        finish(open, how);
        return;
    }
    if (refused && !concernsRelayOnly(*open->relayResult)) {
        finish(open, http::call_end::NotSent);
        return;
    }
    const auto why = refused ? open->relayResult : std::nullopt;
    m_relays.onRefused(relay.vm, why);
    // The peers beside this one may be cut off like it.
    if (!why || why == relay_result::CutOff)
        open->failedRelays.push_back(relay.dataCenter);
    sendByRelay(open);
}

void server_transport::onAnswerBytes(open_call &open)
{
    stopAwaiting(open);
    m_access.onReceived();
}

void server_transport::stopAwaiting(open_call &open)
{
    if (std::exchange(open.awaitsAnswer, false))
        m_access.onCallEnded();
}

void server_transport::cancelTimers(open_call &open)
{
    m_loop.cancelTimer(std::exchange(open.slowTimer, 0));
    m_loop.cancelTimer(std::exchange(open.verdictTimer, 0));
}

void server_transport::finish(const open_call_ptr &open, http::call_end how)
{
    if (m_calls.erase(open->id) == 0)
        return;
    cancelTimers(*open);
    stopAwaiting(*open);
    if (open->wanted.call.onEnd)
        open->wanted.call.onEnd(how);
}

void server_transport::abandon(call_id call)
{
    const auto node = m_calls.extract(call);
    if (node.empty())
        return;
    auto &open = *node.mapped();
    cancelTimers(open);
    stopAwaiting(open);
    if (open.relay) {
        m_relays.onEnded(*open.relay);
        if (!open.relayResult && m_loop.now() - open.relayedAt >= SilentRelay)
            m_relays.onUnanswered(*open.relay);
    }
    m_pool.abandon(open.call);
}

bool server_transport::isLost(call_id call) const
{
    const auto found = m_calls.find(call);
    return found != m_calls.end() && found->second->written && !found->second->relay
        && m_access.state() == server_access_state::CutOff && m_access.silentSinceFailure();
}

void server_transport::setReading(call_id call, bool reading)
{
    if (const auto found = m_calls.find(call); found != m_calls.end())
        m_pool.setReading(found->second->call, reading);
}

void server_transport::probe(const server_record &to,
                             std::function<void(http::connect_outcome)> onOutcome)
{
    connect(to, std::move(onOutcome), [this, to] { onConnectFailure(to); });
}

// A connection that takes longer than usual counts as failed until it opens after all.
void server_transport::connect(const server_record &to,
                               std::function<void(http::connect_outcome)> onOutcome,
                               std::function<void()> onFailure)
{
    const auto failed = std::make_shared<bool>(false);
    const auto fail = [failed, onFailure = std::move(onFailure)] {
        if (!std::exchange(*failed, true))
            onFailure();
    };
    const auto slowTimer = m_loop.callAfter(SlowConnect, fail);
    m_pool.connect(
        to.address,
        [this, slowTimer, fail, onOutcome = std::move(onOutcome)](http::connect_outcome outcome) {
            m_loop.cancelTimer(slowTimer);
            if (outcome == http::connect_outcome::Connected)
                onConnected();
            else
                fail();
            if (onOutcome)
                onOutcome(outcome);
        });
}

void server_transport::onConnected()
{
    m_access.onConnected();
    reportAccess();
}

void server_transport::onConnectFailure(const server_record &to)
{
    if (m_access.onConnectFailure(to.id))
        startRound(to);
}

void server_transport::startRound(const server_record &failed)
{
    const auto targets = m_directory.diverseServers(failed, m_dataCenter, RoundConnections);
    m_access.onRoundStarted(targets.size());
    reportAccess();
    for (const auto &each : targets)
        connect(each->record, {}, [this] {
            m_access.onRoundFailure();
            reportAccess();
        });
}

void server_transport::reportAccess()
{
    const auto now = m_access.state();
    const auto before = std::exchange(m_reportedAccess, now);
    if (now == before)
        return;
    if (now == server_access_state::CutOff || before == server_access_state::CutOff)
        m_log.write(wire::log_level::Warning,
                    m_log.line(wire::log_level::Warning, toName(log_event::ServerAccessChanged))
                        .add("state", toName(now))
                        .add("open_calls", m_calls.size())
                        .add("relayed_calls", m_relayedCalls));
    if (now != server_access_state::Checking)
        decideWaitingCalls();
    if (m_onAccessChanged)
        m_onAccessChanged(now);
}

void server_transport::tick()
{
    if (!m_access.isProbeDue())
        return;
    if (const auto target = m_directory.nextUsableServer())
        probe(target->record, {});
}

} // namespace orchidlead::gateway
