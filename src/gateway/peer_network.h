#pragma once

#include "gateway/data_center_reach.h"
#include "gateway/peer_link.h"
#include "gateway/pool_key.h"
#include "gateway/settings.h"
#include "http/acceptor.h"
#include "http/datagram_socket.h"
#include "wire/log.h"

#include <orchidlead/membership.h>

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

/// The other gateways: who is there, and links to them.
///
/// Members find each other through first contacts and gossip; nothing lists them. What a node
/// believes is soft: roles go to whom it believes alive, and moving one loses nothing but time.
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
    [[nodiscard]] vm_id hostOf(const pool_key &pool);
    /// Gives the nodes that read the store for this data centre, as this node sees it.
    [[nodiscard]] std::vector<vm_id> readers(std::size_t count) const;
    [[nodiscard]] const vm_id &self() const { return m_self; }
    /// Gives a link to a peer, opened if there is none; null where nothing is known of the peer.
    [[nodiscard]] std::shared_ptr<peer_link> linkTo(const vm_id &peer);
    /// The peer at the other end of a link that this node opened.
    [[nodiscard]] std::optional<vm_id> peerOf(const std::shared_ptr<peer_link> &link) const;
    /// A server of a data centre answered.
    void onServerHeard(const data_center_id &dataCenter) { m_reach.onHeard(dataCenter); }
    /// A peer didn't answer: it gets no role for a while.
    void avoid(const vm_id &peer);
    /// Peers that are believed alive, nearest first.
    [[nodiscard]] std::vector<vm_id> peers() const;
    /// How many members are in each state, this node included.
    [[nodiscard]] std::map<std::string, std::size_t> countByState() const;
    /// How many nodes there may be, this one and those given up lately included.
    [[nodiscard]] std::size_t nodes() const;
    void setVersion(std::uint64_t version);
    void announceLeaving();
    void announceStopped();

private:
    void tick();
    void contactOthers();
    void onDatagram(const socket_address &from, std::string_view bytes);
    void followReach();
    void askPeersIn(const data_center_id &dataCenter);
    void closeLinksTo(const data_center_id &dataCenter);
    void carryOut(const membership_actions &actions);
    void onMemberChanged(const member_changed &change);
    void accept(std::shared_ptr<http::stream_socket> socket);
    /// `from`: the peer's data centre; empty where the peer opened the link and hasn't said it.
    [[nodiscard]] peer_link::events linkEvents(const data_center_id &from);
    [[nodiscard]] bool avoided(const vm_id &peer) const;
    [[nodiscard]] vm_id pickHost(const pool_key &pool) const;
    void forgetHosts();
    /// Members that may have a role: alive and not avoided; this node unless it leaves. Of one data
    /// centre, or, where none is named, of all.
    [[nodiscard]] std::vector<vm_id> candidates(const data_center_id &dataCenter) const;

    http::io_loop &m_loop;
    wire::log &m_log;
    vm_id m_self;
    data_center_id m_dataCenter;
    socket_address m_address;
    std::vector<socket_address> m_firstContacts;
    peer_events m_events;
    membership m_members;
    data_center_reach m_reach;
    bool m_followsReach;
    std::size_t m_lastAsked = 0; ///< turns through the members of a silent data centre
    std::unique_ptr<http::datagram_socket> m_datagrams;
    std::unique_ptr<http::acceptor> m_acceptor;
    std::map<vm_id, std::shared_ptr<peer_link>> m_links; ///< opened by this node
    std::vector<std::weak_ptr<peer_link>> m_accepted; ///< opened by peers
    std::map<vm_id, steady_time> m_avoided;
    /// A pool's host, as picked when members or avoided peers last changed.
    struct picked_host
    {
        vm_id vm;
        bool current = false;
    };
    std::map<pool_key, picked_host> m_hosts;
    steady_time m_hostsUntil = steady_time::max(); ///< when an avoided peer may be host again
    steady_time m_nextContact{};
};

} // namespace orchidlead::gateway
