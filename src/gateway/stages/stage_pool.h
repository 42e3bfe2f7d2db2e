#pragma once

#include "gateway/codec.h"
#include "gateway/exchange/retry_allowance.h"
#include "gateway/servers/server_directory.h"
#include "gateway/stages/decaying_rate.h"
#include "gateway/stages/stage_rank.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Names a piece to whoever submitted it.
using piece_token = std::uint64_t;
using stage_call_id = std::uint64_t;

/// One piece that waits for a server.
struct piece_job
{
    piece_token token = 0;
    piece_request request;
    stage_rank rank;
    steady_time aim{}; ///< done by then, its request can still earn full credit
    steady_time deadline{}; ///< and nothing later
    data_center_id near; ///< where its inputs lie
    std::uint64_t inputBytes = 0; ///< about, of all inputs
    std::size_t resultBytes = 0; ///< about
    steady_time since{}; ///< when it began to wait
    std::uint32_t tries = 0;
    bool admitted = false; ///< was foreseen to be in time when it came
    residency allowed; ///< stays with the node that submits it: the pool is in one region
    bool mayMove = false; ///< likewise: another pool takes it where no server can be reached
};

/// A call to be made now.
struct stage_call
{
    stage_call_id id = 0;
    server_ptr server;
    std::vector<piece_request> pieces;
    milliseconds timeout{0};
    milliseconds longestWait{0}; ///< of a piece, before the call
};

/// What became of a piece.
struct piece_outcome
{
    piece_token token = 0;
    piece_result result;
};

/// What its submitter is told of a piece.
struct piece_report
{
    piece_result result;
    milliseconds wait{0}; ///< of a piece of the same rank that would come now, about
};

/// What a pool did in a span of time, for the log.
struct stage_pool_summary
{
    struct rank
    {
        std::uint32_t pieces = 0; ///< that went into calls
        milliseconds waited{0}; ///< before, all together
        std::uint32_t dropped = 0; ///< given up because they would be late
    };
    std::uint32_t calls = 0;
    std::uint32_t withoutRoom = 0; ///< pieces that their server had no room for
    std::map<std::uint32_t, rank> ranks; ///< by priority
};

/// How a call ended.
enum class stage_call_end {
    Answered,
    NotSent, ///< no server got it
    Withheld, ///< likewise: the server was not to have it any more
    NotRun, ///< the server refused it
    Broken, ///< may have run
};

/// Forms the calls to the backend servers of one service out of the pieces of many requests.
///
/// A call takes its time whatever it holds, so pieces wait for a free server together: by priority,
/// then those whose aim can still be met, then by aim. One call at a time goes to a server: more
/// would only wait there, and couldn't take in pieces that come meanwhile.
///
/// Results take room at their server until they are freed or lapse. The pool counts it, so that a
/// call isn't made for results that have no room.
class stage_pool
{
public:
    stage_pool(const clock_source &clock, service_id service, retry_allowance &allowance);

    void setCapacity(const stage_capacity &capacity) { m_capacity = capacity; }
    void setWaitsForNear(bool waits) { m_waitsForNear = waits; }
    /// Whether a piece of such a request may be tried again where its server may have ended under
    /// it.
    void setMayRepeat(std::function<bool(const request_digest &)> mayRepeat)
    {
        m_mayRepeat = std::move(mayRepeat);
    }
    void submit(piece_job job);
    /// The piece isn't needed any more; no outcome follows.
    void withdraw(piece_token token);

    /// Gives the next call to make now, if a server is free for one.
    [[nodiscard]] std::optional<stage_call> next(const std::vector<server_ptr> &servers);
    /// Takes the end of a call; `results` in the order of its pieces. Pieces that may be tried
    /// again wait on. Gives what became of the others.
    [[nodiscard]] std::vector<piece_outcome> onEnd(stage_call_id call, stage_call_end how,
                                                   const std::vector<piece_result> &results);
    /// A result was given up at its server.
    void onFreed(const std::string &handle);
    /// Drops pieces whose deadline is over, and those that will be late where others, which can
    /// still be in time, keep all `servers` busy. A server that may do fewer calls than it could
    /// counts as a part of one.
    [[nodiscard]] std::vector<piece_outcome> expire(double servers);

    /// Gives up all pieces that wait: the servers of the pool get nothing new.
    [[nodiscard]] std::vector<piece_outcome> giveUpAll(piece_failure why);
    /// Gives up pieces that may move, where each of these servers, all that may get new work, has
    /// failed a moment ago, or there are none.
    [[nodiscard]] std::vector<piece_outcome>
    giveUpUnreached(const std::vector<server_ptr> &servers);
    /// Gives up pieces whose inputs lie in a data centre that can't be reached.
    [[nodiscard]] std::vector<piece_outcome> dropInputsIn(const data_center_id &dataCenter);
    /// Gives how long a piece that came now would wait behind those that go first, about.
    [[nodiscard]] milliseconds waitOf(const stage_rank &rank, double servers) const;
    /// How long a full call takes.
    [[nodiscard]] std::chrono::microseconds fullCall() const
    {
        return expectedTime(m_capacity.batch);
    }
    /// When `next` may give a call though nothing else happens.
    [[nodiscard]] std::optional<steady_time> wakeAt() const;
    /// Bytes of results that a server is taken to hold.
    [[nodiscard]] std::uint64_t heldAt(const server_start &server) const;
    /// Gives what was done since the last call.
    [[nodiscard]] stage_pool_summary takeSummary() { return std::exchange(m_summary, {}); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] std::size_t callsOpen() const { return m_calls.size(); }

private:
    struct open_call
    {
        server_ptr server;
        std::vector<piece_job> jobs;
        steady_time began;
        std::chrono::microseconds expected{0};
    };
    struct server_state
    {
        std::uint32_t calls = 0; ///< open now
        steady_time busyUntil{}; ///< refused: not asked before
        std::uint32_t failures = 0; ///< calls in a row without an answer
        std::uint64_t held = 0; ///< bytes of results, those being made included
    };
    struct held_result
    {
        server_start server;
        std::uint64_t bytes = 0;
        steady_time lapses;
    };

    /// The order of pieces at one moment, for a server in the data centre `at`; empty: for any.
    [[nodiscard]] bool before(const piece_job &a, const piece_job &b, const data_center_id &at,
                              steady_time now) const;
    [[nodiscard]] bool isLate(const piece_job &job, steady_time now) const;
    [[nodiscard]] std::vector<bool> foreseenLate(double servers);
    [[nodiscard]] std::vector<server_ptr> freeServers(const std::vector<server_ptr> &servers,
                                                      const data_center_id &near);
    /// Where the waiting pieces of the same stage of the same request end.
    [[nodiscard]] std::size_t groupEnd(std::size_t begin) const;
    [[nodiscard]] std::vector<piece_job> takeFitting(const server &chosen, bool mayWait);
    /// Whether the piece still waits for a server beside its inputs rather than go to `chosen`.
    [[nodiscard]] bool waitsForNear(const piece_job &job, const server &chosen,
                                    steady_time now) const;
    [[nodiscard]] steady_time nearUntil(const piece_job &job) const;
    [[nodiscard]] stage_call makeCall(const server_ptr &chosen, std::vector<piece_job> jobs);
    void hold(const server_start &server, const std::string &handle, std::uint64_t bytes);
    void release(const server_start &server, std::uint64_t bytes);
    void dropLapsed();
    [[nodiscard]] std::chrono::microseconds expectedTime(std::size_t pieces) const;
    /// How long so many pieces of a rank take, all servers together, beside the more urgent ones
    /// that come meanwhile.
    [[nodiscard]] std::chrono::microseconds waitBehind(std::size_t pieces, const stage_rank &rank,
                                                       double servers) const;
    void learn(const open_call &call);
    void again(piece_job job, stage_call_end how, std::vector<piece_outcome> &out);

    const clock_source &m_clock;
    service_id m_service;
    retry_allowance &m_allowance;
    stage_capacity m_capacity;
    std::function<bool(const request_digest &)> m_mayRepeat; ///< empty: any
    bool m_waitsForNear = true;
    std::vector<piece_job> m_waiting;
    std::map<stage_rank, decaying_rate> m_arrivals;
    std::map<stage_call_id, open_call> m_calls;
    std::map<server_start, server_state> m_servers;
    std::unordered_map<std::string, held_result> m_results; ///< by handle
    std::uint64_t m_unnamed = 0; ///< results of calls whose answer was lost
    stage_call_id m_lastCall = 0;
    std::set<data_center_id> m_dataCenters; ///< with a usable server, as of the last call of `next`
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
