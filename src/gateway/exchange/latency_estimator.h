#pragma once

#include "gateway/publication/configuration.h"
#include "gateway/servers/pool_key.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// The properties of a request that its time estimates depend on. Must not outlive the objects that
/// it refers to.
struct request_outline
{
    const configuration_index &configuration;
    const route &routeSpec;
    const service_id &service; ///< service that the request itself is sent to
    stage_rank rank;
    const std::vector<pool_key> &pools; ///< of each stage
    const std::vector<std::uint32_t> &pieces; ///< number for each stage; 0: the stage is skipped
};

/// Estimates the remaining time of a request from the recent times of requests with the same rank
/// and from the queue waits that the hosts of stage pools report.
class latency_estimator
{
public:
    explicit latency_estimator(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Records the time from sending a request to its first answer.
    void onFirstToken(const service_id &service, std::chrono::microseconds took);
    /// Returns the average time from sending to the first answer, or a default if none was
    /// recorded.
    [[nodiscard]] std::chrono::microseconds firstAnswerTime(const service_id &service) const;
    /// Records the time from submitting the pieces of a stage until all of them had results.
    void onStage(const pool_key &pool, const stage_rank &rank, std::chrono::microseconds took);
    /// Records the wait for a new piece that the host of the pool reports.
    void onReportedWait(const pool_key &pool, const stage_rank &rank, milliseconds wait);
    /// Returns the last reported wait minus the time since the report, in which the queue has
    /// become shorter.
    [[nodiscard]] std::chrono::microseconds remainingWait(const pool_key &pool,
                                                          const stage_rank &rank) const;
    /// Returns the time of a stage including its wait: the recent average, but at least one call
    /// with half a batch plus the reported wait. `service` is the service of the pool; null if
    /// unknown.
    [[nodiscard]] std::chrono::microseconds
    stageTime(const service_spec *service, const pool_key &pool, const stage_rank &rank) const;
    /// Returns the time of one call of a stage's service with half a batch.
    [[nodiscard]] static std::chrono::microseconds halfBatchCallTime(const service_spec *service);

    /// Returns the time of one call of a stage's service with a full batch.
    [[nodiscard]] static std::chrono::microseconds fullBatchCallTime(const service_spec *service);

    /// Returns the time of each stage; zero for stages that are skipped.
    [[nodiscard]] std::vector<std::chrono::microseconds>
    stageTimes(const request_outline &request) const;
    /// The prediction for a request that arrives now.
    struct forecast
    {
        std::chrono::microseconds timeToAnswer{0}; ///< until the first answer, including the stages
        /// The wait for some stage is longer than a call with a full batch.
        bool hasBacklog = false;
    };
    [[nodiscard]] forecast forecastOf(const request_outline &request) const;
    /// Returns for each stage the time of everything that follows it: the later stages, then the
    /// request itself. `stageTimes` are the stage times of this request.
    [[nodiscard]] std::vector<std::chrono::microseconds>
    timesAfterStages(const request_outline &request,
                     const std::vector<std::chrono::microseconds> &stageTimes) const;
    /// Returns for each stage the time until its pieces are submitted, if the first ones are
    /// submitted now. `defersLeafStages`: stages without dependents start late, as in
    /// `stage_progress::takeReadyPieces`.
    [[nodiscard]] static std::vector<std::chrono::microseconds>
    timesUntilStages(const route &routeSpec,
                     const std::vector<std::chrono::microseconds> &stageTimes,
                     bool defersLeafStages);

private:
    struct stage_average
    {
        double average = 0; ///< µs
        steady_time at;
    };
    struct reported_wait
    {
        milliseconds wait{0};
        steady_time at;
    };

    const clock_source &m_clock;
    std::unordered_map<service_id, double> m_firstAnswerTimes; ///< µs
    std::map<std::pair<pool_key, stage_rank>, stage_average> m_stageAverages;
    std::map<std::pair<pool_key, stage_rank>, reported_wait> m_reportedWaits;
};

} // namespace orchidlead::gateway
