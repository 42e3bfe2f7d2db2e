#pragma once

#include "gateway/log_event.h"
#include "gateway/publication/configuration_relay.h"
#include "gateway/publication/text_compression.h"

#include <utility>
#include <vector>

namespace orchidlead::gateway {

template <gateway_codec Codec>
configuration_relay<Codec>::configuration_relay(
    http::io_loop &loop, peer_network &peers, published_state &state, store_reader<Codec> &store,
    std::function<void(const publication_event &)> onEvent, wire::log &log)
    : m_peers(peers)
    , m_state(state)
    , m_store(store)
    , m_onEvent(std::move(onEvent))
    , m_log(log)
    , m_pull(loop.clock(), peers.self())
{ }

template <gateway_codec Codec>
void configuration_relay<Codec>::onVersionAnnounced(std::uint64_t version, const vm_id &announcer)
{
    if (version <= ownVersion())
        return;
    m_pull.onVersionAnnounced(version, announcer);
    pull();
}

template <gateway_codec Codec>
void configuration_relay<Codec>::onConfiguration(std::uint64_t version)
{
    m_pull.onVersionInForce(version);
    std::vector<link_ptr> answered;
    for (const auto &[link, wanted] : m_pendingRequests) {
        if (wanted <= version)
            answered.push_back(link);
    }
    for (const auto &link : answered) {
        m_pendingRequests.erase(link);
        sendTo(link);
    }
}

template <gateway_codec Codec>
void configuration_relay<Codec>::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *configuration = std::get_if<configuration_frame>(&frame)) {
        applyFrame(*configuration);
        return;
    }
    const auto *request = std::get_if<configuration_request>(&frame);
    if (!request)
        return;
    if (request->version <= ownVersion())
        sendTo(link);
    else
        m_pendingRequests[link] = request->version;
}

template <gateway_codec Codec>
void configuration_relay<Codec>::onLinkClosed(const link_ptr &link)
{
    m_pendingRequests.erase(link);
    if (link != m_askedLink)
        return;
    m_askedLink.reset();
    m_pull.onPeerFailed(m_askedPeer);
}

// The configuration is compressed once for all requests; a node that received it from a peer
// forwards the same bytes.
template <gateway_codec Codec>
void configuration_relay<Codec>::sendTo(const link_ptr &link)
{
    if (ownVersion() == 0)
        return;
    if (m_compressed.version != ownVersion())
        m_compressed = {ownVersion(), compress(m_state.configurationText())};
    link->send(m_compressed);
}

template <gateway_codec Codec>
void configuration_relay<Codec>::pull()
{
    while (const auto step = m_pull.next(m_peers.relayOrder())) {
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(log_event::ConfigurationAsked))
                        .add("version", step->version)
                        .add("own_version", ownVersion())
                        .add("from", toName(step->from))
                        .add("peer", step->peer.value));
        if (step->from == configuration_source::Store) {
            m_store.fetchConfiguration();
            continue;
        }
        m_askedPeer = step->peer;
        m_askedLink = m_peers.linkTo(step->peer);
        if (m_askedLink)
            m_askedLink->send(configuration_request{step->version});
        else
            m_pull.onPeerFailed(step->peer);
    }
}

// Only a later version is parsed: parsing a large configuration costs a node as much time as a
// second of requests.
template <gateway_codec Codec>
void configuration_relay<Codec>::applyFrame(const configuration_frame &frame)
{
    if (frame.version <= ownVersion())
        return;
    std::vector<published_item> items;
    const auto unreadable = [&items](const std::string &why) {
        items.emplace_back(unreadable_item{"configuration of a peer", why});
    };
    const auto text = decompress(frame.text, MaxFrameBytes);
    if (!text) {
        unreadable(text.error().what);
    } else if (auto read = Codec::readConfiguration(text.value()); !read) {
        unreadable(read.error().what);
    } else if (read.value().version != frame.version) {
        unreadable("version in the text differs from the version in the frame");
    } else {
        m_compressed = frame;
        items.emplace_back(published_configuration{std::move(read).value(), text.value()});
    }
    for (const auto &each : m_state.apply(items))
        m_onEvent(each);
}

} // namespace orchidlead::gateway
