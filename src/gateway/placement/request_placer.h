#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/placement/board_state_intake.h"
#include "gateway/placement/placement_board.h"
#include "gateway/placement/recent_prompt_parts.h"
#include "gateway/servers/pool_splitter.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace orchidlead::gateway {

/// Has the host of a pool place requests on its servers, so that one board tracks the requests of
/// all nodes. If the host does not answer in time, this node places the request from its own state,
/// but never on a rate-limited server. A request for brittle servers is refused then.
///
/// Rate limits reported in responses are sent to the host with the progress of the requests that it
/// placed. A host that may not know this node's limits gets them before the first request.
class request_placer
{
public:
    using placement_handler = std::function<void(const placement_result &)>;
    using admission_handler = std::function<void(const admission &)>;

    request_placer(http::io_loop &loop, peer_network &peers, server_directory &directory,
                   const disabled_policies &disabledPolicies);

    void setConfiguration(const configuration_ptr &configuration);

    /// Returns the pool of a service for a request that is best processed in `preferredDataCenter`.
    [[nodiscard]] pool_key poolFor(const service_id &service,
                                   const data_center_id &preferredDataCenter,
                                   const residency &allowed);
    /// Returns whether requests of a pool must be admitted before their stages, because all servers
    /// of the pool were recently reported as rate-limited.
    [[nodiscard]] bool needsAdmission(const pool_key &pool) const;
    /// Asks the host whether a request may start its stages. `answer` is called once,
    /// asynchronously, unless `onEnd` is called first. If the host does not answer, the request is
    /// admitted.
    placement_id askAdmission(placement_query query, admission_handler answer);
    /// Places a request. `placed` is called once, asynchronously, unless `onEnd` is called first.
    placement_id place(placement_query query, placement_handler placed);
    /// Called when a response to the request begins; `reported` holds the signals of the response.
    void onSignals(placement_id id, const server_signals &reported);
    /// Called when a server announces a different rate limit to this node.
    void onRateLimitChanged() { ++m_limitChanges; }
    void onFirstToken(placement_id id);
    /// Called before `onEnd` if the server refused the connection or broke off its answer. The
    /// caller makes sure that the network is not the cause.
    void onServerFailed(placement_id id);
    void onEnd(placement_id id);

    /// Handles frames about placements; other frames are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// Returns the number of requests that this node placed, for itself or other nodes, and that
    /// have not ended.
    [[nodiscard]] std::size_t activeCount() const { return m_board.activeCount(); }

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct pending_placement
    {
        placement_query query;
        placement_handler placed; ///< empty once it has been called
        link_ptr link; ///< to the host; null: placed by this node
        http::timer_id timer = 0;
        /// The id under which the host counts the request: its own, or that of an earlier request
        /// whose place at the server it took over. 0: the host has not placed it.
        placement_id hostId = 0;
        steady_time hostedAt{}; ///< when the host answered that it had placed `hostId`
        server_ptr server; ///< that the host has chosen
        server_signals signals = NoSignals; ///< not sent to the host yet
        steady_time signalsAt{}; ///< when `signals` arrived
        bool serverFailed = false;
    };
    struct pending_admission
    {
        placement_query query;
        admission_handler answer;
        link_ptr link; ///< as in `pending_placement`
        http::timer_id timer = 0;
    };
    /// A request that this node placed for another node.
    struct hosted_placement
    {
        placement_id localId = 0;
        server_start server;
    };
    /// The link over which the rate limits were last sent to a pool's host, and the value of
    /// `m_limitChanges` at that time.
    struct limits_recipient
    {
        link_ptr link;
        std::uint64_t sentLimitChanges = 0;
    };

    [[nodiscard]] link_ptr linkToHost(const pool_key &pool);
    /// Returns how long to wait for an answer of the pool's host.
    [[nodiscard]] milliseconds hostTimeout(const pool_key &pool);
    void sendRateLimits(const pool_key &pool, const link_ptr &link);
    /// Continues without a usable answer of the host; refuses a request for brittle servers.
    void continueWithoutHost(placement_id id, pending_placement &entry);
    /// Continues after the link to the host was closed.
    void onHostLost(placement_id id, pending_placement &entry);
    /// Returns the number of recent parts to offer with a request to a host that may not know them;
    /// 0 if the last request of the pool went to the same host.
    [[nodiscard]] std::uint32_t partsToOffer(const pool_key &pool, const link_ptr &link);
    void placeLocally(placement_id id, pending_placement &entry);
    /// Gives the place of an answered request at a brittle server to a request that waits for the
    /// host's answer. Returns false if there is none; the host must then free the place.
    [[nodiscard]] bool passOnPlace(const pending_placement &ended);
    /// Returns whether a request may use the place of another one.
    [[nodiscard]] bool mayTakePlace(const pending_placement &entry,
                                    const pending_placement &ended) const;
    [[nodiscard]] placement_result placeOnBoard(placement_id id, const placement_query &query);
    /// Admits or refuses a request as the host of its pool.
    [[nodiscard]] admission admitOnBoard(const placement_query &query);
    /// Calls the handler of the request.
    void complete(pending_placement &entry, const placement_result &placed);
    void onAdmission(placement_id id, const admission &decision);
    /// Records whether the host reports that all servers of a pool are rate-limited.
    void recordAllRateLimited(const pool_key &pool, bool allRateLimited);
    void sendProgress(placement_id id, pending_placement &entry,
                      placement_progress_frame::event_type kind);
    void onPlaced(const link_ptr &link, const placed_frame &frame);
    void onPlaceRequest(const link_ptr &link, const place_frame &frame);
    void onAdmissionRequest(const link_ptr &link, const admission_request &frame);
    void onProgress(const link_ptr &link, const placement_progress_frame &frame);
    void onRateLimits(const rate_limits_frame &frame);
    /// Continues without the host after its link was closed.
    void handleHostLoss(const link_ptr &link);

    http::io_loop &m_loop;
    peer_network &m_peers;
    server_directory &m_directory;
    placement_board m_board;
    pool_splitter m_splitter;
    placement_id m_lastId = 0;
    std::unordered_map<placement_id, pending_placement> m_pending;
    std::set<placement_id> m_awaitingHost; ///< of `m_pending`, those without an answer of the host
    std::unordered_map<placement_id, pending_admission> m_admissions;
    std::map<pool_key, steady_time> m_allRateLimited; ///< when the host's report expires
    std::uint64_t m_limitChanges = 0; ///< number of rate limit changes reported to this node
    std::map<pool_key, limits_recipient> m_limitsSentTo;
    bool m_reportsParts; ///< to new hosts of boards
    bool m_sharesFailures; ///< of servers, with the hosts of their pools
    recent_prompt_parts m_recentParts;
    board_state_intake m_reportIntake; ///< of the pools that this node hosts
    /// The link to the host of each pool at the last placement; null: this node.
    std::map<pool_key, link_ptr> m_lastHosts;
    /// By link and id of the other node.
    std::map<link_ptr, std::unordered_map<placement_id, hosted_placement>> m_hosted;
};

} // namespace orchidlead::gateway
