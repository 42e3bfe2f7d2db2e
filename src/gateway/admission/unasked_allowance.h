#pragma once

#include "gateway/servers/pool_key.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Decides whether a request may send its pieces to a pool without asking the pool's host for
/// admission, so that no messages are spent while nothing is scarce.
///
/// The host reports the wait of the pool with each outcome of a piece. A pool whose last reported
/// wait is shorter than a call needs no admission, but only a limited number of pieces goes there
/// unasked until the next report: in a burst the wait grows before a report says so. Pieces that
/// have not arrived at the pool yet, as the stages before take time, count beyond a report.
class unasked_allowance
{
public:
    /// What a request needs of a pool.
    struct demand
    {
        std::uint32_t pieces = 0;
        milliseconds callTime{0}; ///< of a full call of the pool
        std::uint32_t maxPiecesPerCall = 1;
    };

    explicit unasked_allowance(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Records a wait that the host of a pool reported.
    void onReportedWait(const pool_key &pool, const stage_rank &rank, milliseconds wait);
    /// Returns whether the pieces may go to the pool unasked, and counts them if so.
    [[nodiscard]] bool tryUse(const pool_key &pool, const stage_rank &rank, const demand &wanted);

private:
    struct unasked_request
    {
        std::uint32_t pieces = 0;
        steady_time at;
        bool reported = false; ///< a report came since, which may not include them
    };
    struct pool_report
    {
        milliseconds wait{0};
        steady_time at;
        std::vector<unasked_request> unasked; ///< that the last report may not include
    };

    /// Returns how many unasked pieces count beside the last report.
    [[nodiscard]] static std::uint32_t countUnasked(const pool_report &report,
                                                    const demand &wanted);

    const clock_source &m_clock;
    std::map<std::pair<pool_key, stage_rank>, pool_report> m_reports;
};

} // namespace orchidlead::gateway
