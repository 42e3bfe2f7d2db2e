#include "gateway/exchange/answer_time_model.h"

#include <cmath>

namespace orchidlead::gateway {

namespace {

// The constants of RFC 6298.
constexpr double AverageWeight = 1.0 / 8;
constexpr double DeviationWeight = 1.0 / 4;
constexpr double DeviationFactor = 4;
// The first times say little about the deviation.
constexpr std::uint32_t MinCount = 4;
// Most routes whose times are kept; configurations have hundreds.
constexpr std::size_t MaxRoutes = 4096;

milliseconds roundedUp(double time)
{
    return milliseconds{static_cast<std::int64_t>(std::ceil(time))};
}

} // namespace

void answer_time_model::onEnd(const std::string &route, milliseconds took)
{
    if (m_times.size() >= MaxRoutes && !m_times.contains(route))
        m_times.clear();
    auto &smoothed = m_times[route];
    const auto time = static_cast<double>(took.count());
    if (smoothed.count++ == 0) {
        smoothed.average = time;
        smoothed.deviation = time / 2;
        return;
    }
    const double difference = time - smoothed.average;
    smoothed.deviation += DeviationWeight * (std::abs(difference) - smoothed.deviation);
    smoothed.average += AverageWeight * difference;
}

std::optional<answer_time_model::estimate>
answer_time_model::estimateFor(const std::string &route) const
{
    const auto found = m_times.find(route);
    if (found == m_times.end() || found->second.count < MinCount)
        return std::nullopt;
    const auto &smoothed = found->second;
    return estimate{roundedUp(smoothed.average),
                    roundedUp(smoothed.average + DeviationFactor * smoothed.deviation)};
}

} // namespace orchidlead::gateway
