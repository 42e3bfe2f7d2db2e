#include "gateway/stages/piece_order.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// A piece whose inputs are in another data centre is ordered as if due this much later: about the
// duration of a call.
constexpr milliseconds RemoteInputPenalty{250};

} // namespace

// Returns whether a call that starts now would end after the piece's `softDeadline`, by the fixed
// time of a call alone.
bool piece_order::isLate(const piece_task &job, steady_time now) const
{
    return latestStart(job) < now;
}

steady_time piece_order::nextCallEnd(std::size_t waiting, steady_time now) const
{
    const auto pieces = std::min<std::size_t>(waiting, m_capacity.maxPiecesPerCall);
    return now + m_capacity.callOverhead + m_capacity.timePerPiece * static_cast<int>(pieces);
}

// The place was granted for a begin that leaves time for a full call. A piece that misses it by a
// part of a call isn't dropped, but served after the pieces that can be in time: ahead of these, it
// would end late and make some of them late too.
bool piece_order::missesPlace(const piece_task &job, steady_time callEnd)
{
    return job.reserved && job.softDeadline < callEnd;
}

bool piece_order::precedes(const piece_task &a, const piece_task &b, const data_center_id &at,
                           steady_time now, steady_time callEnd) const
{
    const auto due = [&](const piece_task &job) {
        const bool remote =
            !at.empty() && !job.preferredDataCenter.empty() && job.preferredDataCenter != at;
        return job.softDeadline + (remote ? RemoteInputPenalty : milliseconds{0});
    };
    const bool lateA = isLate(a, now) || missesPlace(a, callEnd);
    const bool lateB = isLate(b, now) || missesPlace(b, callEnd);
    if (lateA != lateB)
        return lateB;
    if (a.rank != b.rank)
        return a.rank < b.rank;
    return due(a) < due(b);
}

// The whole sort uses one timestamp: an order that changes during the sort could make it access
// elements out of bounds. Pieces mostly are in order already, and moving them costs more than all
// other decisions of a pool with hundreds of waiting pieces.
void piece_order::sort(std::vector<piece_task> &waiting, const data_center_id &at,
                       steady_time now) const
{
    const auto callEnd = nextCallEnd(waiting.size(), now);
    const auto isBefore = [&](const piece_task &a, const piece_task &b) {
        return precedes(a, b, at, now, callEnd);
    };
    if (!std::ranges::is_sorted(waiting, isBefore))
        std::ranges::stable_sort(waiting, isBefore);
}

std::size_t groupEnd(const std::vector<piece_task> &waiting, std::size_t begin)
{
    const auto &first = waiting[begin];
    std::size_t end = begin + 1;
    while (end < waiting.size() && waiting[end].request.attempt == first.request.attempt
           && waiting[end].request.stage == first.request.stage
           && waiting[end].version == first.version)
        ++end;
    return end;
}

} // namespace orchidlead::gateway
