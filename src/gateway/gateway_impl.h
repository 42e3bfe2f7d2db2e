#pragma once

#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

/// Time after the return of the store during which removals of servers are deferred: entries of
/// running servers reappear within about 2 s.
inline constexpr milliseconds RemovalDelay{2300};
/// How much later than `platform_bounds::publicationApply` a node may still have an old list: one
/// that it read at its start may be a second old.
inline constexpr milliseconds MaxListDelay{1000};
/// How often deferred removals and readiness are checked.
inline constexpr milliseconds TickInterval{100};
/// Time after the stop signal when idle connections are closed. New connections arrive until the
/// load balancer has checked readiness twice, once a second.
inline constexpr milliseconds StopNoticeTime{2600};
/// Requests that arrive later than this after the stop signal are refused unless they are known to
/// end in time: the client still has time to try another gateway.
inline constexpr milliseconds StopAcceptTime{2900};
/// Idle time after which a connection is closed during a stop, so that a new connection has time to
/// send its request and get an answer.
inline constexpr milliseconds StopIdleTimeout{300};
/// Requests that still wait for their stages this long after the stop signal are refused unless
/// they are expected to end in time: the client has time to try another gateway.
inline constexpr milliseconds StopWaitLimit{5000};
/// Ended exchanges are removed from the list when it reaches this size, or twice its size after the
/// last removal.
inline constexpr std::size_t MinSweepSize = 64;
/// Requests without an answer get one this long before the platform would kill the process.
inline constexpr milliseconds StopMargin{500};
/// How long the process then waits for clients to read their answers. The rest of the margin is for
/// the end of the process itself.
inline constexpr milliseconds StopFlushTime{250};
/// Smallest number of nodes that the retry reserve is divided among: some may not be known yet.
inline constexpr std::size_t MinAssumedNodes = 8;

/// Path of the metrics at the readiness address.
inline constexpr std::string_view MetricsPath = "/metrics";
/// Interval of the summary log lines of stage pools and retries.
inline constexpr milliseconds SummaryInterval{1000};

/// Returns a number that identifies this start of the VM; later starts have higher numbers.
[[nodiscard]] inline std::uint64_t drawIncarnation(const clock_source &clock)
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

/// Returns a random seed that differs between VMs.
[[nodiscard]] inline std::uint32_t seedOf(const vm_id &vm)
{
    return static_cast<std::uint32_t>(std::hash<std::string>{}(vm.value));
}

/// Returns the position of a VM in the turns of `service_retry_budget`, in [0, 1).
[[nodiscard]] inline double drawRotationOffset(const vm_id &vm)
{
    std::mt19937 random(seedOf(vm));
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

template <gateway_codec Codec>
gateway<Codec>::gateway(http::io_loop &loop, wire::log &log, gateway_settings settings,
                        http::connect_function open)
    : m_loop(loop)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_pool(m_loop, std::move(open))
    , m_directory(m_loop.clock())
    , m_transport(m_loop, m_pool, m_directory, m_settings.dataCenter, log, seedOf(m_settings.vm))
    , m_retryBudget(m_loop.clock(),
                    {m_settings.bounds.retryShare, m_settings.bounds.retryReserve,
                     m_settings.bounds.retryWindow, drawRotationOffset(m_settings.vm)})
    , m_logLimiter(m_loop.clock(), m_settings.requestLines)
    , m_stages(m_loop, m_transport, m_directory, m_retryBudget, log, m_metrics)
    , m_peers(m_loop, log, m_settings, drawIncarnation(m_loop.clock()),
              {[this](const std::shared_ptr<peer_link> &link, peer_frame &&frame) {
                   onFrame(link, std::move(frame));
               },
               [this](const std::shared_ptr<peer_link> &link) {
                   m_router.onLinkClosed(link);
                   m_placer.onLinkClosed(link);
                   m_admissionClient.onLinkClosed(link);
                   m_quarantine.onLinkClosed(link);
                   m_leaving.onLinkClosed(link);
                   m_brittle.onLinkClosed(link);
                   m_streamOrigins.onLinkClosed(link);
                   m_relay.onLinkClosed(link);
                   m_listConfirmer.onLinkClosed(link);
               },
               [this](const vm_id &peer, std::uint64_t version) {
                   m_relay.onPeerVersion(peer, version);
               },
               [&log](const pool_key &pool, const vm_id &host) {
                   log.write(wire::log_level::Info,
                             log.line(wire::log_level::Info, toName(log_event::StageHostChanged))
                                 .add("service", pool.service.value)
                                 .add("data_center", pool.dataCenter.value)
                                 .add("host", host.value));
               },
               [this](const reachability_event &event) { onReachability(event); }})
    , m_router(m_loop, log, m_peers, m_stages, m_directory, m_retryBudget, m_metrics, m_settings)
    , m_placer(m_loop, m_peers, m_directory, m_settings.disabledPolicies)
    , m_stageAdmission(
          m_loop.clock(),
          {.customerShares = !m_settings.disabledPolicies.contains(policy::CustomerShares),
           .retryTurns = !m_settings.disabledPolicies.contains(policy::RetryTurns)})
    , m_admissionClient(m_loop, m_peers, m_stageAdmission,
                        [this](const pool_key &pool) { return m_router.hostOf(pool); })
    , m_quarantine(m_loop, m_peers, log)
    , m_leaving(
          m_peers, m_directory,
          [this](const server_start &start, const vm_id &from) { onLeavingReported(start, from); })
    , m_brittle(m_peers, m_directory,
                [this](const brittle_server &reported, const vm_id &from) {
                    onBrittleReported(reported, from);
                })
    , m_lostDataCenterRelay(m_peers, m_loop.clock())
    , m_state(m_loop.clock(), m_directory, RemovalDelay)
    , m_streamOrigins(m_loop, m_peers, m_directory, m_state)
    , m_openRuns(m_loop, m_transport)
    , m_starts(m_loop, m_transport)
    , m_readsOpenRuns(!m_settings.firstStart)
    , m_follower(
          m_loop, m_pool, m_settings.store, m_state,
          [this](const publication_event &publicationEvent) {
              onPublicationEvent(publicationEvent);
          },
          log, seedOf(m_settings.vm), storeOptionsFor(m_settings.bounds.publicationApply))
    , m_historyReader(m_loop, m_follower)
    , m_relay(
          m_loop, m_peers, m_directory, m_state, m_follower,
          [this](const publication_event &publicationEvent) {
              onPublicationEvent(publicationEvent);
          },
          log, seedOf(m_settings.vm))
    , m_listConfirmer(m_loop, m_peers, m_follower, m_relay, seedOf(m_settings.vm))
    , m_crashDetector(m_loop.clock())
    , m_callRelay(m_loop, m_transport, m_directory, log)
    , m_context{m_loop,
                m_transport,
                m_starts,
                m_directory,
                m_retryBudget,
                m_peers,
                m_router,
                m_placer,
                m_admissionClient,
                m_quarantine,
                m_streamOrigins,
                log,
                m_metrics,
                m_state,
                m_logLimiter,
                m_settings.dataCenter,
                m_settings.disabledPolicies,
                nullptr,
                latency_estimator{m_loop.clock(),
                                  m_settings.disabledPolicies.contains(policy::FirstAnswerBySize)
                                      ? first_answer_kind::SingleAverage
                                      : first_answer_kind::ByPromptSize},
                answer_time_model{},
                std::nullopt,
                unasked_allowance{m_loop.clock()},
                std::minstd_rand{seedOf(m_settings.vm)},
                [this](const server &which, const std::vector<crash_subject> &subjects) {
                    onConnectionBroken(which, subjects);
                }}
    , m_clients(std::make_shared<http::inbound_shared>())
    , m_probes(std::make_shared<http::inbound_shared>())
    , m_startupQueue(m_loop.clock())
{
    if (m_readsOpenRuns)
        m_streamOrigins.beginReports();
    m_retryBudget.setNodes(MinAssumedNodes);
    m_directory.setSelf(m_settings.vm);
    m_directory.setRegions(m_settings.regions);
    m_stages.setRateShare([this](const pool_key &pool) { return m_peers.rateShare(pool); });
    m_router.setHostReadyCheck([this] { return m_state.hasServerList(); });
    m_stageAdmission.setEstimate(
        [this](const pool_key &pool, const stage_rank &rank, std::uint64_t resultBytes) {
            return m_stages.estimateFor(pool, rank, resultBytes);
        });
    m_stageAdmission.setDecisionHandler(
        [this](const service_id &service, const customer_id &customer, pool_time cost,
               refusal_cause cause) { m_metrics.onPoolDecision(service, customer, cost, cause); });
    m_stages.setAdmission(m_stageAdmission);
    m_admissionClient.setHostReadyCheck([this] {
        return m_state.hasServerList()
            && !m_settings.disabledPolicies.contains(policy::WholeRequestAdmission);
    });
    m_stages.setWaitsForLocalServer(
        !m_settings.disabledPolicies.contains(policy::WaitForLocalServer));
    m_stages.setUsesResultRoom(!m_settings.disabledPolicies.contains(policy::ResultRoom));
    m_stages.setHedgesCalls(!m_settings.disabledPolicies.contains(policy::SecondCalls));
    m_stages.setQuarantineCallbacks(
        m_context.onConnectionBroken, [this](const request_digest &request) {
            return m_quarantine.statusOf(request).level == quarantine_level::Unrestricted;
        });
    m_quarantine.onQuarantined([this](const request_digest &subject) {
        const auto exchanges = m_exchanges;
        for (const auto &weak : exchanges) {
            if (const auto each = weak.lock())
                each->onQuarantined(subject);
        }
    });
    m_state.onConfiguration([this](const configuration_ptr &each) { onConfiguration(each); });
    m_follower.onRead([this](const store_update &update) { m_relay.onStoreUpdate(update); });
    setStreamOriginSources();
    setServerHandlers();
    m_clients->onRequest = [this](const http::inbound_ptr &client, http::request_head &&head,
                                  std::string &&body) {
        onRequest(client, std::move(head), std::move(body));
    };
    m_probes->onRequest = [this](const http::inbound_ptr &client, http::request_head &&head,
                                 std::string && /*body*/) { onReadinessRequest(client, head); };
}

template <gateway_codec Codec>
void gateway<Codec>::setStreamOriginSources()
{
    m_streamOrigins.setList(
        [this](std::function<void(bool)> done) { m_listConfirmer.confirm(std::move(done)); },
        [this] { return m_follower.revision(); });
    m_streamOrigins.setHistory(
        [this](stream_origin_relay::history_handler handler) {
            m_historyReader.read(std::move(handler));
        },
        m_settings.bounds.historyKept, m_settings.bounds.publicationApply + MaxListDelay);
}

// Tasks hold exchanges, which refer to the other parts of the node.
template <gateway_codec Codec>
gateway<Codec>::~gateway()
{
    m_loop.discardTasks();
}

template <gateway_codec Codec>
std::optional<http::listen_error> gateway<Codec>::start()
{
    if (auto error = listen())
        return error;
    if (auto error = m_peers.start())
        return error;
    m_follower.start();
    tick();
    return std::nullopt;
}

template <gateway_codec Codec>
std::optional<http::listen_error> gateway<Codec>::listen()
{
    auto clients = http::listener::create(m_loop, m_settings.listen.clients, m_clients);
    if (!clients)
        return std::move(clients).error();
    auto readiness = http::listener::create(m_loop, m_settings.listen.readiness, m_probes);
    if (!readiness)
        return std::move(readiness).error();
    if (m_settings.listen.relay) {
        if (auto error = m_callRelay.start(*m_settings.listen.relay))
            return error;
    }
    m_clientListener = std::move(clients).value();
    m_readinessListener = std::move(readiness).value();
    return std::nullopt;
}

template <gateway_codec Codec>
bool gateway<Codec>::ready() const
{
    return hasPublishedState() && !m_stopping;
}

template <gateway_codec Codec>
void gateway<Codec>::onRequest(const http::inbound_ptr &client, http::request_head &&head,
                               std::string &&body)
{
    received_request request{client, std::move(head), std::move(body), m_loop.now()};
    const auto tryHold = [&] {
        const auto clientTimeout = Codec::readRequest(request.head).clientTimeout;
        return m_startupQueue.tryEnqueue(request, clientTimeout.value_or(milliseconds{0}));
    };
    if (hasPublishedState() || !tryHold())
        begin(std::move(request));
}

template <gateway_codec Codec>
void gateway<Codec>::releaseEarlyRequests()
{
    for (auto &each : m_startupQueue.dequeueDue(hasPublishedState() || m_stopping))
        begin(std::move(each));
}

template <gateway_codec Codec>
void gateway<Codec>::begin(received_request &&request)
{
    const auto made = std::make_shared<exchange<Codec>>(m_context, std::move(request.client),
                                                        std::move(request.head),
                                                        std::move(request.body), request.at);
    if (m_exchanges.size() >= m_sweepThreshold) {
        std::erase_if(m_exchanges, [](const auto &weak) { return weak.expired(); });
        m_sweepThreshold = std::max(MinSweepSize, 2 * m_exchanges.size());
    }
    m_exchanges.push_back(made);
    made->start();
}

template <gateway_codec Codec>
void gateway<Codec>::onReadinessRequest(const http::inbound_ptr &client,
                                        const http::request_head &head)
{
    if (head.target == MetricsPath)
        client->respond(status::Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                        m_metrics.text(gauges()));
    else if (head.target != Codec::readinessPath())
        client->respond(status::NotFound, {}, {});
    else
        client->respond(ready() ? status::Ok : status::Unavailable, {}, {});
}

template <gateway_codec Codec>
gateway_gauges gateway<Codec>::gauges()
{
    gateway_gauges now;
    now.ready = ready();
    now.storeConnected = m_relay.receivesChanges();
    now.configurationVersion =
        m_state.currentConfiguration() ? m_state.currentConfiguration()->version() : 0;
    now.connections = m_clients->connections;
    now.answering = m_clients->answering;
    for (const auto &each : m_directory.all()) {
        now.servers += each->usable() ? 1 : 0;
        now.coldServers += each->usable() && each->cold(m_loop.now()) ? 1 : 0;
        now.limitedServers += each->usable() && each->rateLimit.has_value() ? 1 : 0;
        now.leavingServers += each->isLeaving() ? 1 : 0;
        now.backedOffServers += each->usable() && !each->accepts(m_loop.now()) ? 1 : 0;
    }
    now.callsSentByRelay = m_transport.relayedCalls();
    now.callsRelayed = m_callRelay.relayed();
    now.streamOrigins = m_streamOrigins.records();
    now.serversCutOff = m_transport.access() == server_access_state::CutOff;
    now.evacuatedDataCenters = m_state.evacuations().dataCenters.size();
    const auto age = [this](steady_time since) {
        return std::chrono::duration_cast<milliseconds>(m_loop.now() - since);
    };
    now.members = m_peers.view().countByState();
    now.waitingPieces = m_stages.waiting();
    now.heldResultBytes = m_stages.heldResultBytes();
    now.admissions = m_stageAdmission.counts();
    now.turns = m_stageAdmission.turns();
    now.retries = m_retries;
    now.placements = m_placer.activeCount();
    now.publishedAge = age(m_state.lastContactAt());
    now.configurationAge = age(m_configurationSince);
    now.serverConnections = m_pool.opened();
    now.droppedLogLines = m_log.dropped();
    return now;
}

template <gateway_codec Codec>
void gateway<Codec>::onConfiguration(const configuration_ptr &configuration)
{
    m_context.configuration = configuration;
    m_configurationSince = m_loop.now();
    m_peers.setVersion(configuration->version());
    m_relay.onConfiguration(configuration->version());
    for (const auto &each : configuration->content().services)
        m_directory.setColdStart(each.id, each.coldStart);
    m_stages.setConfiguration(configuration);
    m_placer.setConfiguration(configuration);
    const auto &limits = configuration->content().limits;
    m_clients->limits.maxHeadBytes = limits.maxHeaderBytes;
    m_clients->limits.maxBodyBytes = limits.maxBodyBytes;
    m_clients->limits.headTimeout = limits.headerTimeout;
    m_clients->limits.idleTimeout = limits.idleTimeout;
}

template <gateway_codec Codec>
void gateway<Codec>::onPublicationEvent(const publication_event &publicationEvent)
{
    readOpenRuns();
    const auto level = publicationEvent.kind == publication_event::event_type::Unreadable
        ? wire::log_level::Warning
        : wire::log_level::Info;
    auto line = m_log.line(level, toName(publicationEvent.kind));
    line.add("subject", publicationEvent.subject).add("detail", publicationEvent.detail);
    m_log.write(level, std::move(line));
}

// Requests that wait for a lost data centre fail over to another one at once, where allowed.
template <gateway_codec Codec>
void gateway<Codec>::onReachability(const reachability_event &event)
{
    if (event.type == reachability_event_type::ProbeServers) {
        probeServerIn(event.dataCenter);
        return;
    }
    const bool lost = event.type == reachability_event_type::Lost;
    const auto kind = lost ? log_event::DataCenterLost : log_event::DataCenterRegained;
    m_log.write(wire::log_level::Warning,
                m_log.line(wire::log_level::Warning, toName(kind))
                    .add("data_center", event.dataCenter.value));
    m_directory.setUnreachable(event.dataCenter, lost);
    if (!lost)
        return;
    m_lostDataCenterRelay.onLost(event.dataCenter);
    m_stages.onDataCenterLost(event.dataCenter);
    const auto exchanges = m_exchanges;
    for (const auto &weak : exchanges) {
        if (const auto each = weak.lock())
            each->onDataCenterLost(event.dataCenter);
    }
}

// Writes counts that would be too many lines if written per request.
template <gateway_codec Codec>
void gateway<Codec>::logPeriodicSummary()
{
    m_stages.logSummaries();
    m_retries = m_retryBudget.takeUsage();
    for (const auto &[service, usage] : m_retries) {
        if (usage.denied == 0)
            continue;
        auto line = m_log.line(wire::log_level::Info, toName(log_event::RetryBudgetSpent));
        line.add("service", service.value).add("denied", usage.denied);
        line.add("taken", usage.taken).add("nodes", m_peers.view().nodes());
        m_log.write(wire::log_level::Info, std::move(line));
    }
    if (const auto droppedCount = m_logLimiter.takeDroppedCount(); droppedCount > 0)
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(log_event::LinesLeftOut))
                        .add("count", droppedCount));
}

template <gateway_codec Codec>
void gateway<Codec>::onFrame(const std::shared_ptr<peer_link> &link, peer_frame &&frame)
{
    m_relay.onFrame(link, frame);
    m_listConfirmer.onFrame(link, frame);
    m_placer.onFrame(link, frame);
    m_admissionClient.onFrame(link, frame);
    m_quarantine.onFrame(link, frame);
    m_leaving.onFrame(link, frame);
    m_brittle.onFrame(link, frame);
    m_streamOrigins.onFrame(link, frame);
    m_lostDataCenterRelay.onFrame(frame);
    m_router.onFrame(link, std::move(frame));
}

template <gateway_codec Codec>
void gateway<Codec>::tick()
{
    for (const auto &each : m_state.tick())
        onPublicationEvent(each);
    if (std::exchange(m_wasReady, ready()) != ready())
        m_log.write(wire::log_level::Info,
                    ready() ? wire::node_event::Ready : wire::node_event::NotReady, {});
    m_retryBudget.setNodes(std::max(MinAssumedNodes, m_peers.view().nodes()));
    m_router.tick();
    m_quarantine.tick();
    m_leaving.tick();
    m_brittle.tick();
    m_streamOrigins.tick();
    m_transport.tick();
    if (m_loop.now() >= m_nextSummary) {
        m_nextSummary = m_loop.now() + SummaryInterval;
        logPeriodicSummary();
    }
    m_relay.tick();
    readOpenRuns();
    releaseEarlyRequests();
    if (m_stopping)
        checkStopped();
    m_loop.callAfter(TickInterval, [this] { tick(); });
}

template <gateway_codec Codec>
void gateway<Codec>::readOpenRuns()
{
    if (!hasPublishedState() || !std::exchange(m_readsOpenRuns, false))
        return;
    const auto &configuration = *m_state.currentConfiguration();
    std::set<service_id> services;
    for (const auto &route : configuration.content().routes) {
        if (route.kind != request_kind::Stream || !route.repeatable())
            continue;
        for (const auto &each : route.services) {
            const auto *spec = configuration.findService(each.service);
            if (spec && spec->engine)
                services.insert(each.service);
        }
    }
    auto servers = m_directory.all();
    std::erase_if(servers, [&](const server_ptr &each) {
        return each->removed || !services.contains(each->record.service);
    });
    servers = serversToReport(servers, m_settings.vm, m_settings.dataCenter);
    const auto runs = std::make_shared<std::size_t>(0);
    m_openRuns.read(
        servers,
        [this, runs](const server_record &from, const open_run &run) {
            ++*runs;
            m_streamOrigins.onRunReported(run.attempt, {from.service, from.version});
        },
        [this, runs, asked = servers.size()] {
            m_streamOrigins.endReports();
            m_log.write(wire::log_level::Info,
                        m_log.line(wire::log_level::Info, toName(log_event::OpenRunsRead))
                            .add("asked", asked)
                            .add("answered", m_openRuns.answered())
                            .add("runs", *runs));
        });
}

template <gateway_codec Codec>
void gateway<Codec>::stop()
{
    if (std::exchange(m_stopping, true))
        return;
    m_stopBegan = m_loop.now();
    m_context.stop = {m_stopBegan + std::min(StopAcceptTime, stopAnswerTime()),
                      m_stopBegan + stopAnswerTime()};
    m_clients->closing = true;
    m_callRelay.stop();
    m_peers.announceLeaving();
    m_log.write(wire::log_level::Info, wire::node_event::Stopping, {});
}

template <gateway_codec Codec>
void gateway<Codec>::refuseWaiting()
{
    const auto exchanges = m_exchanges;
    for (const auto &weak : exchanges) {
        if (const auto each = weak.lock())
            each->refuseIfWaiting();
    }
}

template <gateway_codec Codec>
milliseconds gateway<Codec>::stopAnswerTime() const
{
    return m_settings.bounds.stopGrace - StopMargin;
}

// Without an answer a client can't tell whether its request has run.
template <gateway_codec Codec>
void gateway<Codec>::answerAll()
{
    const auto exchanges = m_exchanges;
    for (const auto &weak : exchanges) {
        if (const auto each = weak.lock())
            each->onStopTimeout();
    }
    m_clientListener->refuseUnread({Codec::retryAfter(RetryDelay)});
}

template <gateway_codec Codec>
void gateway<Codec>::checkStopped()
{
    const auto since = m_loop.now() - m_stopBegan;
    const auto answerTime = stopAnswerTime();
    if (since < std::min(StopNoticeTime, answerTime))
        return;
    m_clientListener->closeIdle(StopIdleTimeout);
    m_callRelay.closeIdle(StopIdleTimeout);
    if (since > StopWaitLimit)
        refuseWaiting();
    if (since >= answerTime)
        answerAll();
    const bool idle =
        m_clients->answering == 0 && m_clients->connections == 0 && m_callRelay.active() == 0;
    if (!idle && since < answerTime + StopFlushTime)
        return;
    m_peers.announceStopped();
    m_log.write(wire::log_level::Info, wire::node_event::Stopped, {});
    m_loop.stop();
}

} // namespace orchidlead::gateway

#include "gateway/gateway_servers_impl.h"
