#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/publication/configuration_pull.h"
#include "gateway/publication/published_state.h"
#include "gateway/publication/store_follower.h"

#include <functional>
#include <map>
#include <memory>

namespace orchidlead::gateway {

/// Hands the text of configurations from node to node: carries out what `configuration_pull`
/// decides, and answers those who ask this node.
template <gateway_codec Codec>
class configuration_relay
{
public:
    configuration_relay(http::io_loop &loop, peer_network &peers, published_state &state,
                        store_follower<Codec> &store,
                        std::function<void(const publication_news &)> onNews, wire::log &log);

    /// Asks for what is wanted and hasn't come; call every 100 ms or so.
    void tick() { pull(); }
    /// A peer told that a configuration of that version is published.
    void onTold(std::uint64_t version, const vm_id &teller);
    /// This node has that configuration in force now.
    void onConfiguration(std::uint64_t version);
    /// A frame about configurations; others are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// Sends the configuration in force, if there is one.
    void sendTo(const std::shared_ptr<peer_link> &link);

    /// The version in force on this node; 0: none.
    [[nodiscard]] std::uint64_t ownVersion() const
    {
        return m_state.current() ? m_state.current()->version() : 0;
    }

private:
    using link_ptr = std::shared_ptr<peer_link>;

    void pull();
    void take(const configuration_frame &frame);

    peer_network &m_peers;
    published_state &m_state;
    store_follower<Codec> &m_store;
    std::function<void(const publication_news &)> m_onNews;
    wire::log &m_log;
    configuration_pull m_pull;
    link_ptr m_askedLink; ///< to the peer that was asked last
    vm_id m_askedPeer;
    std::map<link_ptr, std::uint64_t> m_awaiting; ///< who asked this node, and for which version
    configuration_frame m_packed; ///< what was sent or taken last
};

} // namespace orchidlead::gateway

#include "gateway/publication/configuration_relay_impl.h"
