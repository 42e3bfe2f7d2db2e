#pragma once

#include "gateway/admission/stage_admission.h"
#include "gateway/codec.h"
#include "gateway/gateway_metrics.h"
#include "gateway/quarantine/server_crash_detector.h"
#include "gateway/servers/rate_pacer.h"
#include "gateway/servers/server_transport.h"
#include "gateway/stages/stage_pool.h"
#include "wire/log.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Largest answer to a stage call. A call has tens of pieces, with less than 200 bytes each.
inline constexpr std::size_t MaxStageAnswerBytes = 256U << 10U;

/// Runs the pieces of stages: batches them into calls to backend servers, reports each outcome to
/// its submitter, and frees results that are no longer needed.
template <gateway_codec Codec>
class stage_host
{
public:
    using piece_handler = std::function<void(piece_report)>;

    stage_host(http::io_loop &loop, server_transport &transport, server_directory &directory,
               service_retry_budget &retryBudget, wire::log &log, gateway_metrics &metrics);

    void setConfiguration(const configuration_ptr &configuration);
    /// Sets whether pieces wait for a server in the data centre of their inputs. Affects only pools
    /// that are created later.
    void setWaitsForLocalServer(bool waits) { m_waitsForLocalServer = waits; }

    /// Sets whether pools consider the storage for results (policy `ResultRoom`). Affects only
    /// pools that are created later.
    void setUsesResultRoom(bool uses) { m_usesResultRoom = uses; }

    /// Sets whether pools make hedged calls (policy `SecondCalls`). Affects only pools that are
    /// created later.
    void setHedgesCalls(bool hedges) { m_hedgesCalls = hedges; }

    /// Sets the callbacks of the request quarantine. `onConnectionBroken` is called when a
    /// connection broke while a server had a piece of the request; `mayRetry` returns whether such
    /// a piece may be tried on another server.
    void setQuarantineCallbacks(
        std::function<void(const server &, const std::vector<crash_subject> &)> onConnectionBroken,
        std::function<bool(const request_digest &)> mayRetry)
    {
        m_onBroken = std::move(onConnectionBroken);
        m_mayRetry = std::move(mayRetry);
    }

    /// Sets the function that returns this node's share of the rate limits of a pool's servers.
    void setRateShare(std::function<double(const pool_key &)> share)
    {
        m_rateShare = std::move(share);
    }

    /// Sets where pieces that arrive find their reservations; without, no piece has one.
    void setAdmission(stage_admission &admission) { m_admission = &admission; }
    /// Returns the load of a pool for pieces of a rank with results of this size.
    [[nodiscard]] pool_estimate estimateFor(const pool_key &key, const stage_rank &rank,
                                            std::uint64_t resultBytes);
    /// Functions with which waiting pieces are redirected to other pools.
    struct redirection_callbacks
    {
        std::function<std::vector<redirection_target>(const pool_key &)> targetsOf;
        std::function<void(const pool_key &, const std::vector<piece_redirection> &)> onRedirected;
        /// Called after each dispatch, with the numbers of waiting pieces and those of a full call.
        std::function<void(const pool_key &, std::size_t, std::uint32_t)> onDispatched;
    };
    /// Enables the redirection of pieces.
    void setRedirection(redirection_callbacks callbacks) { m_redirection = std::move(callbacks); }
    /// Returns the load of a pool, which is created if this node hasn't hosted it yet.
    [[nodiscard]] pool_load loadOf(const pool_key &key);
    /// Reports the load of each pool where a report is due, and redirects pieces. Call about every
    /// 100 ms.
    void tick();

    /// Submits a piece. `handler` is called once, never within this call, unless the piece is
    /// withdrawn.
    piece_token submit(const pool_key &key, piece_task job, piece_handler handler);
    void withdraw(piece_token token);
    /// Frees results at the servers that hold them, batched by server after a short delay.
    void freeResults(const std::vector<std::string> &handles);
    /// Returns the number of waiting pieces by service.
    [[nodiscard]] std::map<service_id, std::size_t> waiting() const;
    /// Returns the bytes of results that servers hold, by service.
    [[nodiscard]] std::map<service_id, std::uint64_t> heldResultBytes() const;
    /// Logs the activity of each pool since the last call.
    void logSummaries();
    /// Handles added, changed or removed servers of a service.
    void onServersChanged(const service_id &service);
    /// Ends the calls to an unreachable data centre, and fails waiting pieces whose inputs are
    /// stored there and can't be fetched.
    void onDataCenterLost(const data_center_id &dataCenter);
    /// Ends the calls that were lost as this node was cut off from all servers.
    void onServersCutOff();

private:
    struct pending_piece
    {
        pool_key key;
        stage_rank rank;
        std::uint64_t resultBytes = 0;
        piece_handler handler;
        std::string attempt; ///< ID of the request's attempt
        std::uint32_t stage = 0;
        steady_time submittedAt;
    };
    struct active_call
    {
        pool_key key;
        stage_call stageCall;
        int status = 0;
        response_metadata metadata;
        std::string body;
        server_transport::call_id call = 0;
        http::timer_id timer = 0;
        steady_time startedAt;
        bool withheld = false; ///< the server stopped accepting calls before the call was sent
    };

    stage_pool &poolOf(const pool_key &key);
    void dispatch(const pool_key &key);
    void scheduleDispatch(const pool_key &key);
    /// Redirects waiting pieces that begin sooner in another pool.
    void redirectPieces(const pool_key &key);
    [[nodiscard]] double rateShareOf(const pool_key &key) const;
    /// Returns the rate share for the pool that contains a server; 0 if this node has no such pool.
    [[nodiscard]] double rateShareOf(const server &poolServer) const;
    /// Returns why no server of a pool can take its waiting pieces, or nothing if one can or the
    /// reason isn't known. `servers` are the usable servers of the pool.
    [[nodiscard]] std::optional<piece_failure>
    closedReason(const pool_key &key, const std::vector<server_ptr> &servers) const;
    /// Removes servers that may not get a call yet, because of a rate limit or a backoff. Returns
    /// when the first of them may.
    std::optional<steady_time> removePacedServers(const pool_key &key,
                                                  std::vector<server_ptr> &servers) const;
    /// Returns the capacity of a pool in servers. A rate-limited server counts as the fraction of
    /// its time for which this node may send it calls.
    [[nodiscard]] double effectiveServerCount(const pool_key &key);
    void startCall(const pool_key &key, const stage_call &call);
    /// Logs and counts the start of a hedged call, and what became of its pieces at the end.
    void recordHedgeStart(const pool_key &key, const stage_call &call);
    void recordHedgeEnd(const pool_key &key, const stage_call &call, const hedge_counts &counts);
    void onCallEnd(const std::shared_ptr<active_call> &active, http::call_end httpEnd);
    /// Repeats the pieces of a call without an answer, or ends it, as the pool decides.
    void onCallTimeout(const std::shared_ptr<active_call> &active);
    /// Ends a call as timed out.
    void endCall(const std::shared_ptr<active_call> &active);
    /// Ends the calls for which the predicate is true, as if they had timed out.
    template <class Predicate>
    void endCalls(Predicate isLost);
    void logFailedPieces(const pool_key &key, const stage_call &call,
                         const std::vector<piece_result> &results);
    void deliver(const std::vector<piece_outcome> &outcomes);
    /// Returns the expected wait of a new piece of the same rank and size, to be reported with
    /// `result`.
    [[nodiscard]] milliseconds expectedWaitAfter(const pending_piece &piece,
                                                 const piece_result &result);
    void logGivenUpPieces(const std::vector<piece_outcome> &outcomes);
    void scheduleFrees(steady_time at);
    void flushFrees();
    void sendFrees(const server_ptr &holder, std::vector<std::string> handles);
    /// Returns when a server may be asked to free results. Such a request counts against the
    /// server's rate limit. Empty if this node may never send one; the results then expire.
    [[nodiscard]] std::optional<steady_time> earliestFreeAt(const server &holder) const;
    void onFreed(const std::vector<std::string> &handles);

    http::io_loop &m_loop;
    server_transport &m_transport;
    server_directory &m_directory;
    service_retry_budget &m_retryBudget;
    wire::log &m_log;
    gateway_metrics &m_metrics;
    configuration_ptr m_configuration;
    bool m_waitsForLocalServer = true;
    bool m_usesResultRoom = true;
    bool m_hedgesCalls = true;
    std::function<void(const server &, const std::vector<crash_subject> &)> m_onBroken;
    std::function<bool(const request_digest &)> m_mayRetry;
    std::function<double(const pool_key &)> m_rateShare;
    stage_admission *m_admission = nullptr;
    std::optional<redirection_callbacks> m_redirection; ///< empty: disabled
    rate_pacer m_pacer;
    std::map<pool_key, std::unique_ptr<stage_pool>> m_pools;
    std::set<std::shared_ptr<active_call>> m_activeCalls;
    std::map<pool_key, http::timer_id> m_wakeupTimers;
    std::map<pool_key, bool> m_dispatchScheduled;
    std::unordered_map<piece_token, pending_piece> m_pending;
    piece_token m_lastToken = 0;
    std::map<std::string, std::vector<std::string>> m_pendingFrees; ///< by server address
    http::timer_id m_freeTimer = 0;
    steady_time m_freeTimerAt{}; ///< when `m_freeTimer` fires
};

} // namespace orchidlead::gateway

#include "gateway/stages/stage_host_impl.h"
