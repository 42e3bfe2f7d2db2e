#include "daemon/daemon.h"

#include "core/socket_address_text.h"
#include "daemon/daemon_options.h"

#include <utility>

namespace orchidlead::daemon {

namespace {

constexpr milliseconds StopTickInterval{20};

socket_address withPort(socket_address address, std::uint16_t port)
{
    address.port = port;
    return address;
}

} // namespace

orchidlead_daemon::orchidlead_daemon(net::event_loop &loop, const clock_source &clock,
                                     const process_settings &settings, incarnation start)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_started(clock.now())
    , m_client(net::http_client::create(loop))
    , m_shell(loop, *m_client, clock, nodeSettings(settings, start), start, nodeHooks())
    , m_control(loop, *m_client, clock, controlOptions(settings, start), controlEvents())
    , m_callerApi(m_shell, callerOptions(settings), [this] { return notReady(); })
    , m_operatorApi(m_shell.state(), clock, operatorHooks())
    , m_stop(stopOptions(settings), clock)
{ }

orchidlead_daemon::~orchidlead_daemon()
{
    m_loop.cancelTimer(m_stopTimer);
}

result<void, daemon_error> orchidlead_daemon::start()
{
    if (auto listening = listen(); !listening)
        return listening;
    if (auto started = m_control.start(); !started)
        return failure(daemon_error{"peer address: " + started.error().what});
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
    hooks.onDecision = [](const log_decision &) {};
    hooks.forward = [this](const forward_call &call) {
        m_loop.post([this, id = call.request] { m_shell.onForwardFailed(id, "unreachable"); });
    };
    return hooks;
}

control_events orchidlead_daemon::controlEvents()
{
    control_events events;
    events.onConfiguration = [this](const auto &adopted) {
        m_shell.setConfiguration(adopted.configuration);
    };
    events.onRefused = [](const reject_configuration &) {};
    events.onKeeperReport = [](const keeper_report &) {};
    events.onMembers = [this](const members_updated &update) { m_shell.setMembers(update); };
    events.onMemberChanged = [](const member_changed &) {};
    events.onPaused = [](const paused &) {};
    events.onSuperseded = [this](const superseded &) { beginStop(); };
    events.fetchFromPeer = [this](const fetch_from_peer &fetch) {
        m_loop.post([this, vm = fetch.vm] { m_control.onPeerFailed(vm); });
    };
    return events;
}

// A pause is noticed before anything is taken on, so that nothing is routed by what was true
// before.
void orchidlead_daemon::refreshAdmission()
{
    m_control.noticePause();
    const bool refuses = m_stop.stopping() && m_stop.phase() != stop_phase::Noticing;
    if (refuses)
        m_shell.setAdmission(admission_state::Stopping);
    else if (m_control.state().readyToServe())
        m_shell.setAdmission(admission_state::Open);
    else
        m_shell.setAdmission(admission_state::Unconfirmed);
}

operator_hooks orchidlead_daemon::operatorHooks()
{
    operator_hooks hooks;
    hooks.status = [this] { return status(); };
    hooks.metrics = [] { return std::string{}; };
    hooks.drain = [this] { beginStop(); };
    return hooks;
}

std::optional<std::string> orchidlead_daemon::notReady() const
{
    if (m_stop.stopping())
        return "stopping";
    if (!m_shell.state().configuration())
        return "no_configuration";
    if (!m_control.state().readyToServe())
        return "paused";
    return std::nullopt;
}

node_phase orchidlead_daemon::phase() const
{
    if (m_stop.stopping())
        return node_phase::Stopping;
    if (!m_shell.state().configuration())
        return node_phase::Starting;
    return m_control.state().readyToServe() ? node_phase::Serving : node_phase::Paused;
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
    out.handedOver = true;
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
    switch (phase) {
    case stop_phase::Running:
        break;
    case stop_phase::Noticing:
        m_callerServer->stopKeepAlive();
        m_control.announceLeaving();
        break;
    case stop_phase::Draining:
        refreshAdmission();
        break;
    case stop_phase::Closing:
        m_callerServer->stopListening();
        break;
    case stop_phase::Stopped:
        m_control.announceStopped();
        m_loop.stop();
        break;
    }
}

} // namespace orchidlead::daemon
