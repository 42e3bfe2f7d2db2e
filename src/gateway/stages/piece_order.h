#pragma once

#include "gateway/stages/piece_task.h"

#include <cstddef>
#include <vector>

namespace orchidlead::gateway {

/// Order in which the waiting pieces of a pool get calls: pieces whose `softDeadline` can still be
/// met precede late ones; within both groups pieces are ordered by rank, then by `softDeadline`.
class piece_order
{
public:
    /// Sets the fixed time of a call.
    void setCallOverhead(milliseconds overhead) { m_callOverhead = overhead; }
    [[nodiscard]] bool isLate(const piece_task &job, steady_time now) const;
    /// Returns whether `a` precedes `b` at time `now`, for a server in the data centre `at`; if
    /// `at` is empty, for a server anywhere.
    [[nodiscard]] bool precedes(const piece_task &a, const piece_task &b, const data_center_id &at,
                                steady_time now) const;
    /// Sorts waiting pieces by `precedes`.
    void sort(std::vector<piece_task> &waiting, const data_center_id &at, steady_time now) const;

private:
    milliseconds m_callOverhead{0};
};

/// Returns the end of the run of waiting pieces of the same request and stage from `begin` on.
[[nodiscard]] std::size_t groupEnd(const std::vector<piece_task> &waiting, std::size_t begin);

} // namespace orchidlead::gateway
