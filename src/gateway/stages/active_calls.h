#pragma once

#include "gateway/stages/piece_task.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// A call in progress.
struct active_call
{
    server_ptr server;
    std::vector<piece_task> jobs;
    steady_time startedAt;
    std::chrono::microseconds expected{0}; ///< duration at nominal speed
    steady_time overdueAt;
    steady_time timeoutAt;
    steady_time hedgeAt; ///< from here on, its pieces may be computed elsewhere as well
    bool mayBeHedged = false; ///< some pieces may be, and no decision was made yet
    bool isHedged = false; ///< computes pieces of an overdue call
    stage_call_id other = 0; ///< the other call with the same pieces; 0: there is none
};

/// The calls of a pool that are in progress. A piece is in at most two of them: in its first call
/// and in a hedged one.
class active_calls
{
public:
    /// Adds a call and returns its identifier.
    stage_call_id add(active_call call);
    /// Removes a call that ended; empty if it is unknown.
    [[nodiscard]] std::optional<active_call> take(stage_call_id id);
    [[nodiscard]] active_call &at(stage_call_id id) { return m_calls.at(id); }
    /// Returns a call that is in progress; else null.
    [[nodiscard]] const active_call *find(stage_call_id id) const;
    /// Marks a piece as withdrawn: its results will be freed.
    void withdraw(piece_token token);
    /// Returns the same piece in the other call, if that is in progress and the piece wasn't
    /// withdrawn; else null.
    [[nodiscard]] piece_task *copyOf(const active_call &call, piece_token token);
    /// Returns the calls that may be hedged now: those with the most urgent pieces first, and among
    /// them the one that has waited for the longest time.
    [[nodiscard]] std::vector<stage_call_id> toHedge(steady_time now) const;
    /// Returns when the next call may be hedged.
    [[nodiscard]] std::optional<steady_time> nextHedgeAt(steady_time now) const;
    [[nodiscard]] std::size_t size() const { return m_calls.size(); }

private:
    std::map<stage_call_id, active_call> m_calls;
    stage_call_id m_last = 0;
};

} // namespace orchidlead::gateway
