#pragma once

#include "gateway/publication/configuration.h"
#include "gateway/stages/decaying_rate.h"
#include "gateway/stages/result_room.h"
#include "gateway/stages/stage_rank.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace orchidlead::gateway {

/// Estimates how long pieces wait in a pool for the time of servers and for storage of results,
/// given the arrival rates of more urgent pieces.
class wait_estimator
{
public:
    wait_estimator(const clock_source &clock, const result_room &room);

    void setCapacity(const stage_capacity &capacity) { m_capacity = capacity; }
    void setUsesResultRoom(bool uses) { m_usesResultRoom = uses; }
    /// Records that a piece arrived.
    void onArrival(const stage_rank &rank, std::uint64_t resultBytes);

    /// Returns the expected duration of a call at a server of usual speed.
    [[nodiscard]] std::chrono::microseconds callTime(std::size_t pieces) const;
    [[nodiscard]] std::chrono::microseconds fullCallTime() const;
    /// Returns whether the storage of servers limits a result.
    [[nodiscard]] bool needsRoom(std::uint64_t resultBytes) const;
    /// Estimates how long all servers together take for `pieces` of a rank.
    [[nodiscard]] std::chrono::microseconds serverWait(std::size_t pieces, const stage_rank &rank,
                                                       double servers) const;
    /// Estimates how long pieces of a rank wait for storage. `bytes` are those of their results and
    /// of all that wait ahead of them.
    [[nodiscard]] std::chrono::microseconds
    roomWait(const room_forecast &forecast, std::uint64_t bytes, const stage_rank &rank) const;
    /// Returns how many pieces of a rank all servers together take in full calls; 0 if there are no
    /// servers.
    [[nodiscard]] double piecesPerSecond(const stage_rank &rank, double servers) const;
    /// Returns how many bytes of results the servers have room for per second, given how long
    /// results were held recently; 0 if room doesn't limit results of this size.
    [[nodiscard]] double resultBytesPerSecond(double servers, std::uint64_t resultBytes) const;

private:
    const clock_source &m_clock;
    const result_room &m_room;
    stage_capacity m_capacity;
    bool m_usesResultRoom = true;
    std::map<stage_rank, decaying_rate> m_arrivals;
    std::map<stage_rank, decaying_rate> m_arrivingBytes; ///< of results that need room
};

} // namespace orchidlead::gateway
