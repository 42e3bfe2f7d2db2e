#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/placement/placement_board.h"
#include "gateway/servers/pool_widths.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace orchidlead::gateway {

/// Has requests placed on servers by the node that hosts their pool, so that one board knows the
/// requests of all nodes. A host that doesn't answer at once is passed over: this node then places
/// by what it knows itself, and on no server that is bounded.
///
/// What answers say of servers' limits goes to the host with the progress of what it placed. A host
/// that may not know what this node heard is told before it is asked.
class request_placer
{
public:
    using handler = std::function<void(const placed_request &)>;
    using admission_handler = std::function<void(const admission &)>;

    request_placer(http::io_loop &loop, peer_network &peers, server_directory &directory,
                   const policies_left_out &without);

    void setConfiguration(const configuration_ptr &configuration);

    /// Gives the pool of a service for a request that is best done in `near`.
    [[nodiscard]] pool_key poolFor(const service_id &service, const data_center_id &near,
                                   const residency &allowed);
    /// Whether requests of a pool have to be let in before their stages, as far as this node knows:
    /// all its servers were bounded lately.
    [[nodiscard]] bool needsAdmission(const pool_key &pool) const;
    /// Asks the host whether a request may go on to its stages. `answer` is called once, later,
    /// unless `onEnd` comes first. A host that doesn't answer lets it go on.
    placement_id askAdmission(placement_wish wish, admission_handler answer);
    /// `placed` is called once, later, unless `onEnd` comes first.
    placement_id place(placement_wish wish, handler placed);
    /// An answer to the request began, and told this.
    void onSignals(placement_id id, const server_signals &told);
    /// A server names another limit to this node than before.
    void onRateLimitChanged() { ++m_limitChanges; }
    void onFirstAnswer(placement_id id);
    void onEnd(placement_id id);

    /// A frame about placements; others are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// Requests that this node placed for itself and others, and that haven't ended.
    [[nodiscard]] std::size_t open() const { return m_board.open(); }

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct request
    {
        placement_wish wish;
        handler placed; ///< empty once it was called
        link_ptr link; ///< to the host; null: this node
        http::timer_id timer = 0;
        server_signals signals = NoSignals; ///< that its host hasn't been told yet
    };
    struct asked_admission
    {
        placement_wish wish;
        admission_handler answer;
        link_ptr link; ///< as in `request`
        http::timer_id timer = 0;
    };
    /// One that this node placed for another.
    struct hosted_request
    {
        placement_id ours = 0;
        server_start server;
    };
    /// Over which link a pool's host was told of limits, and up to which change.
    struct told_host
    {
        link_ptr link;
        std::uint64_t changes = 0;
    };

    [[nodiscard]] link_ptr linkToHost(const pool_key &pool);
    /// How long the host of a pool has for an answer.
    [[nodiscard]] milliseconds patienceWith(const pool_key &pool);
    void tellLimits(const pool_key &pool, const link_ptr &link);
    void placeHere(placement_id id, request &entry);
    [[nodiscard]] placed_request placeOnBoard(placement_id id, const placement_wish &wish);
    [[nodiscard]] admission admitOnBoard(const placement_wish &wish);
    /// Calls the request's handler.
    void hand(request &entry, const placed_request &placed);
    void onAdmission(placement_id id, const admission &told);
    /// Takes down whether all servers of a pool are bounded, as its host says.
    void note(const pool_key &pool, bool allBounded);
    void sendProgress(placement_id id, request &entry, progress_frame::what kind);
    void onPlaced(const placed_frame &frame);
    void onWish(const link_ptr &link, const place_frame &frame);
    void onAdmissionRequest(const link_ptr &link, const admission_request &frame);
    void onProgress(const link_ptr &link, const progress_frame &frame);
    void onRateLimits(const rate_limits_frame &frame);
    /// Goes on without the word of a host whose link ended.
    void goOnWithout(const link_ptr &link);

    http::io_loop &m_loop;
    peer_network &m_peers;
    server_directory &m_directory;
    placement_board m_board;
    pool_widths m_widths;
    placement_id m_lastId = 0;
    std::unordered_map<placement_id, request> m_requests;
    std::unordered_map<placement_id, asked_admission> m_admissions;
    std::map<pool_key, steady_time> m_allBounded; ///< until when it is believed
    std::uint64_t m_limitChanges = 0; ///< of limits that this node heard
    std::map<pool_key, told_host> m_toldHosts;
    std::map<link_ptr, std::unordered_map<placement_id, hosted_request>> m_hosted; ///< by theirs
};

} // namespace orchidlead::gateway
