#include <orchidlead/concurrency_limit.h>

#include <algorithm>
#include <cmath>

namespace orchidlead {

namespace {

constexpr double MinLimit = 1.0;
constexpr double MaxLimit = 512.0;
constexpr double RefusalFactor = 0.75;
constexpr double LatencyFactor = 0.9;
constexpr double MaxQueueFactor = 0.9;
constexpr double MinQueueFactor = 0.4;
constexpr double MaxQueueShare = 0.5; ///< of the running calls
constexpr double MaxLatencyRatio = 2.5; ///< short-term to long-term
constexpr double GradientTolerance = 1.5;
constexpr double GradientSmoothing = 0.2;
constexpr double ShortTermWeight = 1.0 / 8;
constexpr double LongTermWeight = 1.0 / 256;

double smoothed(double old, double sample, double weight)
{
    return old == 0.0 ? sample : old + (sample - old) * weight;
}

// The answers and refusals of one burst describe the same moment. Without a cooldown between
// reductions they would cut the limit to the minimum.
bool cooldownElapsed(steady_time last, double shortTerm, steady_time now)
{
    const auto cooldown = std::chrono::microseconds{static_cast<std::int64_t>(shortTerm)};
    return now - last >= std::max(cooldown, std::chrono::microseconds{1000});
}

// Reports are rare for servers whose answers don't carry them, so a single report of a long queue
// must reduce the limit by more. Within its bounds, the factor leaves half as many queued calls as
// running ones.
double queueFactor(std::uint32_t running, std::uint32_t queued)
{
    const double wanted = (1.0 + MaxQueueShare) * running / (running + queued);
    return std::clamp(wanted, MinQueueFactor, MaxQueueFactor);
}

} // namespace

void aimd_limit::shrink(double factor, steady_time now)
{
    if (!cooldownElapsed(m_lastShrunk, m_shortTerm, now))
        return;
    m_limit = std::max(MinLimit, m_limit * factor);
    m_lastShrunk = now;
}

void aimd_limit::onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding,
                          steady_time now)
{
    const auto sample = static_cast<double>(latency.count());
    m_shortTerm = smoothed(m_shortTerm, sample, ShortTermWeight);
    m_longTerm = smoothed(m_longTerm, sample, LongTermWeight);
    if (m_shortTerm > MaxLatencyRatio * m_longTerm) {
        shrink(LatencyFactor, now);
        return;
    }
    const bool usedUp = outstanding + 1 >= limit();
    if (usedUp)
        m_limit = std::min(MaxLimit, m_limit + 1.0 / m_limit);
}

// Priorities, fairness and cancellation don't apply to work that is queued at the server. A short
// queue there is enough to keep it busy.
void aimd_limit::onReport(std::uint32_t running, std::uint32_t queued, steady_time now)
{
    if (queued > MaxQueueShare * running)
        shrink(queueFactor(running, queued), now);
}

void aimd_limit::onRefused(std::uint32_t outstanding, steady_time now)
{
    // A limit above the number of outstanding attempts was not in effect. Reducing it by a factor
    // alone could leave it above that number, and the server would keep refusing.
    m_limit = std::clamp(static_cast<double>(outstanding), MinLimit, m_limit);
    shrink(RefusalFactor, now);
}

void gradient_limit::onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding,
                              steady_time)
{
    const auto sample = static_cast<double>(latency.count());
    m_shortTerm = smoothed(m_shortTerm, sample, ShortTermWeight);
    m_longTerm = smoothed(m_longTerm, sample, LongTermWeight);
    if (2 * outstanding < limit())
        return;
    const double gradient = std::clamp(GradientTolerance * m_longTerm / m_shortTerm, 0.5, 1.0);
    const double wanted = m_limit * gradient + std::sqrt(m_limit);
    m_limit =
        std::clamp(smoothed(m_limit, wanted, GradientSmoothing / m_limit), MinLimit, MaxLimit);
}

void gradient_limit::onReport(std::uint32_t running, std::uint32_t queued, steady_time now)
{
    if (queued <= MaxQueueShare * running || !cooldownElapsed(m_lastShrunk, m_shortTerm, now))
        return;
    m_limit = std::max(MinLimit, m_limit * MaxQueueFactor);
    m_lastShrunk = now;
}

void gradient_limit::onRefused(std::uint32_t, steady_time now)
{
    if (!cooldownElapsed(m_lastShrunk, m_shortTerm, now))
        return;
    m_limit = std::max(MinLimit, m_limit * RefusalFactor);
    m_lastShrunk = now;
}

} // namespace orchidlead
