#pragma once

#include "gateway/peers/connection_trial.h"
#include "gateway/peers/data_center_reachability.h"
#include "gateway/peers/peer_link.h"
#include "gateway/peers/peer_view.h"
#include "gateway/relay/relay_selector.h"
#include "gateway/servers/pool_key.h"
#include "gateway/settings.h"
#include "http/acceptor.h"
#include "http/datagram_socket.h"
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

/// Callbacks of a peer network.
struct peer_events
{
    std::function<void(const std::shared_ptr<peer_link> &, peer_frame &&)> onFrame;
    std::function<void(const std::shared_ptr<peer_link> &)> onLinkClosed;
    std::function<void(const vm_id &, std::uint64_t version)> onPeerVersion;
    std::function<void(const pool_key &, const vm_id &host)> onHostChanged;
    /// A data centre was lost or regained, or its servers are to be probed.
    std::function<void(const reachability_event &)> onReachability;
};

/// Connects this node to the other gateways: sends what `peer_view` decides to send, and keeps TCP
/// links to peers.
class peer_network
{
public:
    peer_network(http::io_loop &loop, wire::log &log, const gateway_settings &settings,
                 std::uint64_t incarnation, peer_events events);
    /// Closes all links without calling the callbacks.
    ~peer_network();
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;

    /// Sets the function that opens links to peers, so that tests can cut them. Call before
    /// `start`.
    void setConnect(http::connect_function connect) { m_connect = std::move(connect); }
    [[nodiscard]] std::optional<http::listen_error> start();

    /// As `peer_view::hostOf`.
    [[nodiscard]] vm_id hostOf(const pool_key &pool) { return m_view.hostOf(pool); }
    /// As `peer_view::rateShare`.
    [[nodiscard]] double rateShare(const pool_key &pool) { return m_view.rateShare(pool); }
    /// As `peer_view::relayOrder`.
    [[nodiscard]] const std::vector<vm_id> &relayOrder() { return m_view.relayOrder(); }
    /// As `peer_view::broadcastTargets`.
    [[nodiscard]] const std::vector<vm_id> &broadcastTargets() { return m_view.broadcastTargets(); }
    /// As `peer_view::isBroadcastRelay`.
    [[nodiscard]] bool isBroadcastRelay() { return m_view.isBroadcastRelay(); }
    /// As `peer_view::quarantineHost`.
    [[nodiscard]] const vm_id &quarantineHost() { return m_view.quarantineHost(); }
    /// As `peer_view::originKeepers`.
    [[nodiscard]] std::vector<vm_id> originKeepers(const request_digest &stream)
    {
        return m_view.originKeepers(stream);
    }
    /// As `peer_view::originCandidates`.
    [[nodiscard]] std::vector<vm_id> originCandidates(const request_digest &stream)
    {
        return m_view.originCandidates(stream);
    }
    /// Returns the peers considered alive that may relay calls, with the address of their relay
    /// listeners at this port, and the regions of their data centres.
    [[nodiscard]] std::vector<relay_candidate>
    relayCandidates(std::uint16_t port,
                    const std::function<region_id(const data_center_id &)> &regionOf) const;
    /// Returns this node's view of members and roles.
    [[nodiscard]] const peer_view &view() const { return m_view; }
    [[nodiscard]] const vm_id &self() const { return m_view.self(); }
    [[nodiscard]] const region_id &region() const { return m_view.region(); }
    /// As `peer_view::process`.
    [[nodiscard]] peer_process process() const { return m_view.process(); }
    /// As `peer_view::knowledgeOf`.
    [[nodiscard]] process_knowledge knowledgeOf(const peer_process &process) const
    {
        return m_view.knowledgeOf(process);
    }
    /// As `peer_view::ping`.
    void ping(const socket_address &address);
    /// Finds out whether a process listens at the address of a peer.
    [[nodiscard]] std::unique_ptr<connection_trial>
    tryConnect(const socket_address &address, std::function<void(connect_result)> onResult);
    /// Returns the link to a peer, and opens one if there is none; null for an unknown peer.
    [[nodiscard]] std::shared_ptr<peer_link> linkTo(const vm_id &peer);
    /// Sends a frame to a peer, and opens a link if there is none; does nothing for an unknown
    /// peer.
    void send(const vm_id &peer, const peer_frame &frame);
    /// Returns the peer of a link that this node opened; empty for other links.
    [[nodiscard]] std::optional<vm_id> peerOf(const std::shared_ptr<peer_link> &link) const;
    /// Records that a server of the data centre answered a request or accepted a connection.
    void onServerResponse(const data_center_id &dataCenter)
    {
        m_view.onLivenessSignalFrom(dataCenter);
    }
    /// As `peer_view::onTraffic`: called when requests go to the data centre or answers arrive from
    /// it.
    void onTraffic(const data_center_id &dataCenter) { m_view.onTraffic(dataCenter); }
    /// As `peer_view::avoid`.
    void avoidPeer(const vm_id &peer) { m_view.avoidPeer(peer); }
    void setVersion(std::uint64_t version) { m_view.setVersion(version); }
    void announceLeaving();
    void announceStopped();

private:
    void tick();
    void onDatagram(const socket_address &from, std::string_view bytes);
    void updateReachability();
    void closeLinksTo(const data_center_id &dataCenter);
    void carryOut(const membership_actions &actions);
    void onMemberChanged(const member_changed &change);
    void accept(std::shared_ptr<http::stream_socket> socket);
    /// Returns the handlers of a link to this peer. Both are empty for a link that the peer opened.
    [[nodiscard]] peer_link::events linkEvents(const vm_id &peer, const data_center_id &from);
    /// Closes the links to dead members from which no frames arrive.
    void closeDeadLinks();

    http::io_loop &m_loop;
    wire::log &m_log;
    socket_address m_address;
    peer_events m_events;
    http::connect_function m_connect = &http::stream_socket::connect;
    peer_view m_view;
    bool m_checksReachability;
    std::unique_ptr<http::datagram_socket> m_datagrams;
    std::unique_ptr<http::acceptor> m_acceptor;
    struct opened_link
    {
        std::shared_ptr<peer_link> link;
        data_center_id dataCenter; ///< of the peer
    };
    std::map<vm_id, opened_link> m_links; ///< links opened by this node
    std::set<vm_id> m_deadMembers; ///< those whose links may be open, as frames arrived recently
    std::vector<std::weak_ptr<peer_link>> m_accepted; ///< links opened by peers
};

} // namespace orchidlead::gateway
