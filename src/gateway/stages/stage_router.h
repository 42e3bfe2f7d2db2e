#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/peers/process_end_watcher.h"
#include "gateway/servers/pool_splitter.h"
#include "gateway/stages/pool_redirector.h"
#include "gateway/stages/reported_results.h"
#include "gateway/stages/stage_host.h"
#include "gateway/stages/stage_versions.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Sends each piece to the node that hosts the stage pool for its service and location, so that the
/// pieces of all nodes share calls.
///
/// A host may lose pieces without reporting it. When the link to a host closes or times out, its
/// pieces are submitted again to the current host of the pool, and after `MaxMoves` moves to this
/// node's own `stage_host`. A piece may therefore run twice.
template <gateway_codec Codec>
class stage_router
{
public:
    using piece_handler = typename stage_host<Codec>::piece_handler;

    stage_router(http::io_loop &loop, wire::log &log, peer_network &peers, stage_host<Codec> &host,
                 server_directory &directory, service_retry_budget &retryBudget,
                 gateway_metrics &metrics, const gateway_settings &settings);

    /// Sets the function that returns whether this node has the list of servers, so that it can
    /// host pools for other nodes. If unset, the node always hosts.
    void setHostReadyCheck(std::function<bool()> isReady) { m_isHostReady = std::move(isReady); }
    /// Returns the node that hosts a pool, from the view of this node.
    [[nodiscard]] vm_id hostOf(const pool_key &pool) const;
    /// Returns the pool of a service for work that is preferably done in the data centre
    /// `preferredDataCenter`.
    [[nodiscard]] pool_key poolFor(const service_id &service,
                                   const data_center_id &preferredDataCenter,
                                   const residency &allowed = {});
    /// Returns how long all pools of a service are backing off, as reported by their hosts, because
    /// the servers requested a backoff. Empty if one of them accepts pieces.
    [[nodiscard]] std::optional<milliseconds> backoffOf(const service_id &service,
                                                        const data_center_id &preferredDataCenter,
                                                        const residency &allowed);
    /// Forgets the backoffs of a service whose servers were added, changed or removed.
    void onServersChanged(const service_id &service);
    piece_token submit(const service_id &service, piece_task &&job, piece_handler &&handler);
    /// Returns the pool to which a submitted piece was sent.
    [[nodiscard]] pool_key poolOf(piece_token token) const;
    void withdraw(piece_token token);
    /// Frees results through the hosts of their pools, which track the room that the results
    /// occupy.
    void freeResults(const std::vector<std::string> &handles);

    /// Handles frames about pieces, and pings; ignores others.
    void onFrame(const std::shared_ptr<peer_link> &link, peer_frame &&frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// Pings silent hosts and closes the links to those that don't answer, and reports the load of
    /// pools. Call about every 100 ms.
    void tick();

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct submission
    {
        pool_key pool;
        piece_task job;
        piece_handler handler;
        link_ptr link; ///< to the host; null if this node is the host
        piece_token local = 0; ///< from this node's `stage_host`
        std::uint32_t moves = 0;
    };

    /// Backoff of a pool whose servers requested one from its host, or could not be reached.
    struct backed_off_pool
    {
        vm_id host;
        steady_time until;
    };

    /// Returns the result of `poolFor` unless that pool is backing off or has no usable server of
    /// the version. Otherwise returns a pool that can take a piece, preferably the one of this
    /// node's data centre; if none can, returns the result of `poolFor`.
    [[nodiscard]] pool_key availablePoolFor(const service_id &service,
                                            const data_center_id &preferredDataCenter,
                                            const residency &allowed,
                                            const std::optional<software_version> &version = {});
    /// Returns whether a pool has a usable server of the version, if one is required.
    [[nodiscard]] bool hasServer(const pool_key &pool,
                                 const std::optional<software_version> &version) const;
    /// Returns whether a pool, as far as is known, gives a piece of the version to a server.
    [[nodiscard]] bool takesPieces(const pool_key &pool,
                                   const std::optional<software_version> &version) const
    {
        return !backoffOf(pool) && hasServer(pool, version);
    }
    [[nodiscard]] std::optional<milliseconds> backoffOf(const pool_key &pool) const;
    void routePiece(piece_token token, submission &entry);
    /// Returns a link to the host of a pool; null if this node is the host.
    [[nodiscard]] link_ptr linkToHost(const pool_key &pool);
    void onOutcome(piece_token token, piece_report report);
    /// Sends a redirected piece to the target, or back to its pool if the target can't take it.
    void followRedirection(piece_token token, submission &entry,
                           const std::optional<pool_key> &target);
    /// Returns the software version of the server that holds a result; empty if it isn't known, or
    /// if the service has had a single version.
    [[nodiscard]] std::optional<software_version> findVersion(const service_id &service,
                                                              const std::string &handle) const;
    /// Computes a piece with this node as the host, after a host that doesn't know of required
    /// versions has returned a result of another one.
    void computeHere(piece_token token, submission &entry, const std::string &handle);
    [[nodiscard]] bool mayFollow(const submission &entry, const pool_key &target) const;
    /// Submits a piece to this node's `stage_host`.
    piece_token submitHere(const pool_key &pool, piece_task job, piece_handler handler);
    /// Moves a piece from a pool that accepts no new work; returns false if no pool can take it.
    bool moveFromClosedPool(piece_token token, submission &entry);
    /// Avoids the piece's host for a while, and sends the piece to the next candidate.
    void avoidUnreadyHost(piece_token token, submission &entry);
    /// Returns the pool of this node's data centre if that pool can take the piece and the piece is
    /// in another one.
    [[nodiscard]] std::optional<pool_key> ownDataCenterPool(const submission &entry);
    /// Moves a piece to the pool of this node's data centre; returns false if that pool can't
    /// take the piece.
    [[nodiscard]] bool moveToOwnDataCenter(piece_token token, submission &entry);
    /// Routes a piece again after `delay`, never within the handler of its outcome.
    void routePieceLater(piece_token token, submission &entry, milliseconds delay);
    void onPieceFrame(const link_ptr &link, submit_piece_frame &&frame);
    void onWithdrawFrame(const link_ptr &link, piece_token token);
    /// Frees the results that were reported over a closed link if the process of the submitter has
    /// ended.
    void freeResultsOf(const link_ptr &closed, const std::set<std::string> &outstandingRequests);
    void onSubmitterDecided(const peer_process &submitter, bool hasEnded);

    http::io_loop &m_loop;
    wire::log &m_log;
    peer_network &m_peers;
    stage_host<Codec> &m_host;
    server_directory &m_directory;
    service_retry_budget &m_retryBudget;
    data_center_id m_dataCenter; ///< of this node
    std::function<bool()> m_isHostReady;
    stage_sharing m_sharing;
    pool_splitter m_splitter;
    std::unique_ptr<pool_redirector> m_redirector; ///< null: redirection is disabled
    std::unordered_map<piece_token, submission> m_submissions;
    struct hosted_piece
    {
        piece_token local = 0; ///< of `m_host`
        std::string attempt; ///< ID of the request's attempt
    };
    /// By link and the peer's token.
    std::map<link_ptr, std::unordered_map<piece_token, hosted_piece>> m_hostedPieces;
    reported_results<link_ptr> m_reportedResults;
    std::map<link_ptr, peer_process> m_submitters; ///< of the links in `m_hostedPieces`
    std::map<peer_process, std::vector<link_ptr>> m_closedLinks; ///< while the submitter is watched
    process_end_watcher m_endedSubmitters;
    bool m_freesResultsOfLostPeers;
    std::map<pool_key, backed_off_pool> m_backedOffPools;
    piece_token m_lastToken = 0;
};

} // namespace orchidlead::gateway

#include "gateway/stages/stage_router_impl.h"
