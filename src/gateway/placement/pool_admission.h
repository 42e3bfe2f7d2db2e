#pragma once

#include "gateway/stages/decaying_rate.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <map>

namespace orchidlead::gateway {

/// Admits as many requests as the servers of a pool can take while all of them are rate-limited.
///
/// More urgent ranks go first; the others share the rate that the arrivals of more urgent ranks
/// leave. A request that can't be admitted is refused at once, before any resources are spent on
/// it.
class pool_admission
{
public:
    explicit pool_admission(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Counts an arriving request of this rank; the servers take `perSecond` requests per second,
    /// greater than 0. Returns zero if the request is admitted, or else the time after which to
    /// retry.
    [[nodiscard]] milliseconds tryAdmit(const stage_rank &rank, double perSecond);

private:
    struct rank_state
    {
        decaying_rate arrivals;
        decaying_rate refusals;
        /// Admitted requests not yet worked off at the rank's share of the rate.
        double admittedBacklog = 0.0;
        steady_time updatedAt;
    };

    [[nodiscard]] double rateForRank(const stage_rank &rank, double perSecond) const;

    const clock_source &m_clock;
    std::map<stage_rank, rank_state> m_rankStates; ///< by the rank of the requests
};

} // namespace orchidlead::gateway
