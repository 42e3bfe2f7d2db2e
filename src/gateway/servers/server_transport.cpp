#include "gateway/servers/server_transport.h"

#include "gateway/log_event.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

// Connections of a round: enough for servers of several services, in this data centre and others.
constexpr std::size_t RoundConnections = 4;

} // namespace

server_transport::server_transport(http::io_loop &loop, http::connection_pool &pool,
                                   server_directory &directory, const data_center_id &dataCenter,
                                   wire::log &log)
    : m_loop(loop)
    , m_pool(pool)
    , m_directory(directory)
    , m_dataCenter(dataCenter)
    , m_log(log)
    , m_access(loop.clock())
{ }

server_transport::call_id server_transport::start(server_call call)
{
    const auto id = ++m_lastCall;
    const auto open = std::make_shared<open_call>();
    open->wanted = std::move(call);
    m_calls.emplace(id, open);
    sendDirectly(id, open);
    return id;
}

void server_transport::sendDirectly(call_id id, const open_call_ptr &open)
{
    const auto &wanted = open->wanted.call;
    http::outbound_call call;
    call.toHead = wanted.toHead;
    call.isMine = wanted.isMine;
    call.onConnect = [this, open](http::connect_outcome outcome) {
        onConnect(open->wanted.server->record, outcome);
    };
    call.writeHead = [this, open]() -> std::optional<std::string> {
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
    call.onEnd = [this, id](http::call_end how) { onCallEnd(id, how); };
    open->call = m_pool.start(open->wanted.server->record.address, std::move(call));
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

void server_transport::onCallEnd(call_id id, http::call_end how)
{
    const auto node = m_calls.extract(id);
    if (node.empty())
        return;
    const auto open = node.mapped();
    stopAwaiting(*open);
    if (open->wanted.call.onEnd)
        open->wanted.call.onEnd(how);
}

void server_transport::abandon(call_id call)
{
    const auto node = m_calls.extract(call);
    if (node.empty())
        return;
    stopAwaiting(*node.mapped());
    m_pool.abandon(node.mapped()->call);
}

void server_transport::setReading(call_id call, bool reading)
{
    if (const auto found = m_calls.find(call); found != m_calls.end())
        m_pool.setReading(found->second->call, reading);
}

void server_transport::probe(const server_record &to,
                             std::function<void(http::connect_outcome)> onOutcome)
{
    m_pool.connect(to.address,
                   [this, to, onOutcome = std::move(onOutcome)](http::connect_outcome outcome) {
                       onConnect(to, outcome);
                       if (onOutcome)
                           onOutcome(outcome);
                   });
}

void server_transport::onConnect(const server_record &to, http::connect_outcome outcome)
{
    const auto before = m_access.state();
    if (outcome == http::connect_outcome::Connected)
        m_access.onConnected();
    else if (m_access.onConnectFailure(to.id))
        startRound(to);
    reportAccess(before);
}

void server_transport::startRound(const server_record &failed)
{
    const auto targets = m_directory.diverseServers(failed, m_dataCenter, RoundConnections);
    m_access.onRoundStarted(targets.size());
    for (const auto &each : targets) {
        m_pool.connect(each->record.address, [this](http::connect_outcome outcome) {
            const auto before = m_access.state();
            if (outcome == http::connect_outcome::Connected)
                m_access.onConnected();
            else
                m_access.onRoundFailure();
            reportAccess(before);
        });
    }
}

void server_transport::reportAccess(server_access_state before)
{
    const auto now = m_access.state();
    if (now == before)
        return;
    if (now == server_access_state::CutOff || before == server_access_state::CutOff)
        m_log.write(wire::log_level::Warning,
                    m_log.line(wire::log_level::Warning, toName(log_event::ServerAccessChanged))
                        .add("state", toName(now))
                        .add("open_calls", m_calls.size()));
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
