#pragma once

#include "gateway/codec.h"
#include "gateway/servers/pool_key.h"
#include "gateway/servers/residency.h"
#include "gateway/servers/server_directory.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// Identifies a piece to its submitter; 0 for a withdrawn piece.
using piece_token = std::uint64_t;
using stage_call_id = std::uint64_t;

/// A piece that waits for a server.
struct piece_task
{
    piece_token token = 0;
    piece_request request;
    stage_rank rank;
    steady_time softDeadline{}; ///< end by which its request can still meet its latency objective
    steady_time deadline{}; ///< the piece is dropped after this
    data_center_id preferredDataCenter; ///< data centre of its inputs
    std::uint64_t inputBytes = 0; ///< approximate total of all inputs
    std::size_t resultBytes = 0; ///< approximate
    steady_time submittedAt{};
    std::uint32_t tries = 0; ///< calls that included the piece
    bool reserved = false; ///< the host had reserved a place for the piece
    /// The pool where a place is reserved. Not sent to the host.
    std::optional<pool_key> reservedPool;
    bool admitted = false; ///< the piece was predicted to meet its `softDeadline`
    residency allowed; ///< regions; not sent to the host, as each pool is in one region
    /// The piece may move to another pool if no server is reachable. Not sent to the host.
    bool mayChangePool = false;
    bool mayBeRedirected = false; ///< to another pool of the service, while it waits
    bool mayBeHedged = false; ///< its request may be repeated
    data_center_id redirectedFrom; ///< of the pool that redirected it; empty: none did
    /// Software version of the server that must compute it; empty: any.
    std::optional<software_version> version;
};

/// A call to be started now.
struct stage_call
{
    stage_call_id id = 0;
    server_ptr server;
    std::vector<piece_request> pieces;
    milliseconds timeout{0};
    milliseconds longestWait{0}; ///< of its pieces, before the call
    server_ptr overdueServer; ///< of a hedged call: the server whose call is overdue
    milliseconds overdueAge{0}; ///< of a hedged call: the time since the overdue one began
};

/// What follows when a call has had no answer within its timeout.
struct timeout_action
{
    bool ends = false; ///< the call is to be ended
    std::optional<stage_call> second; ///< a call of the same pieces, to be started now
    /// An older call of the same pieces, to be ended when `second` starts; 0: none.
    stage_call_id replaced = 0;
};

/// Final result of a piece.
struct piece_outcome
{
    piece_token token = 0;
    piece_result result;
    std::optional<pool_key> redirectedTo = std::nullopt;
    software_version version = {}; ///< of the server that computed the result
};

/// Outcome of a piece as reported to its submitter.
struct piece_report
{
    piece_result result;
    milliseconds wait{0}; ///< estimated, of a new piece of the same rank
    /// The pool to send a redirected piece to. In the report to the submitter's request: the pool
    /// that reports the wait, if it isn't the one that was chosen at submission.
    std::optional<pool_key> pool = std::nullopt;
    /// Software version of the server that computed the result; empty: not stated, as the host of
    /// the pool knows a single one. Sent between nodes only together with `pool`.
    std::optional<software_version> version = std::nullopt;
};

/// How a call ended.
enum class stage_call_end {
    Answered,
    NotSent, ///< not received by any server
    Withheld, ///< not sent, as the server stopped accepting calls
    NotRun, ///< refused by the server without running
    Broken, ///< timed out or without a valid answer; may have run
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::stage_call_end>{
    orchidlead::enum_name<orchidlead::gateway::stage_call_end>{
        orchidlead::gateway::stage_call_end::Answered, "answered"},
    orchidlead::enum_name<orchidlead::gateway::stage_call_end>{
        orchidlead::gateway::stage_call_end::NotSent, "not_sent"},
    orchidlead::enum_name<orchidlead::gateway::stage_call_end>{
        orchidlead::gateway::stage_call_end::Withheld, "withheld"},
    orchidlead::enum_name<orchidlead::gateway::stage_call_end>{
        orchidlead::gateway::stage_call_end::NotRun, "not_run"},
    orchidlead::enum_name<orchidlead::gateway::stage_call_end>{
        orchidlead::gateway::stage_call_end::Broken, "broken"},
};
