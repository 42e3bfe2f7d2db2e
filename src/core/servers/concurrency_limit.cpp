#include <orchidlead/concurrency_limit.h>

#include <algorithm>
#include <cmath>

namespace orchidlead {

namespace {

constexpr double MinLimit = 1.0;
constexpr double MaxLimit = 512.0;
constexpr double RefusedFactor = 0.75;
constexpr double SlowFactor = 0.9;
constexpr double QueuedFactor = 0.9;
constexpr double LowestQueuedFactor = 0.4;
constexpr double QueuedShare = 0.5; ///< of the running calls
constexpr double SlowMultiple = 2.5; ///< of the long-term time
constexpr double GradientTolerance = 1.5;
constexpr double GradientSmoothing = 0.2;
constexpr double ShortWeight = 1.0 / 8;
constexpr double LongWeight = 1.0 / 256;

double smoothed(double old, double sample, double weight)
{
    return old == 0.0 ? sample : old + (sample - old) * weight;
}

// Without a rest between two cuts, the answers and refusals of one burst, which all tell of
// the same moment, would cut the limit to the minimum.
bool restedSince(steady_time last, double shortTerm, steady_time now)
{
    const auto rest = std::chrono::microseconds{static_cast<std::int64_t>(shortTerm)};
    return now - last >= std::max(rest, std::chrono::microseconds{1000});
}

// Reports come seldom where a server answers without them, so one that tells of a long queue must
// count for more: what is left over keeps half as much waiting as runs.
double queuedFactor(std::uint32_t running, std::uint32_t queued)
{
    const double wanted = (1.0 + QueuedShare) * running / (running + queued);
    return std::clamp(wanted, LowestQueuedFactor, QueuedFactor);
}

} // namespace

void aimd_limit::shrink(double factor, steady_time now)
{
    if (!restedSince(m_lastShrunk, m_shortTerm, now))
        return;
    m_limit = std::max(MinLimit, m_limit * factor);
    m_lastShrunk = now;
}

void aimd_limit::onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding,
                          steady_time now)
{
    const auto sample = static_cast<double>(latency.count());
    m_shortTerm = smoothed(m_shortTerm, sample, ShortWeight);
    m_longTerm = smoothed(m_longTerm, sample, LongWeight);
    if (m_shortTerm > SlowMultiple * m_longTerm) {
        shrink(SlowFactor, now);
        return;
    }
    const bool usedUp = outstanding + 1 >= limit();
    if (usedUp)
        m_limit = std::min(MaxLimit, m_limit + 1.0 / m_limit);
}

// Work that waits at the server is beyond the reach of priorities, fairness and cancelled plans;
// a short queue there is all that keeps it busy.
void aimd_limit::onReport(std::uint32_t running, std::uint32_t queued, steady_time now)
{
    if (queued > QueuedShare * running)
        shrink(queuedFactor(running, queued), now);
}

void aimd_limit::onRefused(std::uint32_t outstanding, steady_time now)
{
    // A limit above what was outstanding had no part in it; cutting it alone would change nothing
    // for a while, and the server would refuse on.
    m_limit = std::clamp(static_cast<double>(outstanding), MinLimit, m_limit);
    shrink(RefusedFactor, now);
}

void gradient_limit::onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding,
                              steady_time)
{
    const auto sample = static_cast<double>(latency.count());
    m_shortTerm = smoothed(m_shortTerm, sample, ShortWeight);
    m_longTerm = smoothed(m_longTerm, sample, LongWeight);
    if (2 * outstanding < limit())
        return;
    const double gradient = std::clamp(GradientTolerance * m_longTerm / m_shortTerm, 0.5, 1.0);
    const double wanted = m_limit * gradient + std::sqrt(m_limit);
    m_limit =
        std::clamp(smoothed(m_limit, wanted, GradientSmoothing / m_limit), MinLimit, MaxLimit);
}

void gradient_limit::onReport(std::uint32_t running, std::uint32_t queued, steady_time now)
{
    if (queued <= QueuedShare * running || !restedSince(m_lastShrunk, m_shortTerm, now))
        return;
    m_limit = std::max(MinLimit, m_limit * QueuedFactor);
    m_lastShrunk = now;
}

void gradient_limit::onRefused(std::uint32_t, steady_time now)
{
    if (!restedSince(m_lastShrunk, m_shortTerm, now))
        return;
    m_limit = std::max(MinLimit, m_limit * RefusedFactor);
    m_lastShrunk = now;
}

} // namespace orchidlead
