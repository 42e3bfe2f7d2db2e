#pragma once

#include "gateway/exchange/service_retry_budget.h"
#include "gateway/stages/active_calls.h"
#include "gateway/stages/call_servers.h"
#include "gateway/stages/hedged_calls.h"
#include "gateway/stages/piece_order.h"
#include "gateway/stages/piece_redirection.h"
#include "gateway/stages/piece_selector.h"
#include "gateway/stages/piece_task.h"
#include "gateway/stages/result_room.h"
#include "gateway/stages/wait_estimator.h"

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
    std::uint32_t hedgedCalls = 0; ///< of `calls`
    std::uint32_t withoutRoom = 0; ///< pieces refused because their server had no room
    std::map<std::uint32_t, rank> ranks; ///< by priority
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
    ~stage_pool() = default;
    stage_pool(const stage_pool &) = delete;
    stage_pool &operator=(const stage_pool &) = delete;

    void setCapacity(const stage_capacity &capacity);
    void setWaitsForLocalServer(bool waits) { m_waitsForLocalServer = waits; }
    /// Sets whether decisions consider the storage for results beyond the published sizes (policy
    /// `ResultRoom`).
    void setUsesResultRoom(bool uses);
    /// Sets whether pieces of overdue calls are computed a second time (policy `SecondCalls`).
    void setHedgesCalls(bool hedges) { m_hedges.setEnabled(hedges); }
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

    /// Returns the next call to make now, if there is an idle server for one: a call of waiting
    /// pieces, or a hedged call.
    [[nodiscard]] std::optional<stage_call> nextCall(const std::vector<server_ptr> &servers);
    /// Handles the end of a call; `results` are in the order of its pieces. Pieces that may be
    /// retried wait again; returns the outcomes of the others. Of two results of a piece the second
    /// one is returned with token 0, and a failure isn't reported while the piece is in another
    /// call.
    [[nodiscard]] std::vector<piece_outcome> onEnd(stage_call_id call, stage_call_end callEnd,
                                                   const std::vector<piece_result> &results);
    /// Handles a call without an answer for its timeout or longer. It stays open, so that its
    /// results are used if its server goes on, while its pieces may be in a second call as well.
    /// Call again about every 100 ms while the call is in progress.
    [[nodiscard]] timeout_action onTimeout(stage_call_id call,
                                           const std::vector<server_ptr> &servers);
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
        m_hedges.forgetServers(exists);
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
    /// Fails pieces whose required version none of `servers` has, which are all usable servers of
    /// the pool.
    [[nodiscard]] std::vector<piece_outcome>
    failWithoutVersion(const std::vector<server_ptr> &servers);
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
    [[nodiscard]] std::chrono::microseconds fullCallTime() const { return m_waits.fullCallTime(); }
    /// Returns how many pieces of a rank all servers together take in full calls, given the arrival
    /// rate of more urgent pieces; 0 if there are no servers.
    [[nodiscard]] double piecesPerSecond(const stage_rank &rank, double servers) const
    {
        return m_waits.piecesPerSecond(rank, servers);
    }
    /// Returns how many bytes of results the servers have room for per second, given how long
    /// results were held recently; 0 if room doesn't limit results of this size.
    [[nodiscard]] double resultBytesPerSecond(double servers, std::uint64_t resultBytes) const
    {
        return m_waits.resultBytesPerSecond(servers, resultBytes);
    }
    /// Returns when `nextCall` may return a call, or `expire` drop a piece, without another event
    /// in between.
    [[nodiscard]] std::optional<steady_time> wakeAt() const;
    /// Returns the bytes of results accounted to a server.
    [[nodiscard]] std::uint64_t heldBytesAt(const server_start &server) const
    {
        return m_room.heldBytesAt(server);
    }
    /// Returns the activity since the last call of this function.
    [[nodiscard]] stage_pool_summary takeSummary() { return std::exchange(m_summary, {}); }
    /// Returns what became of the pieces of hedged calls that ended since the last call of this
    /// function.
    [[nodiscard]] hedge_counts takeHedgeCounts() { return std::exchange(m_hedgeCounts, {}); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] const stage_capacity &capacity() const { return m_capacity; }
    [[nodiscard]] std::size_t activeCallCount() const { return m_calls.size(); }

private:
    /// Maximum number of calls for one piece. With more, its request would miss its `softDeadline`
    /// anyway.
    static constexpr std::uint32_t MaxTries = 5;

    /// A request's attempt and stage. Its pieces are of use only together.
    using group_key = std::pair<std::string, std::uint32_t>;
    [[nodiscard]] static group_key groupOf(const piece_task &job)
    {
        return {job.request.attempt, job.request.stage};
    }

    struct piece_forecast
    {
        bool late = false;
        bool lacksRoom = false; ///< late because of the storage for its result
    };
    [[nodiscard]] std::vector<piece_forecast> findLatePieces(double servers);
    /// Fails the waiting pieces of the same request and stage as those of `jobs` that failed.
    void failRestOfGroups(const std::map<piece_token, group_key> &jobs,
                          std::vector<piece_outcome> &out);
    [[nodiscard]] std::optional<stage_call> nextWaitingCall(const std::vector<server_ptr> &servers);
    [[nodiscard]] stage_call makeCall(const server_ptr &chosen, std::vector<piece_task> jobs);
    /// Starts a call whose pieces waited until `waitEnd`.
    [[nodiscard]] stage_call startCall(const server_ptr &chosen, std::vector<piece_task> jobs,
                                       steady_time waitEnd);
    /// Sets when the pieces of a call may be computed a second time.
    static void setHedgeTime(active_call &call);
    [[nodiscard]] std::optional<stage_call> nextHedgedCall(const std::vector<server_ptr> &servers);
    /// Returns the pieces of an overdue call that a second call can compute in time.
    [[nodiscard]] std::vector<piece_task> piecesToHedge(const active_call &first) const;
    /// Returns an idle server for these pieces of an overdue call; null if there is none.
    [[nodiscard]] server_ptr serverForHedge(const active_call &first,
                                            const std::vector<piece_task> &jobs,
                                            const std::vector<server_ptr> &servers);
    /// Returns whether a call may be ended once the pieces of `later` are in a third one.
    [[nodiscard]] bool mayBeReplaced(const active_call &earlier, const active_call &later) const;
    /// Returns whether a server has room for the results of these pieces.
    [[nodiscard]] bool hasRoomFor(const server &holder, const std::vector<piece_task> &jobs) const;
    [[nodiscard]] stage_call makeHedgedCall(stage_call_id firstId, const server_ptr &chosen,
                                            std::vector<piece_task> jobs);
    void countHedge(const active_call &call, const piece_task &job, const piece_result &result);
    /// Returns the duration of a call divided by its duration at nominal speed.
    [[nodiscard]] double ratioOf(const active_call &call) const;
    static void updateSlowness(const active_call &call, double ratio);
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
    active_calls m_calls;
    hedged_calls m_hedges;
    hedge_counts m_hedgeCounts;
    call_servers m_servers;
    result_room m_room;
    wait_estimator m_waits;
    piece_order m_order;
    piece_selector m_selector;
    double m_serverCount = 0; ///< of the last `expire`
    bool m_crowded = false; ///< pieces in time need more than one call of each server
    stage_pool_summary m_summary;
};

} // namespace orchidlead::gateway
