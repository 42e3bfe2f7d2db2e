#include "gateway/placement/pool_admission.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Requests are admitted this far ahead of the rate. They arrive unevenly, and a server that is idle
// until the next request would get less than its limit.
constexpr std::chrono::duration<double> BurstWindow{0.25};
// Minimum share of the rate for a less urgent rank, so that no rank starves.
constexpr double MinRankShare = 0.05;
// Upper bound for the retry time given to a client: limits change within seconds.
constexpr std::chrono::duration<double> MaxRetryAfter{5.0};

} // namespace

double pool_admission::rateForRank(const stage_rank &rank, double perSecond) const
{
    double remaining = perSecond;
    for (const auto &[other, each] : m_rankStates) {
        if (other < rank)
            remaining -= each.arrivals.perSecond(m_clock.now());
    }
    return std::max(remaining, MinRankShare * perSecond);
}

// Requests refused in the last second are retried as well and are served at the same rate, so the
// time until there is room for one more includes them.
milliseconds pool_admission::tryAdmit(const stage_rank &rank, double perSecond)
{
    const auto now = m_clock.now();
    auto &state = m_rankStates[rank];
    state.arrivals.onEvent(now);
    const double rate = rateForRank(rank, perSecond);
    const std::chrono::duration<double> elapsed = now - state.updatedAt;
    state.admittedBacklog = std::max(0.0, state.admittedBacklog - rate * elapsed.count());
    state.updatedAt = now;
    const double excess = state.admittedBacklog - rate * BurstWindow.count();
    if (excess <= 0) {
        state.admittedBacklog += 1.0;
        return milliseconds{0};
    }
    state.refusals.onEvent(now);
    const std::chrono::duration<double> retryAfter{(excess + state.refusals.perSecond(now)) / rate};
    return std::chrono::ceil<milliseconds>(std::min(retryAfter, MaxRetryAfter));
}

} // namespace orchidlead::gateway
