#pragma once

#include "gateway/stages/decaying_rate.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <map>

namespace orchidlead::gateway {

/// Lets in as many requests as the servers of a pool take, while each of them names a bound.
///
/// The more urgent ranks go first: the others share what those that come leave of the rate. What
/// can't be let in is told at once, before anything is spent on it.
class pool_admission
{
public:
    explicit pool_admission(const clock_source &clock)
        : m_clock(clock)
    { }

    /// One request of the rank comes, and the servers take so many a second, above 0. Zero: it is
    /// let in; else when it may come back.
    [[nodiscard]] milliseconds ask(const stage_rank &rank, double perSecond);

private:
    struct rank_account
    {
        decaying_rate arrivals;
        decaying_rate refusals;
        double waiting = 0.0; ///< let in and not worked off yet, at the rank's part of the rate
        steady_time at;
    };

    [[nodiscard]] double rateOf(const stage_rank &rank, double perSecond) const;

    const clock_source &m_clock;
    std::map<stage_rank, rank_account> m_ranks;
};

} // namespace orchidlead::gateway
