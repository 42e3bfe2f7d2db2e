#pragma once

#include "gateway/engines/engine_board.h"
#include "gateway/peers/peer_network.h"
#include "gateway/servers/pool_widths.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace orchidlead::gateway {

/// Has requests placed on engines by the node that hosts the board of their service, so that one
/// board knows the requests of all nodes. A host that doesn't answer at once is passed over: this
/// node then places by what it knows itself.
class engine_placer
{
public:
    /// Null: no server of the service may be used.
    using handler = std::function<void(server_ptr)>;

    engine_placer(http::io_loop &loop, peer_network &peers, server_directory &directory,
                  const policies_left_out &without);

    void setConfiguration(const configuration_ptr &configuration);

    /// Gives the pool of a service for a request that is best done in `near`.
    [[nodiscard]] pool_key poolFor(const service_id &service, const data_center_id &near,
                                   const residency &allowed);
    /// `placed` is called once, later, unless `onEnd` comes first.
    placement_id place(engine_wish wish, handler placed);
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
        engine_wish wish;
        handler placed; ///< empty once it was called
        link_ptr link; ///< to the host; null: this node
        http::timer_id timer = 0;
    };

    void placeHere(placement_id id, request &entry);
    [[nodiscard]] server_ptr placeOnBoard(placement_id id, const engine_wish &wish);
    void onPlaced(placement_id id, const backend_server_id &server);
    void onWish(const link_ptr &link, const place_frame &frame);
    void onProgress(const link_ptr &link, const progress_frame &frame);

    http::io_loop &m_loop;
    peer_network &m_peers;
    server_directory &m_directory;
    engine_board m_board;
    pool_widths m_widths;
    placement_id m_lastId = 0;
    std::unordered_map<placement_id, request> m_requests;
    std::map<link_ptr, std::unordered_map<placement_id, placement_id>> m_hosted; ///< theirs to ours
};

} // namespace orchidlead::gateway
