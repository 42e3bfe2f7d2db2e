#pragma once

#include "core/configuration/published_configuration.h"
#include "core/requests/engine_stats.h"
#include "core/requests/engine_types.h"
#include "core/servers/circuit_breaker.h"

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

/// Identifies a stage of an open request within the engine.
struct queued_stage
{
    std::uint64_t request = 0; ///< serial number within the engine
    std::uint32_t stage = 0;
};

/// One server of a pool.
template <class Limit>
struct pool_server
{
    backend_server server;
    Limit limit;
    bool member = false;
    bool listedLeaving = false; ///< according to the platform
    bool reportedLeaving = false; ///< according to the server itself
    steady_time reportedLeavingAt{};
    steady_time backoffUntil{}; ///< after a refusal
    steady_time lastSample{}; ///< time of the last latency sample
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;

    [[nodiscard]] bool leaving() const { return listedLeaving || reportedLeaving; }
};

/// This node's view of the backend servers of one service, with the queue of the service and the
/// policies that choose a server. Availability is updated on every event, so that a routing
/// decision doesn't scan the pool.
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

    /// Sets the published members. Removed ones get no new work, and their slots are reused once
    /// idle.
    void setMembers(const std::vector<backend_server> &servers,
                    const std::unordered_set<backend_server_id> &leaving, steady_time now);
    void setListedLeaving(const std::unordered_set<backend_server_id> &leaving, steady_time now);
    void onReport(const load_report &report, steady_time now);

    [[nodiscard]] std::optional<routing_choice> pick(const routing_request &request,
                                                     random_source &random);

    void onDispatched(std::uint32_t slot, steady_time now);

    /// Ends an attempt that was answered after `elapsed`. `medianTime` is the median duration of
    /// attempts of the same stage and size class, by which the latency is normalized for the size
    /// of the input; zero: unknown.
    [[nodiscard]] health_change onAnswered(std::uint32_t slot, duration elapsed,
                                           duration medianTime, steady_time now);
    [[nodiscard]] health_change onFailed(std::uint32_t slot, attempt_failure failure,
                                         std::optional<milliseconds> retryAfter, steady_time now);

    /// Counts a failure of a server that has exceeded the silence threshold of a running attempt.
    [[nodiscard]] health_change onSuspicionTimeout(std::uint32_t slot, duration elapsed,
                                                   duration medianTime, steady_time now);

    /// Records that another server answered first, so that `elapsed` is a lower bound of this one's
    /// latency.
    void onLatencyLowerBound(std::uint32_t slot, duration elapsed, duration medianTime,
                             steady_time now);

    /// Ends an attempt that this node abandoned.
    void onReleased(std::uint32_t slot, steady_time now);

    /// Ends the backoffs and ejections that are due.
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
    /// Whether any server answered after `then`; if so, a silent server is an outlier.
    [[nodiscard]] bool answeredSince(steady_time then) const { return m_lastAnswer > then; }

    /// Counts a stage that was dequeued to be started.
    void onStarted(std::uint32_t lane, steady_time now);

    /// Counts an open request that a later stage will queue here, until it is queued or ends.
    void addExpected(const customer_id &customer);
    void removeExpected(const customer_id &customer);

    /// Estimates how many items of the lane, queued or expected, are served before a new one.
    [[nodiscard]] std::size_t ahead(std::uint32_t lane, const customer_id &customer) const;
    [[nodiscard]] duration queueWait(std::uint32_t lane, std::size_t ahead) const;
    [[nodiscard]] service_stats stats() const;
    void appendServerStats(std::vector<backend_server_stats> &views) const;

    typename Policies::template queue<queued_stage> queue;
    typename Policies::budget budget;
    circuit_breaker breaker;
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
    void releaseIfUnused(std::uint32_t slot);
    /// Updates the limit and the availability of one server for routing.
    void updateAvailability(std::uint32_t slot, steady_time now);
    void updateAllAvailability(steady_time now);
    [[nodiscard]] bool isAvailable(std::uint32_t slot, steady_time now) const;
    [[nodiscard]] std::uint32_t effectiveLimit(std::uint32_t slot) const;
    void list(std::uint32_t slot);
    void unlist(std::uint32_t slot);
    [[nodiscard]] double normalized(duration elapsed, duration medianTime) const;
    void observe(std::uint32_t slot, duration elapsed, duration medianTime);
    void decayStaleLatencies(steady_time now);
    void decayStartRates(steady_time now);
    [[nodiscard]] double laneRate(std::uint32_t lane) const;
    void wakeAt(steady_time at);
    void backOff(server_entry &entry, std::optional<milliseconds> retryAfter, steady_time now);
    health_change onHealth(std::uint32_t slot, health_change change, steady_time now);

    service_id m_id;
    data_center_id m_dataCenter;
    typename Policies::router m_router;
    failure_detector m_detector;
    std::vector<server_entry> m_servers; ///< by slot
    std::vector<routing_entry> m_entries; ///< by slot
    std::vector<std::uint32_t> m_positions; ///< by slot, index into m_local or m_remote
    std::vector<std::uint32_t> m_local; ///< available
    std::vector<std::uint32_t> m_remote; ///< available
    std::vector<std::uint32_t> m_freeSlots; ///< slots without a server
    std::unordered_map<backend_server_id, std::uint32_t> m_slots;
    std::uint32_t m_members = 0;
    std::uint32_t m_usable = 0; ///< members that aren't leaving
    std::uint32_t m_inFlight = 0;
    double m_poolLatency = 0.0; ///< ms, over all servers
    /// Mean duration of an attempt in ms, not normalized for the size of the input.
    double m_meanDuration = 0.0;
    steady_time m_lastDecay{};
    steady_time m_lastAnswer{};
    steady_time m_lastStart{};
    std::array<double, Lanes> m_startRates{}; ///< by lane, per second, decaying
    std::size_t m_expected = 0;
    std::unordered_map<customer_id, std::uint32_t> m_expectedOf;
    std::optional<steady_time> m_nextWake;
    latency_histogram m_latencies;
};

} // namespace orchidlead

#include "core/servers/service_pool_impl.h"
