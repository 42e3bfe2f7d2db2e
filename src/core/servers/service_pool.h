#pragma once

#include "core/configuration/published_configuration.h"
#include "core/requests/engine_stats.h"
#include "core/requests/engine_types.h"
#include "core/servers/pool_breaker.h"

#include <orchidlead/failure_detector.h>
#include <orchidlead/latency_histogram.h>
#include <orchidlead/router.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace orchidlead {

/// Names a stage of an open request within the engine.
struct queued_stage
{
    std::uint64_t request = 0; ///< the engine's own serial number
    std::uint32_t stage = 0;
};

/// One server of a pool.
template <class Limit>
struct pool_server
{
    backend_server server;
    Limit limit;
    bool member = false;
    bool listedLeaving = false; ///< by the platform
    bool saidLeaving = false; ///< by the server itself
    steady_time saidLeavingAt{};
    steady_time pausedUntil{}; ///< it asked to be left alone
    steady_time lastSample{}; ///< of its latency
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;

    [[nodiscard]] bool leaving() const { return listedLeaving || saidLeaving; }
};

/// The backend servers of one service as this node sees them, the work that waits for them and
/// what decides between them. Availability is kept up to date event by event, so that a routing
/// decision needn't look at the whole pool.
template <class Policies>
class service_pool
{
public:
    using limit_type = typename Policies::limit;
    using duration = std::chrono::microseconds;

    service_pool(service_id id, const data_center_id &dataCenter, const routing_settings &routing,
                 const failure_detector_settings &detection)
        : m_id(std::move(id))
        , m_dataCenter(dataCenter)
        , m_router(routing)
        , m_detector(detection)
    { }

    /// Takes the published members; vanished ones get no new work and are forgotten when idle.
    void setMembers(const std::vector<backend_server> &servers,
                    const std::unordered_set<backend_server_id> &leaving, steady_time now);
    void setListedLeaving(const std::unordered_set<backend_server_id> &leaving, steady_time now);
    void onReport(const load_report &report, steady_time now);

    [[nodiscard]] std::optional<routing_choice> pick(const routing_request &request,
                                                     random_source &random);

    void onDispatched(std::uint32_t slot, steady_time now);

    /// `typical` is the median time of such an attempt; it takes the input's size out of the
    /// server's speed. Zero: unknown.
    [[nodiscard]] health_change onAnswered(std::uint32_t slot, duration elapsed, duration typical,
                                           steady_time now);
    [[nodiscard]] health_change onFailed(std::uint32_t slot, attempt_failure failure,
                                         std::optional<milliseconds> retryAfter, steady_time now);

    /// Judges a server that has been silent for too long on an attempt that still runs.
    [[nodiscard]] health_change onSilent(std::uint32_t slot, duration elapsed, duration typical,
                                         steady_time now);

    /// Learns that another server was quicker; the answer is known to take longer than `elapsed`.
    void onOutrun(std::uint32_t slot, duration elapsed, duration typical, steady_time now);

    /// Ends an attempt that was given up here.
    void onReleased(std::uint32_t slot, steady_time now);

    /// Does what is due: ends of pauses and of ejections.
    void onWake(steady_time now);
    [[nodiscard]] std::optional<steady_time> nextWake() const { return m_nextWake; }

    [[nodiscard]] const service_id &id() const { return m_id; }
    [[nodiscard]] bool hasAvailable() const { return !m_local.empty() || !m_remote.empty(); }
    [[nodiscard]] std::uint32_t usable() const { return m_usable; }
    [[nodiscard]] std::uint32_t inFlight() const { return m_inFlight; }
    [[nodiscard]] const backend_server &server(std::uint32_t slot) const
    {
        return m_servers[slot].server;
    }
    [[nodiscard]] double suspectedShare() const { return m_detector.suspectedShare(); }
    /// Tells whether any server answered since then, so that a silent one stands out.
    [[nodiscard]] bool answeredSince(steady_time then) const { return m_lastAnswer > then; }

    /// Counts a stage that was taken out of the queue to be started.
    void onStarted(std::uint32_t lane, steady_time now);

    /// Counts an open request that will come to this pool later, until it is queued or ends.
    void expect(const customer_id &customer);
    void unexpect(const customer_id &customer);

    /// Estimates how many of its lane, queued or still to come, go before a new one.
    [[nodiscard]] std::size_t ahead(std::uint32_t lane, const customer_id &customer) const;
    [[nodiscard]] duration queueWait(std::uint32_t lane, std::size_t ahead) const;
    [[nodiscard]] service_stats stats() const;
    void appendServerStats(std::vector<backend_server_stats> &views) const;

    typename Policies::template queue<queued_stage> queue;
    typename Policies::budget budget;
    pool_breaker breaker;
    std::uint64_t firstTries = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t refused = 0;
    double smoothedQueueWait = 0.0; ///< ms

private:
    using server_entry = pool_server<limit_type>;

    static constexpr std::uint32_t NoPosition = ~0U;
    static constexpr std::uint32_t Lanes = 3;

    std::uint32_t addServer(const backend_server &server);
    void forgetIfGone(std::uint32_t slot);
    void refresh(std::uint32_t slot, steady_time now);
    void refreshAll(steady_time now);
    [[nodiscard]] bool isAvailable(std::uint32_t slot, steady_time now) const;
    [[nodiscard]] std::uint32_t effectiveLimit(std::uint32_t slot) const;
    void list(std::uint32_t slot);
    void unlist(std::uint32_t slot);
    [[nodiscard]] double comparable(duration elapsed, duration typical) const;
    void observe(std::uint32_t slot, duration elapsed, duration typical);
    void fadeOldLatencies(steady_time now);
    void fadeStartRates(steady_time now);
    [[nodiscard]] double laneRate(std::uint32_t lane) const;
    void wakeAt(steady_time at);
    void pause(server_entry &entry, std::optional<milliseconds> retryAfter, steady_time now);
    health_change onHealth(std::uint32_t slot, health_change change, steady_time now);

    service_id m_id;
    data_center_id m_dataCenter;
    typename Policies::router m_router;
    failure_detector m_detector;
    std::vector<server_entry> m_servers; ///< by slot
    std::vector<routing_entry> m_entries; ///< by slot
    std::vector<std::uint32_t> m_positions; ///< by slot, in m_local or m_remote
    std::vector<std::uint32_t> m_local; ///< available
    std::vector<std::uint32_t> m_remote; ///< available
    std::vector<std::uint32_t> m_free; ///< slots without a server
    std::unordered_map<backend_server_id, std::uint32_t> m_slots;
    std::uint32_t m_members = 0;
    std::uint32_t m_usable = 0; ///< members that aren't leaving
    std::uint32_t m_inFlight = 0;
    double m_usualLatency = 0.0; ///< ms, over all servers
    double m_meanTime = 0.0; ///< ms, of an attempt, sizes as they come
    steady_time m_lastFade{};
    steady_time m_lastAnswer{};
    steady_time m_lastStart{};
    std::array<double, Lanes> m_startRates{}; ///< a second, fading
    std::size_t m_coming = 0;
    std::unordered_map<customer_id, std::uint32_t> m_comingOf;
    std::optional<steady_time> m_nextWake;
    latency_histogram m_latencies;
};

} // namespace orchidlead

#include "core/servers/service_pool_impl.h"
