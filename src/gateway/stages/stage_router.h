#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/servers/pool_widths.h"
#include "gateway/stages/stage_host.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Brings each piece to the node that hosts the stage pool of its service and place, so that the
/// pieces of all nodes share calls.
///
/// A host is held to nothing: when its link ends or falls silent, pieces are submitted again to
/// whoever is the host then, at last to this node itself. A piece may be done twice so.
template <gateway_codec Codec>
class stage_router
{
public:
    using piece_handler = typename stage_host<Codec>::piece_handler;

    stage_router(http::io_loop &loop, wire::log &log, peer_network &peers, stage_host<Codec> &host,
                 server_directory &directory, retry_allowance &allowance,
                 const gateway_settings &settings);

    /// Whether this node knows servers, and can host for others; it does if that is never said.
    void setPrepared(std::function<bool()> prepared) { m_prepared = std::move(prepared); }
    /// Gives the node that hosts a pool for this node.
    [[nodiscard]] vm_id hostOf(const pool_key &pool) const;
    /// Gives the pool of a service for work that is best done in `near`.
    [[nodiscard]] pool_key poolFor(const service_id &service, const data_center_id &near,
                                   const residency &allowed = {});
    /// How long no host takes pieces of a service, as they told this node: their servers asked
    /// them for time. Empty: some do.
    [[nodiscard]] std::optional<milliseconds>
    backoffOf(const service_id &service, const data_center_id &near, const residency &allowed);
    /// Servers of a service came, changed or left.
    void onServersChanged(const service_id &service);
    piece_token submit(const service_id &service, piece_job &&job, piece_handler &&handler);
    void withdraw(piece_token token);
    /// Gives results up, through the hosts of their services, which count them.
    void free(const std::vector<std::string> &handles);

    /// A frame about pieces; others are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, peer_frame &&frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// Looks for hosts that have fallen silent; call every 100 ms or so.
    void tick();

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct submission
    {
        pool_key pool;
        piece_job job;
        piece_handler handler;
        link_ptr link; ///< to the host; null: this node
        piece_token local = 0; ///< of the own host
        std::uint32_t moves = 0;
    };

    /// A pool whose servers asked its host for time, or couldn't be reached.
    struct backed_off_pool
    {
        vm_id host;
        steady_time until;
    };

    /// As `poolFor`, or the pool of another data centre, the own one first, where that one's
    /// servers asked for time or couldn't be reached.
    [[nodiscard]] pool_key openPoolFor(const service_id &service, const data_center_id &near,
                                       const residency &allowed);
    [[nodiscard]] std::optional<milliseconds> backoffOf(const pool_key &pool) const;
    void place(piece_token token, submission &entry);
    /// Gives a link to the host of a pool; null: this node.
    [[nodiscard]] link_ptr linkToHost(const pool_key &pool);
    void onOutcome(piece_token token, piece_report report);
    /// Brings a piece whose pool gets nothing new to another one; false where there is none.
    bool moveFromClosed(piece_token token, submission &entry);
    /// Brings a piece to the next node in question, and others that come for a while.
    void leaveUnreadyHost(piece_token token, submission &entry);
    /// The pool of the own data centre, where it isn't the piece's and may get it.
    [[nodiscard]] std::optional<pool_key> ownPoolFor(const submission &entry);
    /// Moves a piece there; false where that can't be.
    [[nodiscard]] bool moveHome(piece_token token, submission &entry);
    /// Places a piece anew, not within the handler of its outcome.
    void placeLater(piece_token token, submission &entry, milliseconds delay);
    void onPieceFrame(const link_ptr &link, piece_frame &&frame);
    void onWithdrawFrame(const link_ptr &link, piece_token token);

    http::io_loop &m_loop;
    wire::log &m_log;
    peer_network &m_peers;
    stage_host<Codec> &m_host;
    server_directory &m_directory;
    retry_allowance &m_allowance;
    data_center_id m_dataCenter; ///< of this node
    std::function<bool()> m_prepared;
    stage_sharing m_sharing;
    pool_widths m_widths;
    std::unordered_map<piece_token, submission> m_submissions;
    std::map<link_ptr, std::unordered_map<piece_token, piece_token>> m_hosted; ///< theirs to ours
    std::map<pool_key, backed_off_pool> m_backedOff;
    piece_token m_lastToken = 0;
};

} // namespace orchidlead::gateway

#include "gateway/stages/stage_router_impl.h"
