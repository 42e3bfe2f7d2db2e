#pragma once

#include "gateway/codec.h"
#include "gateway/exchange/service_retry_budget.h"
#include "gateway/servers/pool_key.h"
#include "gateway/servers/server_directory.h"
#include "gateway/stages/decaying_rate.h"
#include "gateway/stages/piece_redirection.h"
#include "gateway/stages/result_room.h"
#include "gateway/stages/stage_rank.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
    data_center_id redirectedFrom; ///< of the pool that redirected it; empty: none did
};

/// A call to be started now.
struct stage_call
{
    stage_call_id id = 0;
    server_ptr server;
    std::vector<piece_request> pieces;
    milliseconds timeout{0};
    milliseconds longestWait{0}; ///< of its pieces, before the call
};

/// Final result of a piece.
struct piece_outcome
{
    piece_token token = 0;
    piece_result result;
    std::optional<pool_key> redirectedTo = std::nullopt;
};

/// Outcome of a piece as reported to its submitter.
struct piece_report
{
    piece_result result;
    milliseconds wait{0}; ///< estimated, of a new piece of the same rank
    /// The pool to send a redirected piece to. In the report to the submitter's request: the pool
    /// that reports the wait, if it isn't the one that was chosen at submission.
    std::optional<pool_key> pool = std::nullopt;
};

/// Activity of a pool in a period, for the log.
struct stage_pool_summary
{
    struct rank
    {
        std::uint32_t pieces = 0; ///< sent in calls
        milliseconds totalWait{0}; ///< of the pieces before their calls
        std::uint32_t dropped = 0; ///< expired, or dropped because they would be late
    };
    std::uint32_t calls = 0;
    std::uint32_t withoutRoom = 0; ///< pieces refused because their server had no room
    std::map<std::uint32_t, rank> ranks; ///< by priority
};

/// How a call ended.
enum class stage_call_end {
    Answered,
    NotSent, ///< not received by any server
    Withheld, ///< not sent, as the server stopped accepting calls
    NotRun, ///< refused by the server without running
    Broken, ///< timed out or without a valid answer; may have run
};

/// Batches the pieces of many requests into calls to the backend servers of one service.
///
/// Each call has a fixed cost, so pieces wait for an idle server and share calls. Pieces whose
/// `softDeadline` can still be met precede late ones; within both groups pieces are ordered by
/// rank, then by `softDeadline`. A server gets one call at a time: further calls would only queue
/// there, and couldn't include pieces that arrive in the meantime.
///
/// Results occupy room at their server until they are freed or expire. The pool accounts for this
/// room, so that no call is made whose results wouldn't fit.
class stage_pool
{
public:
    stage_pool(const clock_source &clock, service_id service, service_retry_budget &retryBudget);

    void setCapacity(const stage_capacity &capacity);
    void setWaitsForLocalServer(bool waits) { m_waitsForLocalServer = waits; }
    /// Sets whether decisions consider the storage for results beyond the published sizes (policy
    /// `ResultRoom`).
    void setUsesResultRoom(bool uses);
    /// Sets whether sizes are learnt from refusals; for comparisons.
    void setLearnsResultSizes(bool learns) { m_room.setLearnsSizes(learns); }
    /// Sets the function that returns whether a piece of a request may be retried after a call that
    /// may have crashed its server.
    void setMayRetry(std::function<bool(const request_digest &)> mayRetry)
    {
        m_mayRetry = std::move(mayRetry);
    }
    void submit(piece_task job);
    /// Withdraws a piece that is no longer needed. If it is already in a call, `onEnd` may still
    /// return its result, with token 0, so that the result can be freed.
    void withdraw(piece_token token);

    /// Returns the next call to make now, if there is an idle server for one.
    [[nodiscard]] std::optional<stage_call> nextCall(const std::vector<server_ptr> &servers);
    /// Handles the end of a call; `results` are in the order of its pieces. Pieces that may be
    /// retried wait again; returns the outcomes of the others.
    [[nodiscard]] std::vector<piece_outcome> onEnd(stage_call_id call, stage_call_end callEnd,
                                                   const std::vector<piece_result> &results);
    /// Releases the room of a result that its server has freed.
    /// Returns how long the result was held; empty if it isn't known.
    std::optional<hold_times> onFreed(const std::string &handle) { return m_room.onFreed(handle); }
    /// Records that a result is to be freed.
    void onFreeRequested(const std::string &handle) { m_room.onFreeRequested(handle); }
    /// Returns how long large results are held, from the start of their call.
    [[nodiscard]] std::chrono::microseconds holdTime() const
    {
        return m_room.holdTime(m_capacity.resultMemoryBytes);
    }
    /// As `result_room::forgetServers`.
    void forgetServers(const std::function<bool(const server_start &)> &exists)
    {
        m_room.forgetServers(exists);
    }
    /// Returns the account of the pool's results.
    [[nodiscard]] const result_room &room() const { return m_room; }
    /// Drops pieces past their deadline, and late pieces if the pieces that can still be in time
    /// need more than one call of each server. Pieces with a reservation count as late only when
    /// they can't begin in time any more, the others when they are predicted to. `servers` is the
    /// number of servers; a rate-limited one counts as a fraction.
    [[nodiscard]] std::vector<piece_outcome> expire(double servers);

    /// Fails all waiting pieces, as the pool's servers accept no new work.
    [[nodiscard]] std::vector<piece_outcome> failAll(piece_failure reason);
    /// Fails pieces that may change to another pool, if all `servers` are paused after a failure or
    /// `servers` is empty. `servers` are all usable servers of the pool.
    [[nodiscard]] std::vector<piece_outcome> failUnreached(const std::vector<server_ptr> &servers);
    /// Fails pieces whose inputs are in an unreachable data centre.
    [[nodiscard]] std::vector<piece_outcome> failWithInputsIn(const data_center_id &dataCenter);
    /// Returns the waiting pieces that may be redirected, by group. Pieces that were in a call
    /// aren't among them. `servers` is as for `expire`.
    [[nodiscard]] std::vector<waiting_group> redirectableGroups(double servers);
    /// Removes the waiting pieces of these groups, and returns them as redirected.
    [[nodiscard]] std::vector<piece_outcome>
    takeGroups(const std::vector<piece_redirection> &redirections);
    /// Returns the load for the hosts of other pools. `accepting` are the servers that may get a
    /// call now; `servers` is as for `expire`.
    [[nodiscard]] pool_load loadOf(const pool_key &pool, const std::vector<server_ptr> &accepting,
                                   double servers) const;
    /// Estimates how long a piece submitted now would wait behind the pieces that precede it: the
    /// longer of the waits for the time of a server and for storage of its result.
    [[nodiscard]] milliseconds expectedWait(const stage_rank &rank, double servers,
                                            std::uint64_t resultBytes) const;
    /// Returns the expected duration of a full call.
    [[nodiscard]] std::chrono::microseconds fullCallTime() const
    {
        return expectedTime(m_capacity.maxPiecesPerCall);
    }
    /// Returns how many pieces of a rank all servers together take in full calls, given the arrival
    /// rate of more urgent pieces; 0 if there are no servers.
    [[nodiscard]] double piecesPerSecond(const stage_rank &rank, double servers) const;
    /// Returns how many bytes of results the servers have room for per second, given how long
    /// results were held recently; 0 if room doesn't limit results of this size.
    [[nodiscard]] double resultBytesPerSecond(double servers, std::uint64_t resultBytes) const;
    /// Returns when `nextCall` may return a call without another event in between.
    [[nodiscard]] std::optional<steady_time> wakeAt() const;
    /// Returns the bytes of results accounted to a server.
    [[nodiscard]] std::uint64_t heldBytesAt(const server_start &server) const
    {
        return m_room.heldBytesAt(server);
    }
    /// Returns the activity since the last call of this function.
    [[nodiscard]] stage_pool_summary takeSummary() { return std::exchange(m_summary, {}); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] const stage_capacity &capacity() const { return m_capacity; }
    [[nodiscard]] std::size_t activeCallCount() const { return m_calls.size(); }

private:
    struct active_call
    {
        server_ptr server;
        std::vector<piece_task> jobs;
        steady_time startedAt;
        std::chrono::microseconds expected{0};
    };
    struct server_state
    {
        std::uint32_t calls = 0; ///< in progress
        steady_time pausedUntil{}; ///< gets no call before this
        std::uint32_t consecutiveFailures = 0; ///< calls without an answer
    };

    /// A request's attempt and stage. Its pieces are of use only together.
    using group_key = std::pair<std::string, std::uint32_t>;
    [[nodiscard]] static group_key groupOf(const piece_task &job)
    {
        return {job.request.attempt, job.request.stage};
    }

    /// Returns whether `a` precedes `b` at time `now`, for a server in the data centre `at`; if
    /// `at` is empty, for a server anywhere.
    [[nodiscard]] bool precedes(const piece_task &a, const piece_task &b, const data_center_id &at,
                                steady_time now) const;
    /// Sorts the waiting pieces by `precedes`.
    void sortWaiting(const data_center_id &at, steady_time now);
    [[nodiscard]] bool isLate(const piece_task &job, steady_time now) const;
    struct piece_forecast
    {
        bool late = false;
        bool lacksRoom = false; ///< late because of the storage for its result
    };
    [[nodiscard]] std::vector<piece_forecast> findLatePieces(double servers);
    [[nodiscard]] std::vector<server_ptr> idleServers(const std::vector<server_ptr> &servers,
                                                      const data_center_id &preferredDataCenter);
    /// Returns the end of the run of waiting pieces of the same request and stage from `begin` on.
    [[nodiscard]] std::size_t groupEnd(std::size_t begin) const;
    /// Takes the pieces of a call to `chosen`. `othersIdle` is whether another server is idle.
    [[nodiscard]] std::vector<piece_task> takeBatch(const server &chosen, bool mayWait,
                                                    bool othersIdle);
    /// Returns whether the whole group of waiting pieces `[begin, end)` can begin in time, if only
    /// some of them are in the next call. `takenBytes` are those of results of other pieces of the
    /// call.
    [[nodiscard]] bool restBeginsInTime(std::size_t begin, std::size_t end,
                                        std::uint64_t takenBytes, bool othersIdle) const;
    /// Fails the waiting pieces of the same request and stage as those of `jobs` that failed.
    void failRestOfGroups(const std::map<piece_token, group_key> &jobs,
                          std::vector<piece_outcome> &out);
    /// Returns whether a piece still waits for a server in its inputs' data centre instead of going
    /// to `chosen`.
    [[nodiscard]] bool waitsForLocalServer(const piece_task &job, const server &chosen,
                                           steady_time now) const;
    [[nodiscard]] steady_time localWaitEnd(const piece_task &job) const;
    [[nodiscard]] stage_call makeCall(const server_ptr &chosen, std::vector<piece_task> jobs);
    [[nodiscard]] std::chrono::microseconds expectedTime(std::size_t pieces) const;
    /// Estimates how long all servers together take for `pieces` of a rank, given the arrival rate
    /// of more urgent pieces.
    [[nodiscard]] std::chrono::microseconds estimateWait(std::size_t pieces, const stage_rank &rank,
                                                         double servers) const;
    /// Returns whether the storage of servers limits a result.
    [[nodiscard]] bool needsRoom(std::uint64_t resultBytes) const;
    /// Estimates how long pieces of a rank wait for storage, given the arrival rate of more urgent
    /// ones. `bytes` are those of their results and of all that wait ahead of them.
    [[nodiscard]] std::chrono::microseconds estimateRoomWait(const room_forecast &forecast,
                                                             std::uint64_t bytes,
                                                             const stage_rank &rank) const;
    void updateSlowness(const active_call &call);
    void handleNoResults(active_call call, stage_call_end callEnd, std::vector<piece_outcome> &out);
    void handleResults(active_call call, const std::vector<piece_result> &results,
                       std::vector<piece_outcome> &out);
    /// Corrects the account of a server that answered a call, by the sizes of the results for which
    /// it had no storage.
    void accountRefusals(const server_start &server, const std::vector<std::uint64_t> &refused);
    void retryOrFail(piece_task job, stage_call_end callEnd, std::vector<piece_outcome> &out);

    const clock_source &m_clock;
    service_id m_service;
    service_retry_budget &m_retryBudget;
    stage_capacity m_capacity;
    std::function<bool(const request_digest &)> m_mayRetry; ///< if empty, retries are allowed
    bool m_waitsForLocalServer = true;
    bool m_usesResultRoom = true;
    std::vector<piece_task> m_waiting;
    std::map<stage_rank, decaying_rate> m_arrivals;
    std::map<stage_rank, decaying_rate> m_arrivingBytes; ///< of results that need room
    std::map<stage_call_id, active_call> m_calls;
    std::map<server_start, server_state> m_servers;
    result_room m_room;
    stage_call_id m_lastCall = 0;
    double m_serverCount = 0; ///< of the last `expire`
    bool m_crowded = false; ///< pieces in time need more than one call of each server
    std::set<data_center_id> m_dataCenters; ///< with a usable server at the last `nextCall`
    stage_pool_summary m_summary;
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
