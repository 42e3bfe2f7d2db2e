#include "gateway/time_estimates.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Before anything was seen: about the prefill of a middling prompt.
constexpr std::chrono::microseconds FirstGuess{250'000};
// Weight of the newest request in the average.
constexpr double LearnWeight = 0.05;
// Of one way between nodes and servers, there and back, with what a node's processor takes.
constexpr std::chrono::microseconds HopTime{5'000};

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

std::chrono::microseconds time_estimates::stageCall(const service_spec *service)
{
    if (!service || !service->stage)
        return HopTime;
    const auto &stage = *service->stage;
    return HopTime + stage.callTime + stage.pieceTime * static_cast<int>(stage.batch) / 2;
}

std::vector<std::chrono::microseconds>
time_estimates::afterStages(const configuration_index &configuration, const route &way,
                            const service_id &service) const
{
    std::vector<std::chrono::microseconds> after(way.stages.size(), firstAnswer(service));
    // Stages come behind those that they need, so one pass from the end suffices.
    for (std::size_t i = way.stages.size(); i-- > 0;) {
        const auto through = after[i] + stageCall(configuration.findService(way.stages[i].service));
        for (const std::size_t before : way.stages[i].after) {
            if (before < after.size())
                after[before] = std::max(after[before], through);
        }
    }
    return after;
}

} // namespace orchidlead::gateway
