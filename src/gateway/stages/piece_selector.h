#pragma once

#include "gateway/stages/piece_order.h"
#include "gateway/stages/piece_task.h"
#include "gateway/stages/result_room.h"
#include "gateway/stages/wait_estimator.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace orchidlead::gateway {

/// State of a pool on which the pieces of its next call depend.
struct call_conditions
{
    bool mayWait = false; ///< whether pieces may wait for a server beside their inputs
    bool othersIdle = false; ///< another server is idle
    bool crowded = false; ///< pieces in time need more than one call of each server
    double servers = 0; ///< as for `stage_pool::expire`
    const std::vector<server_ptr> &usable; ///< servers
};

/// Selects the waiting pieces of a call.
class piece_selector
{
public:
    piece_selector(const clock_source &clock, const piece_order &order, const result_room &room,
                   const wait_estimator &waits);

    void setMaxPieces(std::size_t pieces) { m_maxPieces = pieces; }
    void setUsesResultRoom(bool uses) { m_usesResultRoom = uses; }
    /// Takes the pieces of a call to `chosen` out of `waiting`, which is sorted for that server.
    [[nodiscard]] std::vector<piece_task> take(std::vector<piece_task> &waiting,
                                               const server &chosen,
                                               const call_conditions &conditions) const;
    /// Returns until when a piece waits for a server in its inputs' data centre.
    [[nodiscard]] steady_time localWaitEnd(const piece_task &job) const;

private:
    /// Returns whether all `pieces` pieces of the group of `first` can begin in time, if only some
    /// of them are in the next call. `takenBytes` are those of results of other pieces of the call.
    [[nodiscard]] bool restBeginsInTime(const piece_task &first, std::size_t pieces,
                                        std::uint64_t takenBytes,
                                        const call_conditions &conditions) const;
    /// Returns whether a piece still waits for a server in its inputs' data centre instead of going
    /// to `chosen`.
    [[nodiscard]] bool waitsForLocalServer(const piece_task &job, const server &chosen,
                                           const call_conditions &conditions,
                                           steady_time now) const;

    const clock_source &m_clock;
    const piece_order &m_order;
    const result_room &m_room;
    const wait_estimator &m_waits;
    std::size_t m_maxPieces = 1; ///< in a call, as configured
    bool m_usesResultRoom = true;
};

} // namespace orchidlead::gateway
