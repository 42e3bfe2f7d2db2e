#pragma once

#include "gateway/peers/data_center_reach.h"
#include "gateway/peers/peer_link.h"
#include "gateway/peers/peer_view.h"
#include "gateway/servers/pool_key.h"
#include "gateway/settings.h"
#include "http/acceptor.h"
#include "http/datagram_socket.h"
#include "wire/log.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// What a peer network reports.
struct peer_events
{
    std::function<void(const std::shared_ptr<peer_link> &, peer_frame &&)> onFrame;
    std::function<void(const std::shared_ptr<peer_link> &)> onLinkClosed;
    std::function<void(const vm_id &, std::uint64_t version)> onPeerVersion;
    std::function<void(const pool_key &, const vm_id &host)> onHostChanged;
    /// A data centre was lost or regained, or its servers are to be asked for a sign of life.
    std::function<void(const reach_event &)> onReach;
};

/// The other gateways: carries out what `peer_view` decides, and keeps links to them.
class peer_network
{
public:
    peer_network(http::io_loop &loop, wire::log &log, const gateway_settings &settings,
                 std::uint64_t incarnation, peer_events events);
    /// Closes all links; nothing more is reported of them.
    ~peer_network();
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;

    [[nodiscard]] std::optional<http::listen_error> start();

    /// Gives the node that hosts a pool as this node sees it; may be itself.
    [[nodiscard]] vm_id hostOf(const pool_key &pool) { return m_view.hostOf(pool); }
    /// As `peer_view::rateShare`.
    [[nodiscard]] double rateShare(const pool_key &pool) { return m_view.rateShare(pool); }
    /// As `peer_view::relayOrder`.
    [[nodiscard]] const std::vector<vm_id> &relayOrder() { return m_view.relayOrder(); }
    /// As `peer_view::newsReceivers`.
    [[nodiscard]] const std::vector<vm_id> &newsReceivers() { return m_view.newsReceivers(); }
    /// As `peer_view::relaysNews`.
    [[nodiscard]] bool relaysNews() { return m_view.relaysNews(); }
    /// As `peer_view::quarantineHost`.
    [[nodiscard]] const vm_id &quarantineHost() { return m_view.quarantineHost(); }
    /// Who is there, and who has which role, as this node believes.
    [[nodiscard]] const peer_view &view() const { return m_view; }
    [[nodiscard]] const vm_id &self() const { return m_view.self(); }
    [[nodiscard]] const region_id &region() const { return m_view.region(); }
    /// Gives a link to a peer, opened if there is none; null where nothing is known of the peer.
    [[nodiscard]] std::shared_ptr<peer_link> linkTo(const vm_id &peer);
    /// Sends a frame to a peer, over a link that is opened if there is none; a peer of which
    /// nothing is known gets none.
    void send(const vm_id &peer, const peer_frame &frame);
    /// The peer at the other end of a link that this node opened.
    [[nodiscard]] std::optional<vm_id> peerOf(const std::shared_ptr<peer_link> &link) const;
    /// A server of a data centre answered a question for a sign of life.
    void onServerHeard(const data_center_id &dataCenter) { m_view.onHeardFrom(dataCenter); }
    /// Work of this node goes to a data centre, or comes back from there.
    void onUse(const data_center_id &dataCenter) { m_view.onUse(dataCenter); }
    /// A peer didn't answer: it gets no role for a while.
    void avoid(const vm_id &peer) { m_view.avoid(peer); }
    void setVersion(std::uint64_t version) { m_view.setVersion(version); }
    void announceLeaving();
    void announceStopped();

private:
    void tick();
    void onDatagram(const socket_address &from, std::string_view bytes);
    void followReach();
    void closeLinksTo(const data_center_id &dataCenter);
    void carryOut(const membership_actions &actions);
    void onMemberChanged(const member_changed &change);
    void accept(std::shared_ptr<http::stream_socket> socket);
    /// `from`: the peer's data centre; empty where the peer opened the link and hasn't said it.
    [[nodiscard]] peer_link::events linkEvents(const data_center_id &from);

    http::io_loop &m_loop;
    wire::log &m_log;
    socket_address m_address;
    peer_events m_events;
    peer_view m_view;
    bool m_followsReach;
    std::unique_ptr<http::datagram_socket> m_datagrams;
    std::unique_ptr<http::acceptor> m_acceptor;
    struct opened_link
    {
        std::shared_ptr<peer_link> link;
        data_center_id dataCenter; ///< of the peer
    };
    std::map<vm_id, opened_link> m_links; ///< opened by this node
    std::vector<std::weak_ptr<peer_link>> m_accepted; ///< opened by peers
};

} // namespace orchidlead::gateway
