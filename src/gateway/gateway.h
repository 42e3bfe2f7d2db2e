#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/startup_queue.h"
#include "gateway/peers/lost_data_center_relay.h"
#include "gateway/publication/list_confirmer.h"
#include "gateway/publication/publication_relay.h"
#include "gateway/publication/published_state.h"
#include "gateway/publication/store_history_reader.h"
#include "gateway/publication/store_reader.h"
#include "gateway/quarantine/server_crash_detector.h"
#include "gateway/relay/call_relay.h"
#include "gateway/servers/server_transport.h"
#include "gateway/servers/server_word_relay.h"
#include "gateway/settings.h"
#include "gateway/stages/stage_router.h"
#include "gateway/streams/open_run_reader.h"
#include "gateway/streams/stream_origin_relay.h"
#include "http/listener.h"

#include <memory>
#include <string>

namespace orchidlead::gateway {

/// A complete gateway node: serves requests, follows the published state, and stops gracefully.
template <gateway_codec Codec>
class gateway
{
public:
    /// `open` opens the TCP connections to servers and the store.
    gateway(http::io_loop &loop, wire::log &log, gateway_settings settings,
            http::connect_function open = &http::stream_socket::connect);
    /// Leaves no timer, task or connection behind. The loop may go on running.
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /// Sets the function that opens links to peers, so that tests can cut them. Call before
    /// `start`.
    void setPeerConnect(http::connect_function connect) { m_peers.setConnect(std::move(connect)); }
    /// Starts listening and reading the store. Returns an error if an address cannot be bound.
    [[nodiscard]] std::optional<http::listen_error> start();
    /// Begins a graceful stop. The node is not ready from now on. The loop ends when no request and
    /// no connection is open, or shortly before the platform would kill the process.
    void stop();
    [[nodiscard]] bool ready() const;

private:
    /// Whether the node has the configuration and server list that it needs to serve requests.
    [[nodiscard]] bool hasPublishedState() const
    {
        return m_state.currentConfiguration() && m_state.hasServerList();
    }
    void begin(received_request &&request);
    void releaseEarlyRequests();

    /// Sets where `stream_origin_relay` finds what was published before.
    void setStreamOriginSources();
    /// Sets the handlers of events of servers and of the transport to them.
    void setServerHandlers();
    [[nodiscard]] std::optional<http::listen_error> listen();
    void onRequest(const http::inbound_ptr &client, http::request_head &&head, std::string &&body);
    void onReadinessRequest(const http::inbound_ptr &client, const http::request_head &head);
    void onConfiguration(const configuration_ptr &configuration);
    void onPublicationEvent(const publication_event &publicationEvent);
    void onAvoidanceChanged(const server &which, bool avoided);
    void onRateLimitChanged(const server &which, std::optional<double> before);
    void onLeavingAnnounced(const server &which);
    void onLeavingReported(const server_start &start, const vm_id &from);
    void onBrittleReported(const brittle_server &reported, const vm_id &from);
    void onBackoffRequested(const server &which, milliseconds time);
    void onReachability(const reachability_event &event);
    void probeServerIn(const data_center_id &dataCenter);
    void onConnectionBroken(const server &which, const std::vector<crash_subject> &subjects);
    void onProbeResult(const server_crash &what, http::connect_outcome outcome);
    void logBrokenConnections(const server_crash &what, http::connect_outcome outcome,
                              bool serverEnded);
    void onServerAccess(server_access_state state);
    void logPeriodicSummary();
    void onFrame(const std::shared_ptr<peer_link> &link, peer_frame &&frame);
    /// Asks the servers of streams what they are running, once, as soon as they are known.
    void readOpenRuns();
    [[nodiscard]] gateway_gauges gauges();
    void tick();
    void checkStopped();
    void refuseWaiting();
    /// Answers all requests that have no answer yet, because the process ends.
    void answerAll();
    /// Returns the time after the stop signal when they are answered.
    [[nodiscard]] milliseconds stopAnswerTime() const;

    http::io_loop m_loop; ///< owns the timers and tasks of all parts of the node
    wire::log &m_log;
    gateway_settings m_settings;
    gateway_metrics m_metrics;
    http::connection_pool m_pool;
    server_directory m_directory;
    server_transport m_transport;
    service_retry_budget m_retryBudget;
    log_rate_limiter m_logLimiter;
    stage_host<Codec> m_stages;
    peer_network m_peers;
    stage_router<Codec> m_router;
    request_placer m_placer;
    stage_admission m_stageAdmission;
    admission_client m_admissionClient;
    quarantine_relay m_quarantine;
    server_word_relay<leaving_word> m_leaving;
    server_word_relay<brittle_word> m_brittle;
    lost_data_center_relay<peer_network> m_lostDataCenterRelay;
    published_state m_state;
    stream_origin_relay m_streamOrigins;
    open_run_reader<Codec> m_openRuns;
    server_start_reader<Codec> m_starts;
    bool m_readsOpenRuns = false; ///< they are still to be read
    store_reader<Codec> m_follower;
    store_history_reader<Codec> m_historyReader;
    publication_relay<Codec> m_relay;
    list_confirmer<Codec> m_listConfirmer;
    server_crash_detector m_crashDetector;
    /// Crashes to be confirmed once it is known that this node is not cut off from all servers.
    std::vector<server_crash> m_unconfirmedCrashes;
    call_relay<Codec> m_callRelay;
    gateway_context<Codec> m_context;
    std::shared_ptr<http::inbound_shared> m_clients;
    std::shared_ptr<http::inbound_shared> m_probes;
    std::unique_ptr<http::listener> m_clientListener;
    std::unique_ptr<http::listener> m_readinessListener;
    std::vector<std::weak_ptr<exchange<Codec>>> m_exchanges; ///< open and ended exchanges
    std::size_t m_sweepThreshold = 0;
    startup_queue m_startupQueue;
    bool m_wasReady = false;
    steady_time m_nextSummary{};
    steady_time m_configurationSince{};
    std::map<service_id, service_retry_budget::usage> m_retries; ///< as of the last summary
    bool m_stopping = false;
    steady_time m_stopBegan{};
};

} // namespace orchidlead::gateway

#include "gateway/gateway_impl.h"
