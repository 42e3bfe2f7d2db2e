#include "daemon/daemon.h"

#include "core/settings/socket_address_text.h"
#include "daemon/daemon_options.h"

#include <utility>

namespace orchidlead::daemon {

namespace {

constexpr milliseconds StopTickInterval{20};
constexpr milliseconds GateTickInterval{250};
constexpr std::size_t MaxDatagramBytes = 1100;

socket_address withPort(socket_address address, std::uint16_t port)
{
    address.port = port;
    return address;
}

} // namespace

orchidlead_daemon::orchidlead_daemon(net::event_loop &loop, const clock_source &clock,
                                     const process_settings &settings, incarnation start,
                                     wire::log &log, std::function<void()> onStopped)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_started(clock.now())
    , m_client(net::http_client::create(loop))
    , m_reporter(log)
    , m_news(loop, clock, settings.vm, newsEvents())
    , m_shell(loop, *m_client, clock, nodeOptions(settings, start), start, nodeHooks())
    , m_control(loop, *m_client, clock, controlOptions(settings, start), controlEvents())
    , m_peers(loop, *m_client, clock, settings.vm, callerOptions(settings).bounds, peerEvents())
    , m_callerApi(m_shell, callerOptions(settings), [this] { return notReady(); })
    , m_operatorApi(m_shell.state(), m_control.state(), clock, operatorHooks())
    , m_stop(stopOptions(settings), clock)
    , m_onStopped(std::move(onStopped))
{ }

orchidlead_daemon::~orchidlead_daemon()
{
    m_loop.cancelTimer(m_stopTimer);
    m_loop.cancelTimer(m_gateTimer);
}

result<void, daemon_error> orchidlead_daemon::start()
{
    if (auto listening = listen(); !listening)
        return listening;
    if (auto started = m_control.start(); !started)
        return failure(daemon_error{"peer address: " + started.error().what});
    tickAtMostOnce();
    return success();
}

result<void, daemon_error> orchidlead_daemon::listen()
{
    auto callers = net::http_server::create(
        m_loop, callerServerOptions(m_settings),
        [this](net::http_request &&request, const net::response_ptr &response) {
            refreshAdmission();
            m_callerApi.handle(std::move(request), response);
        });
    if (!callers)
        return failure(daemon_error{"caller address: " + callers.error().what});
    m_callerServer = std::move(callers).value();
    auto operators = net::http_server::create(
        m_loop, operatorServerOptions(m_settings),
        [this](net::http_request &&request, const net::response_ptr &response) {
            m_operatorApi.handle(std::move(request), response);
        });
    if (!operators)
        return failure(daemon_error{"operator address: " + operators.error().what});
    m_operatorServer = std::move(operators).value();
    if (auto peers = m_peers.listen(peerServerOptions(m_settings)); !peers)
        return failure(daemon_error{"peer address: " + peers.error().what});
    return success();
}

std::string orchidlead_daemon::addresses() const
{
    const listen_settings &listen = m_settings.listen;
    return "caller " + toText(withPort(listen.caller, m_callerServer->port())) + " operator "
        + toText(withPort(listen.operators, m_operatorServer->port())) + " peer "
        + toText(listen.peer);
}

node_hooks orchidlead_daemon::nodeHooks()
{
    node_hooks hooks;
    hooks.onDecision = [this](const auto &decision) { m_reporter.onDecision(decision); };
    hooks.onEnded = [this](const auto &ended) { m_reporter.onEnded(ended); };
    hooks.onServerNews = [this](const leaving_update &news) { m_news.onTold(news); };
    hooks.detectPause = [this] { m_control.detectPause(); };
    hooks.forward = [this](const forward_call &call) { m_peers.forward(call); };
    return hooks;
}

control_events orchidlead_daemon::controlEvents()
{
    control_events events;
    events.onConfiguration = [this](const auto &adopted) {
        m_reporter.onConfiguration(adopted);
        m_shell.setConfiguration(adopted.configuration);
    };
    events.onRefused = [this](const auto &refused) { m_reporter.onRefused(refused); };
    events.onConfigurationReport = [this](const auto &report) {
        m_reporter.onConfigurationReport(report);
        applyAdmission();
    };
    events.onMembers = [this](const auto &update) { m_shell.setMembers(update); };
    events.onMemberChanged = [this](const auto &changed) {
        m_reporter.onMemberChanged(changed);
        const bool near = changed.now.vm.dataCenter == m_settings.dataCenter;
        if (near && changed.now.state == member_state::Alive)
            m_news.tellNewcomer(changed.now);
    };
    events.onPaused = [this](const auto &pause) {
        m_reporter.onPaused(pause);
        applyAdmission();
    };
    events.onSuperseded = [this](const superseded &) { beginStop(); };
    events.fetchFromPeer = [this](const auto &fetch) { fetchFromPeer(fetch); };
    events.onDatagram = [this](datagram_kind kind, const auto &from, std::string_view bytes) {
        const vm_id sender = vmAt(from);
        if (kind == datagram_kind::Gate)
            onAtMostOnceMessage(sender, bytes);
        else if (!sender.empty())
            m_news.onDatagram(bytes);
    };
    return events;
}

news_exchange_events orchidlead_daemon::newsEvents()
{
    news_exchange_events events;
    events.members = [this]() -> const auto &
    {
        return m_shell.state().members();
    };
    events.send = [this](const socket_address &to, std::string_view bytes) {
        m_control.sendDatagram(datagram_kind::ServerNews, to, bytes);
    };
    events.onHeard = [this](const leaving_update &news) { m_shell.onHeard(news); };
    return events;
}

peer_link_events orchidlead_daemon::peerEvents()
{
    peer_link_events events;
    events.fetchConfiguration =
        [this](std::uint64_t version) -> std::optional<wire::configuration_content> {
        const auto &manager = m_control.state().manager();
        if (manager.stamp().version == 0 || manager.stamp().version < version)
            return std::nullopt;
        return wire::configuration_content{manager.stamp().version, manager.content()};
    };
    events.onAtMostOnceMessage = [this](const vm_id &from, const std::string &bytes) {
        onAtMostOnceMessage(from, bytes);
    };
    events.onForwarded = [this](caller_request request, peer_answer onEnd) {
        refreshAdmission();
        m_shell.submit(std::move(request), {{}, std::move(onEnd)});
    };
    events.onForwardAnswer = [this](const request_id &request, final_answer answer) {
        m_shell.onForwardAnswer(request, std::move(answer));
    };
    events.onForwardFailed = [this](const request_id &request, const std::string &detail) {
        m_shell.onForwardFailed(request, detail);
    };
    events.onContent = [this](const vm_id &vm, std::uint64_t version, std::string content) {
        m_control.onPeerContent(vm, version, std::move(content));
    };
    events.onContentFailed = [this](const vm_id &vm) { m_control.onPeerFailed(vm); };
    return events;
}

std::optional<socket_address> orchidlead_daemon::addressOf(const vm_id &vm) const
{
    const auto found = m_control.state().members().find(vm);
    if (!found)
        return std::nullopt;
    return found->vm.peerAddress;
}

vm_id orchidlead_daemon::vmAt(const socket_address &address) const
{
    for (const auto &entry : m_shell.state().members()) {
        if (entry.vm.peerAddress == address)
            return entry.vm.vm;
    }
    return {};
}

void orchidlead_daemon::fetchFromPeer(const fetch_from_peer &fetch)
{
    if (const auto address = addressOf(fetch.vm))
        m_peers.fetchConfiguration(*address, fetch);
    else
        m_loop.post([this, vm = fetch.vm] { m_control.onPeerFailed(vm); });
}

void orchidlead_daemon::onAtMostOnceMessage(const vm_id &from, std::string_view bytes)
{
    if (from.empty())
        return;
    std::vector<peer_message> answers;
    m_shell.onAtMostOnceMessage(from, bytes, answers);
    send(answers);
}

void orchidlead_daemon::send(const std::vector<peer_message> &messages)
{
    for (const auto &message : messages) {
        const auto address = addressOf(message.to);
        if (!address)
            continue;
        if (message.bulk || message.bytes.size() > MaxDatagramBytes)
            m_peers.sendGateMessage(*address, message.bytes);
        else
            m_control.sendDatagram(datagram_kind::Gate, *address, message.bytes);
    }
}

void orchidlead_daemon::tickAtMostOnce()
{
    std::vector<peer_message> messages;
    m_shell.tickAtMostOnce(messages);
    send(messages);
    m_gateTimer = m_loop.callAfter(GateTickInterval, [this] { tickAtMostOnce(); });
}

// A pause is noticed before anything is taken on, so that nothing is routed by what was true
// before.
void orchidlead_daemon::refreshAdmission()
{
    m_control.detectPause();
    applyAdmission();
}

void orchidlead_daemon::applyAdmission()
{
    const bool confirmed = m_control.state().readyToServe();
    const bool refuses = m_stop.stopping() && m_stop.phase() != stop_phase::Noticing;
    if (refuses)
        m_shell.setAdmission(admission_state::Stopping);
    else
        m_shell.setAdmission(confirmed ? admission_state::Open : admission_state::Unconfirmed);
    m_shell.setConfirmed(confirmed);
    reportReadiness();
}

void orchidlead_daemon::reportReadiness()
{
    const auto reason = notReady();
    const std::string now = reason.value_or("");
    if (now == m_reportedReason)
        return;
    m_reportedReason = now;
    if (reason)
        m_reporter.onEvent(wire::log_level::Warning, wire::node_event::NotReady, now);
    else
        m_reporter.onEvent(wire::log_level::Info, wire::node_event::Ready, "");
}

operator_hooks orchidlead_daemon::operatorHooks()
{
    operator_hooks hooks;
    hooks.status = [this] { return status(); };
    hooks.metrics = [this] { return m_reporter.metricsText(metricSources()); };
    hooks.drain = [this] { beginStop(); };
    return hooks;
}

metric_sources orchidlead_daemon::metricSources() const
{
    metric_sources sources{m_shell.state(), m_control.state()};
    sources.ready = !notReady();
    sources.connections = m_callerServer->connections();
    const wire::peer_client &client = m_peers.client();
    const wire::peer_counts &served = m_peers.served();
    sources.peerCalls = {client.calls(), served.messages, client.bytesOut() + served.bytesOut,
                         client.bytesIn() + served.bytesIn};
    sources.configurationReads = m_control.configurationReads();
    sources.vmListReads = m_control.vmListReads();
    return sources;
}

std::optional<std::string> orchidlead_daemon::notReady() const
{
    if (m_stop.stopping())
        return "stopping";
    if (!m_shell.state().configuration())
        return "no_configuration";
    if (!m_control.state().readyToServe())
        return "confirming";
    return std::nullopt;
}

node_phase orchidlead_daemon::phase() const
{
    if (m_stop.stopping())
        return node_phase::Stopping;
    if (!m_shell.state().configuration())
        return node_phase::Starting;
    return m_control.state().readyToServe() ? node_phase::Serving : node_phase::Confirming;
}

process_status orchidlead_daemon::status() const
{
    process_status out;
    out.phase = phase();
    out.reason = notReady().value_or("");
    out.uptime = std::chrono::duration_cast<milliseconds>(m_clock.now() - m_started);
    out.connections = m_callerServer->connections();
    return out;
}

void orchidlead_daemon::beginStop()
{
    if (m_stop.stopping())
        return;
    m_stop.begin();
    enter(stop_phase::Noticing);
    tickStop();
}

stop_progress orchidlead_daemon::progress() const
{
    stop_progress out;
    out.idle = m_shell.state().idle();
    out.keysHandedOver = m_shell.state().keysHandedOver();
    out.lastDeadline = m_shell.state().lastDeadline();
    out.connectionsClosed = m_callerServer->connections() == 0;
    return out;
}

void orchidlead_daemon::tickStop()
{
    if (const auto phase = m_stop.tick(progress()))
        enter(*phase);
    if (m_stop.phase() != stop_phase::Stopped)
        m_stopTimer = m_loop.callAfter(StopTickInterval, [this] { tickStop(); });
}

void orchidlead_daemon::enter(stop_phase phase)
{
    m_reporter.onEvent(wire::log_level::Info, wire::node_event::Stopping, toName(phase));
    switch (phase) {
    case stop_phase::Running:
        break;
    case stop_phase::Noticing:
        reportReadiness();
        m_callerServer->stopKeepAlive();
        m_control.announceLeaving();
        break;
    case stop_phase::Draining:
        refreshAdmission();
        m_shell.startKeyHandover();
        break;
    case stop_phase::Closing:
        m_callerServer->stopListening();
        break;
    case stop_phase::Stopped:
        m_control.announceStopped();
        m_onStopped();
        break;
    }
}

} // namespace orchidlead::daemon
