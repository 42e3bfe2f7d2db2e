#include "gateway/exchange/latency_estimator.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Used before the first measurement: about the prefill time of a medium-sized prompt.
constexpr std::chrono::microseconds DefaultFirstAnswerTime{250'000};
// Weight of the newest request in the moving average.
constexpr double FirstAnswerWeight = 0.05;
// Weight of the newest stage in the moving average. A backlog shows, and disappears, within a few
// requests.
constexpr double StageWeight = 0.15;
// Older averages are ignored, because bursts start and end within seconds.
constexpr milliseconds StageAverageLifetime{1500};
// Round-trip time between nodes and servers, including the processing time of a node.
constexpr std::chrono::microseconds RoundTripTime{5'000};

} // namespace

void latency_estimator::onFirstToken(const service_id &service, std::chrono::microseconds took)
{
    const auto [entry, isNew] = m_firstAnswerTimes.try_emplace(
        service, static_cast<double>(DefaultFirstAnswerTime.count()));
    entry->second += FirstAnswerWeight * (static_cast<double>(took.count()) - entry->second);
}

std::chrono::microseconds latency_estimator::firstAnswerTime(const service_id &service) const
{
    const auto found = m_firstAnswerTimes.find(service);
    if (found == m_firstAnswerTimes.end())
        return DefaultFirstAnswerTime;
    return std::chrono::microseconds{static_cast<std::int64_t>(found->second)};
}

void latency_estimator::onStage(const pool_key &pool, const stage_rank &rank,
                                std::chrono::microseconds took)
{
    auto &estimate = m_stageAverages[{pool, rank}];
    const auto newest = static_cast<double>(took.count());
    const bool expired = m_clock.now() - estimate.at > StageAverageLifetime;
    estimate.average =
        expired ? newest : estimate.average + StageWeight * (newest - estimate.average);
    estimate.at = m_clock.now();
}

void latency_estimator::onReportedWait(const pool_key &pool, const stage_rank &rank,
                                       milliseconds wait)
{
    m_reportedWaits[{pool, rank}] = {wait, m_clock.now()};
}

std::chrono::microseconds latency_estimator::remainingWait(const pool_key &pool,
                                                           const stage_rank &rank) const
{
    const auto found = m_reportedWaits.find({pool, rank});
    if (found == m_reportedWaits.end())
        return std::chrono::microseconds{0};
    const auto passed = m_clock.now() - found->second.at;
    const auto left = found->second.wait - passed;
    return std::max(std::chrono::microseconds{0},
                    std::chrono::duration_cast<std::chrono::microseconds>(left));
}

std::chrono::microseconds latency_estimator::stageTime(const service_spec *service,
                                                       const pool_key &pool,
                                                       const stage_rank &rank) const
{
    const auto minimum = halfBatchCallTime(service) + remainingWait(pool, rank);
    const auto found = m_stageAverages.find({pool, rank});
    if (found == m_stageAverages.end() || m_clock.now() - found->second.at > StageAverageLifetime)
        return minimum;
    return std::max(minimum,
                    std::chrono::microseconds{static_cast<std::int64_t>(found->second.average)});
}

std::chrono::microseconds latency_estimator::halfBatchCallTime(const service_spec *service)
{
    if (!service || !service->stage)
        return RoundTripTime;
    const auto &stage = *service->stage;
    return RoundTripTime + stage.callOverhead
        + stage.timePerPiece * static_cast<int>(stage.maxPiecesPerCall) / 2;
}

std::chrono::microseconds latency_estimator::fullBatchCallTime(const service_spec *service)
{
    if (!service || !service->stage)
        return RoundTripTime;
    const auto &stage = *service->stage;
    return stage.callOverhead + stage.timePerPiece * static_cast<int>(stage.maxPiecesPerCall);
}

std::vector<std::chrono::microseconds>
latency_estimator::stageTimes(const request_outline &request) const
{
    std::vector<std::chrono::microseconds> times;
    times.reserve(request.pools.size());
    for (std::size_t i = 0; i < request.pools.size(); ++i) {
        const auto &pool = request.pools[i];
        const auto *service = request.configuration.findService(pool.service);
        times.push_back(request.pieces[i] > 0 ? stageTime(service, pool, request.rank)
                                              : std::chrono::microseconds{0});
    }
    return times;
}

latency_estimator::forecast latency_estimator::forecastOf(const request_outline &request) const
{
    forecast estimate;
    const auto times = stageTimes(request);
    const auto after = timesAfterStages(request, times);
    for (std::size_t i = 0; i < request.pools.size(); ++i) {
        const auto &pool = request.pools[i];
        estimate.timeToAnswer = std::max(estimate.timeToAnswer, after[i] + times[i]);
        const auto *service = request.configuration.findService(pool.service);
        const bool needed = request.pieces[i] > 0 && service && service->stage;
        if (needed && remainingWait(pool, request.rank) > fullBatchCallTime(service))
            estimate.hasBacklog = true;
    }
    return estimate;
}

std::vector<std::chrono::microseconds>
latency_estimator::timesAfterStages(const request_outline &request,
                                    const std::vector<std::chrono::microseconds> &stageTimes) const
{
    const auto &stages = request.routeSpec.stages;
    std::vector<std::chrono::microseconds> after(stages.size(), firstAnswerTime(request.service));
    // Each stage comes after the stages that it depends on, so one pass from the end is enough.
    for (std::size_t i = stages.size(); i-- > 0;) {
        const auto throughStage = after[i] + stageTimes[i];
        for (const std::size_t before : stages[i].after) {
            if (before < after.size())
                after[before] = std::max(after[before], throughStage);
        }
    }
    return after;
}

std::vector<std::chrono::microseconds>
latency_estimator::timesUntilStages(const route &routeSpec,
                                    const std::vector<std::chrono::microseconds> &stageTimes,
                                    bool defersLeafStages)
{
    const auto &stages = routeSpec.stages;
    std::vector<std::chrono::microseconds> until(stages.size(), std::chrono::microseconds{0});
    std::vector<bool> hasDependents(stages.size(), false);
    for (std::size_t i = 0; i < stages.size(); ++i) {
        for (const std::size_t before : stages[i].after) {
            if (before >= i)
                continue;
            hasDependents[before] = true;
            until[i] = std::max(until[i], until[before] + stageTimes[before]);
        }
    }
    if (!defersLeafStages)
        return until;
    // A stage without dependents waits until all longer ones have been submitted.
    const auto earliest = until;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        for (std::size_t other = 0; other < stages.size() && !hasDependents[i]; ++other) {
            if (stageTimes[other] > stageTimes[i])
                until[i] = std::max(until[i], earliest[other]);
        }
    }
    return until;
}

} // namespace orchidlead::gateway
