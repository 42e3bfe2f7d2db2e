#pragma once

#include "core/node/planned_stop.h"
#include "core/settings/settings.h"
#include "daemon/caller_api.h"
#include "daemon/control_shell.h"
#include "daemon/news_exchange.h"
#include "daemon/node_shell.h"
#include "daemon/operator_api.h"
#include "daemon/peer_link.h"
#include "daemon/reporter.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <orchidlead/clock.h>
#include <orchidlead/result.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::daemon {

/// Says why the daemon couldn't start.
struct daemon_error
{
    std::string what;
};

/// Assembles one node from its settings and runs it until its planned stop is over.
class orchidlead_daemon
{
public:
    orchidlead_daemon(net::event_loop &loop, const clock_source &clock,
                      const process_settings &settings, incarnation start, wire::log &log,
                      std::function<void()> onStopped);
    ~orchidlead_daemon();
    orchidlead_daemon(const orchidlead_daemon &) = delete;
    orchidlead_daemon &operator=(const orchidlead_daemon &) = delete;

    /// Binds all addresses.
    [[nodiscard]] result<void, daemon_error> start();

    /// Begins the planned stop; `onStopped` is called when it is over.
    void beginStop();

    /// Why the balancer shouldn't send requests here now; nothing: it should.
    [[nodiscard]] std::optional<std::string> notReady() const;

    /// Addresses that are listened on, for people and tests: one line.
    [[nodiscard]] std::string addresses() const;

private:
    [[nodiscard]] node_hooks nodeHooks();
    [[nodiscard]] control_events controlEvents();
    [[nodiscard]] operator_hooks operatorHooks();
    [[nodiscard]] node_phase phase() const;
    [[nodiscard]] process_status status() const;
    [[nodiscard]] stop_progress progress() const;
    [[nodiscard]] result<void, daemon_error> listen();
    [[nodiscard]] news_exchange_events newsEvents();
    [[nodiscard]] peer_link_events peerEvents();
    [[nodiscard]] metric_sources metricSources() const;
    [[nodiscard]] std::optional<socket_address> addressOf(const vm_id &vm) const;
    [[nodiscard]] vm_id vmAt(const socket_address &address) const;
    void fetchFromPeer(const fetch_from_peer &fetch);
    void onAtMostOnceMessage(const vm_id &from, std::string_view bytes);
    void send(const std::vector<peer_message> &messages);
    void tickAtMostOnce();
    void refreshAdmission();
    void applyAdmission();
    void reportReadiness();
    void tickStop();
    void enter(stop_phase phase);

    net::event_loop &m_loop;
    const clock_source &m_clock;
    const process_settings m_settings;
    const steady_time m_started;
    std::unique_ptr<net::http_client> m_client;
    reporter m_reporter;
    news_exchange m_news;
    node_shell m_shell;
    control_shell m_control;
    peer_link m_peers;
    caller_api m_callerApi;
    operator_api m_operatorApi;
    planned_stop m_stop;
    std::function<void()> m_onStopped;
    std::unique_ptr<net::http_server> m_callerServer;
    std::unique_ptr<net::http_server> m_operatorServer;
    std::string m_reportedReason = "starting"; ///< why the node wasn't ready, when last logged
    net::timer_id m_stopTimer = 0;
    net::timer_id m_gateTimer = 0;
};

} // namespace orchidlead::daemon
