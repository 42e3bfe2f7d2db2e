#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/servers/server_directory.h"

#include <orchidlead/ids.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace orchidlead::gateway {

/// Tells other nodes which servers say in answers that they leave, and hears it from them.
///
/// What is news to a node goes on to its receivers (`peer_view::newsReceivers`) at once, and all
/// that is known to a receiver that has just come. As long as no server leaves, nothing is sent.
class leaving_relay
{
public:
    leaving_relay(peer_network &peers, server_directory &directory,
                  std::function<void(const server_start &, const vm_id &from)> onHeard);

    /// An answer of this node said it first.
    void onLeavingSaid(const server &which);
    /// Follows changes of the receivers; call every 100 ms or so.
    void tick();
    /// A frame about servers that leave; others are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);

private:
    using link_ptr = std::shared_ptr<peer_link>;

    /// One start of a receiver, and the link over which it was told all that was known.
    struct told_receiver
    {
        incarnation number = 0;
        link_ptr link;
    };

    void tell(const std::vector<server_start> &news, const link_ptr &except);

    peer_network &m_peers;
    server_directory &m_directory;
    std::function<void(const server_start &, const vm_id &from)> m_onHeard;
    std::map<vm_id, told_receiver> m_told;
};

} // namespace orchidlead::gateway
