#include "gateway/exchange/time_estimates.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Before anything was seen: about the prefill of a middling prompt.
constexpr std::chrono::microseconds FirstGuess{250'000};
// Weight of the newest request in the average.
constexpr double LearnWeight = 0.05;
// Weight of the newest stage: a backlog shows within a few requests, and is forgotten as fast.
constexpr double LearnStageWeight = 0.15;
// What was seen longer ago says nothing of now: bursts begin and end within seconds.
constexpr milliseconds StageMemory{1500};
// Of one way between nodes and servers, there and back, with what a node's processor takes.
constexpr std::chrono::microseconds HopTime{5'000};

std::chrono::microseconds fullCall(const stage_capacity &stage)
{
    return stage.callTime + stage.pieceTime * static_cast<int>(stage.batch);
}

} // namespace

void time_estimates::onFirstAnswer(const service_id &service, std::chrono::microseconds took)
{
    const auto [entry, isNew] =
        m_firstAnswers.try_emplace(service, static_cast<double>(FirstGuess.count()));
    entry->second += LearnWeight * (static_cast<double>(took.count()) - entry->second);
}

std::chrono::microseconds time_estimates::firstAnswer(const service_id &service) const
{
    const auto found = m_firstAnswers.find(service);
    if (found == m_firstAnswers.end())
        return FirstGuess;
    return std::chrono::microseconds{static_cast<std::int64_t>(found->second)};
}

void time_estimates::onStage(const pool_key &pool, const stage_rank &rank,
                             std::chrono::microseconds took)
{
    auto &seen = m_stages[{pool, rank}];
    const auto newest = static_cast<double>(took.count());
    const bool old = m_clock.now() - seen.at > StageMemory;
    seen.average = old ? newest : seen.average + LearnStageWeight * (newest - seen.average);
    seen.at = m_clock.now();
}

void time_estimates::onWait(const pool_key &pool, const stage_rank &rank, milliseconds wait)
{
    m_waits[{pool, rank}] = {wait, m_clock.now()};
}

std::chrono::microseconds time_estimates::waitOf(const pool_key &pool, const stage_rank &rank) const
{
    const auto found = m_waits.find({pool, rank});
    if (found == m_waits.end())
        return std::chrono::microseconds{0};
    const auto passed = m_clock.now() - found->second.at;
    const auto left = found->second.wait - passed;
    return std::max(std::chrono::microseconds{0},
                    std::chrono::duration_cast<std::chrono::microseconds>(left));
}

std::chrono::microseconds time_estimates::stageTime(const service_spec *service,
                                                    const pool_key &pool,
                                                    const stage_rank &rank) const
{
    const auto least = stageCall(service) + waitOf(pool, rank);
    const auto found = m_stages.find({pool, rank});
    if (found == m_stages.end() || m_clock.now() - found->second.at > StageMemory)
        return least;
    return std::max(least,
                    std::chrono::microseconds{static_cast<std::int64_t>(found->second.average)});
}

std::chrono::microseconds time_estimates::stageCall(const service_spec *service)
{
    if (!service || !service->stage)
        return HopTime;
    const auto &stage = *service->stage;
    return HopTime + stage.callTime + stage.pieceTime * static_cast<int>(stage.batch) / 2;
}

std::vector<std::chrono::microseconds>
time_estimates::stageTimes(const request_outline &request) const
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

time_estimates::outlook time_estimates::outlookOf(const request_outline &request) const
{
    outlook seen;
    const auto times = stageTimes(request);
    const auto after = afterStages(request, times);
    for (std::size_t i = 0; i < request.pools.size(); ++i) {
        const auto &pool = request.pools[i];
        seen.toAnswer = std::max(seen.toAnswer, after[i] + times[i]);
        const auto *service = request.configuration.findService(pool.service);
        const bool needed = request.pieces[i] > 0 && service && service->stage;
        if (needed && waitOf(pool, request.rank) > fullCall(*service->stage))
            seen.crowded = true;
    }
    return seen;
}

std::vector<std::chrono::microseconds>
time_estimates::afterStages(const request_outline &request,
                            const std::vector<std::chrono::microseconds> &stageTimes) const
{
    const auto &stages = request.way.stages;
    std::vector<std::chrono::microseconds> after(stages.size(), firstAnswer(request.service));
    // Stages come behind those that they need, so one pass from the end suffices.
    for (std::size_t i = stages.size(); i-- > 0;) {
        const auto through = after[i] + stageTimes[i];
        for (const std::size_t before : stages[i].after) {
            if (before < after.size())
                after[before] = std::max(after[before], through);
        }
    }
    return after;
}

} // namespace orchidlead::gateway
