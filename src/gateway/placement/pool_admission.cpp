#include "gateway/placement/pool_admission.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Requests are let in so far ahead of the rate: they don't come evenly, and a server that is idle
// until the next one comes gets less than it takes.
constexpr std::chrono::duration<double> Ahead{0.25};
// Part of the rate that a less urgent rank gets at least, whatever else comes: nobody is left out.
constexpr double LeastShare = 0.05;
// Beyond this, a request is told to come back all the same: limits change within seconds.
constexpr std::chrono::duration<double> LongestAway{5.0};

} // namespace

double pool_admission::rateOf(const stage_rank &rank, double perSecond) const
{
    double left = perSecond;
    for (const auto &[other, each] : m_ranks) {
        if (other < rank)
            left -= each.arrivals.perSecond(m_clock.now());
    }
    return std::max(left, LeastShare * perSecond);
}

// Those that were refused in the last second come back, too, and are served at the same rate: so
// long from now there is room for one more.
milliseconds pool_admission::ask(const stage_rank &rank, double perSecond)
{
    const auto now = m_clock.now();
    auto &own = m_ranks[rank];
    own.arrivals.onEvent(now);
    const double rate = rateOf(rank, perSecond);
    const std::chrono::duration<double> passed = now - own.at;
    own.waiting = std::max(0.0, own.waiting - rate * passed.count());
    own.at = now;
    const double over = own.waiting - rate * Ahead.count();
    if (over <= 0) {
        own.waiting += 1.0;
        return milliseconds{0};
    }
    own.refusals.onEvent(now);
    const std::chrono::duration<double> away{(over + own.refusals.perSecond(now)) / rate};
    return std::chrono::ceil<milliseconds>(std::min(away, LongestAway));
}

} // namespace orchidlead::gateway
