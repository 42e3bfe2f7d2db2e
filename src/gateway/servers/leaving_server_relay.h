#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/servers/server_directory.h"

#include <orchidlead/ids.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace orchidlead::gateway {

/// Exchanges with other nodes which servers have announced in responses that they are leaving.
///
/// A newly leaving server is forwarded to this node's receivers (`peer_view::broadcastTargets`) at
/// once. A new receiver gets the full list. Nothing is sent while no server is leaving.
class leaving_server_relay
{
public:
    leaving_server_relay(peer_network &peers, server_directory &directory,
                         std::function<void(const server_start &, const vm_id &from)> onPeerReport);

    /// Called when a response to this node is the first to announce that the server is leaving.
    void onLeavingAnnounced(const server &backend);
    /// Sends the full list to new receivers; call about every 100 ms.
    void tick();
    /// Handles frames about leaving servers; other frames are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);

private:
    using link_ptr = std::shared_ptr<peer_link>;

    /// The incarnation of a receiver, and the link over which the full list was sent.
    struct notified_receiver
    {
        incarnation memberIncarnation = 0;
        link_ptr link;
    };

    void sendToReceivers(const std::vector<server_start> &newlyLeaving, const link_ptr &except);

    peer_network &m_peers;
    server_directory &m_directory;
    std::function<void(const server_start &, const vm_id &from)> m_onPeerReport;
    std::map<vm_id, notified_receiver> m_notified;
};

} // namespace orchidlead::gateway
