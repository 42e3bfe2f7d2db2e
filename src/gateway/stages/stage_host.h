#pragma once

#include "gateway/codec.h"
#include "gateway/gateway_metrics.h"
#include "gateway/quarantine/server_end_observer.h"
#include "gateway/servers/rate_pace.h"
#include "gateway/stages/stage_pool.h"
#include "http/connection_pool.h"
#include "wire/log.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Does pieces of stages: forms calls, makes them, tells each submitter the outcome, and frees
/// results that nobody needs.
template <gateway_codec Codec>
class stage_host
{
public:
    using piece_handler = std::function<void(piece_report)>;

    stage_host(http::io_loop &loop, http::connection_pool &pool, server_directory &directory,
               retry_allowance &allowance, wire::log &log, gateway_metrics &metrics);

    void setConfiguration(const configuration_ptr &configuration);
    /// Whether pieces wait for a server beside their inputs; pools made later keep to it.
    void setWaitsForNear(bool waits) { m_waitsForNear = waits; }

    /// `onBroken`: a connection broke off while a piece of the request was at the server;
    /// `mayRepeat`: whether such a piece may be tried on another one.
    void setQuarantine(std::function<void(const server &, const interrupted_request &)> onBroken,
                       std::function<bool(const request_digest &)> mayRepeat)
    {
        m_onBroken = std::move(onBroken);
        m_mayRepeat = std::move(mayRepeat);
    }

    /// Gives the part of what bounded servers of a pool bear that this node may use.
    void setRateShare(std::function<double(const pool_key &)> share)
    {
        m_rateShare = std::move(share);
    }

    /// `handler` is called once, later, unless the piece is withdrawn.
    piece_token submit(const pool_key &key, piece_job job, piece_handler handler);
    void withdraw(piece_token token);
    /// Gives results up at the servers that hold them, soon and together.
    void free(const std::vector<std::string> &handles);
    /// Pieces that wait now, by service.
    [[nodiscard]] std::map<service_id, std::size_t> waiting() const;
    /// Logs what each pool did since the last call.
    void logSummaries();
    /// Servers of a service came, changed or left.
    void onServersChanged(const service_id &service);
    /// No answer comes from there any more, and results that lie there can't be fetched.
    void onDataCenterLost(const data_center_id &dataCenter);

private:
    struct pending
    {
        pool_key key;
        stage_rank rank;
        piece_handler handler;
        std::string attempt; ///< of the request
        std::uint32_t stage = 0;
        steady_time since;
    };
    struct call_answer
    {
        pool_key key;
        stage_call made;
        int status = 0;
        answer_marks marks;
        std::string body;
        http::pool_call call = 0;
        http::timer_id timer = 0;
        steady_time began;
        bool withheld = false; ///< the server was not to have it any more
    };

    stage_pool &poolOf(const pool_key &key);
    void pump(const pool_key &key);
    void schedulePump(const pool_key &key);
    [[nodiscard]] double shareOf(const pool_key &key) const;
    /// The same of the pool that a server is in; none where this node has no such pool.
    [[nodiscard]] double shareOf(const server &which) const;
    /// Why no server of a pool gets what waits there, as far as that is known; `servers`: those
    /// that may get new work.
    [[nodiscard]] std::optional<piece_failure>
    whyClosed(const pool_key &key, const std::vector<server_ptr> &servers) const;
    /// Leaves out bounded servers that get no call yet; gives when the next of them may.
    std::optional<steady_time> leaveOutPaced(const pool_key &key,
                                             std::vector<server_ptr> &servers) const;
    /// How many servers a pool is worth: bounded ones count as the part of their time for which
    /// they may get calls.
    [[nodiscard]] double strengthOf(const pool_key &key);
    void make(const pool_key &key, const stage_call &call);
    void onCallEnd(const std::shared_ptr<call_answer> &answer, http::call_end how);
    void logFailedPieces(const pool_key &key, const stage_call &call,
                         const std::vector<piece_result> &results);
    void deliver(const std::vector<piece_outcome> &outcomes);
    /// What the submitter of a piece is told to expect of the next one of its rank.
    [[nodiscard]] milliseconds waitAfter(const pool_key &key, const stage_rank &rank,
                                         const piece_result &result);
    void logGivenUp(const std::vector<piece_outcome> &outcomes);
    void scheduleFrees(steady_time at);
    void flushFrees();
    void sendFrees(const server_ptr &holder, std::vector<std::string> handles);
    /// When a server may be told of results that are given up. Frees are requests, too: they count
    /// against its bound. Empty: never by this node, what lies there lapses.
    [[nodiscard]] std::optional<steady_time> mayBeFreedAt(const server &holder) const;
    void onFreed(const std::vector<std::string> &handles);

    http::io_loop &m_loop;
    http::connection_pool &m_pool;
    server_directory &m_directory;
    retry_allowance &m_allowance;
    wire::log &m_log;
    gateway_metrics &m_metrics;
    configuration_ptr m_configuration;
    bool m_waitsForNear = true;
    std::function<void(const server &, const interrupted_request &)> m_onBroken;
    std::function<bool(const request_digest &)> m_mayRepeat;
    std::function<double(const pool_key &)> m_rateShare;
    rate_pace m_pace;
    std::map<pool_key, std::unique_ptr<stage_pool>> m_pools;
    std::set<std::shared_ptr<call_answer>> m_open; ///< calls
    std::map<pool_key, http::timer_id> m_wakeups;
    std::map<pool_key, bool> m_scheduled;
    std::unordered_map<piece_token, pending> m_pending;
    piece_token m_lastToken = 0;
    std::map<std::string, std::vector<std::string>> m_frees; ///< by the address of the server
    http::timer_id m_freeTimer = 0;
    steady_time m_freesAt{}; ///< when it fires
};

} // namespace orchidlead::gateway

#include "gateway/stages/stage_host_impl.h"
