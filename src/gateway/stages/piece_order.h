#pragma once

#include "gateway/publication/configuration.h"
#include "gateway/stages/piece_task.h"

#include <cstddef>
#include <vector>

namespace orchidlead::gateway {

/// Order in which the waiting pieces of a pool get calls: pieces whose `softDeadline` can still be
/// met precede late ones; within both groups pieces are ordered by rank, then by `softDeadline`.
class piece_order
{
public:
    void setCapacity(const stage_capacity &capacity) { m_capacity = capacity; }
    [[nodiscard]] bool isLate(const piece_task &job, steady_time now) const;
    /// Returns when a call that starts now ends if this number of pieces waits for it.
    [[nodiscard]] steady_time nextCallEnd(std::size_t waiting, steady_time now) const;
    /// Returns whether a piece with a reservation would be late if its call ended at `callEnd`.
    [[nodiscard]] static bool missesPlace(const piece_task &job, steady_time callEnd);
    /// Returns the last time at which a call can begin and end by the piece's `softDeadline`.
    [[nodiscard]] steady_time latestStart(const piece_task &job) const
    {
        return job.softDeadline - m_capacity.callOverhead;
    }
    /// Returns whether `a` precedes `b` at time `now`, for a server in the data centre `at`; if
    /// `at` is empty, for a server anywhere. `callEnd` is the end of the next call.
    [[nodiscard]] bool precedes(const piece_task &a, const piece_task &b, const data_center_id &at,
                                steady_time now, steady_time callEnd) const;
    /// Sorts waiting pieces by `precedes`.
    void sort(std::vector<piece_task> &waiting, const data_center_id &at, steady_time now) const;

private:
    stage_capacity m_capacity;
};

/// Returns the end of the run of waiting pieces of the same request, stage and required version
/// from `begin` on.
[[nodiscard]] std::size_t groupEnd(const std::vector<piece_task> &waiting, std::size_t begin);

} // namespace orchidlead::gateway
