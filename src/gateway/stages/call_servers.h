#pragma once

#include "gateway/servers/server_directory.h"
#include "gateway/stages/piece_task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// Tracks which servers of a pool may get a call: a server gets one call at a time, and none for a
/// while after it refused a call or failed.
class call_servers
{
public:
    explicit call_servers(const clock_source &clock)
        : m_clock(clock)
    { }

    void onCallStart(const server &called) { ++m_states[called.record.start()].calls; }
    void onCallEnd(const server &called, stage_call_end callEnd);
    /// Records that a server had no room for a result, where no account of its room is kept.
    void pauseWithoutRoom(const server_start &start);
    /// Returns the servers that may get a call now, the most suitable first.
    [[nodiscard]] std::vector<server_ptr> idle(const std::vector<server_ptr> &servers,
                                               const data_center_id &preferredDataCenter) const;
    [[nodiscard]] bool isIdle(const server_start &start) const;
    /// Returns whether a server gets no call because its last one failed.
    [[nodiscard]] bool pausesAfterFailure(const server_start &start) const;
    /// Returns when the first pause of a server without a call ends.
    [[nodiscard]] std::optional<steady_time> firstPauseEnd() const;

private:
    struct server_state
    {
        std::uint32_t calls = 0; ///< in progress
        steady_time pausedUntil{}; ///< gets no call before this
        std::uint32_t consecutiveFailures = 0; ///< calls without an answer
    };

    const clock_source &m_clock;
    std::map<server_start, server_state> m_states;
};

} // namespace orchidlead::gateway
