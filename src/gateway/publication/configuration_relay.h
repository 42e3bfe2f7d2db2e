#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/publication/configuration_pull.h"
#include "gateway/publication/published_state.h"
#include "gateway/publication/store_reader.h"

#include <functional>
#include <map>
#include <memory>

namespace orchidlead::gateway {

/// Transfers the text of configurations between nodes: sends the requests chosen by
/// `configuration_pull` and answers the requests of peers.
template <gateway_codec Codec>
class configuration_relay
{
public:
    configuration_relay(http::io_loop &loop, peer_network &peers, published_state &state,
                        store_reader<Codec> &store,
                        std::function<void(const publication_event &)> onEvent, wire::log &log);

    /// Requests an announced configuration that has not arrived; call about every 100 ms.
    void tick() { pull(); }
    /// Handles the announcement by a peer that a version is published.
    void onVersionAnnounced(std::uint64_t version, const vm_id &announcer);
    /// Records that a version is now in force on this node and answers the requests that waited for
    /// it.
    void onConfiguration(std::uint64_t version);
    /// Handles a frame about configurations; ignores other frames.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// Sends the configuration in force, if any.
    void sendTo(const std::shared_ptr<peer_link> &link);

    /// Returns the version in force on this node; 0 if none.
    [[nodiscard]] std::uint64_t ownVersion() const
    {
        return m_state.currentConfiguration() ? m_state.currentConfiguration()->version() : 0;
    }

private:
    using link_ptr = std::shared_ptr<peer_link>;

    void pull();
    void applyFrame(const configuration_frame &frame);

    peer_network &m_peers;
    published_state &m_state;
    store_reader<Codec> &m_store;
    std::function<void(const publication_event &)> m_onEvent;
    wire::log &m_log;
    configuration_pull m_pull;
    link_ptr m_askedLink; ///< to the peer that received the last request
    vm_id m_askedPeer;
    std::map<link_ptr, std::uint64_t> m_pendingRequests; ///< versions awaited by peers
    configuration_frame m_compressed; ///< the configuration last compressed or received
};

} // namespace orchidlead::gateway

#include "gateway/publication/configuration_relay_impl.h"
