#pragma once

#include "gateway/publication/publication_relay.h"

#include <algorithm>
#include <utility>

/// The part of a relay that tells those who follow it.
namespace orchidlead::gateway {

/// Between two heartbeats to followers.
inline constexpr milliseconds HeartbeatInterval{300};
/// Times in an encoded list are right for so long.
inline constexpr milliseconds DifferenceLifetime{200};
/// Ages of a heartbeat: of a node that reads the store itself, and the least of any other.
inline constexpr milliseconds ReadsItself{0};
inline constexpr milliseconds LeastRelayedAge{1};
/// A server that is cold writes again and again how long it will be; followers, which count down as
/// this node does, are told only if it is this much longer than they know.
inline constexpr milliseconds ColdSlack{500};
/// Whether a frame tells of servers.
[[nodiscard]] inline bool hasContent(const publication_frame &frame)
{
    return !frame.servers.empty() || !frame.removed.empty();
}

template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeHeartbeat() const
{
    publication_frame frame;
    if (const auto since = currentAt(); since && m_state.listed()) {
        frame.current = true;
        frame.age = readsStore()
            ? ReadsItself
            : std::max(LeastRelayedAge, std::chrono::ceil<milliseconds>(m_loop.now() - *since));
    }
    frame.configurationVersion = std::max(m_configurations.ownVersion(), m_heardVersion);
    frame.revision = m_store.revision();
    frame.removalsDeferred = m_state.removalsDeferred();
    frame.evacuations = m_state.evacuations();
    return frame;
}

template <gateway_codec Codec>
const list_digest &publication_relay<Codec>::ownDigest()
{
    if (std::exchange(m_digestOf, m_directory.changes()) != m_directory.changes())
        m_digest = digestOf(m_directory.all());
    return m_digest;
}

// The list of 3,000 servers has 210 KB. Sent whole to 50 followers that start at once it would keep
// a link of 20 Mbit/s busy for 4 s, and they have just read most of it from the store.
template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeDifference(const list_digest &known)
{
    auto frame = makeDeferred();
    frame.compared = true;
    frame.parts = differingParts(known, ownDigest());
    const std::set<std::uint32_t> parts(frame.parts.begin(), frame.parts.end());
    // The digest doesn't tell who is cold: that passes by itself.
    const auto now = m_loop.now();
    for (const auto &each : m_directory.all()) {
        const auto &id = each->record.id;
        if (parts.contains(static_cast<std::uint32_t>(partOf(id))) || each->cold(now))
            frame.servers.push_back({each->record, each->coldLeft(now)});
    }
    return frame;
}

template <gateway_codec Codec>
follow_frame publication_relay<Codec>::makeFollow()
{
    return {true, m_store.revision(), ownDigest()};
}

template <gateway_codec Codec>
void publication_relay<Codec>::tellFollowers()
{
    // That the store fell silent is told at once, and so is what operators evacuate: until all
    // nodes know, servers there get work from some of them.
    const auto &evacuated = m_state.evacuations().dataCenters;
    const bool current = currentAt().has_value();
    bool changed = std::exchange(m_toldCurrent, current) != current;
    changed = std::exchange(m_toldEvacuated, evacuated) != evacuated || changed;
    if (changed || m_loop.now() >= m_nextHeartbeat)
        sendHeartbeat();
}

template <gateway_codec Codec>
void publication_relay<Codec>::sendHeartbeat()
{
    m_nextHeartbeat = m_loop.now() + HeartbeatInterval;
    sendToFollowers(makeHeartbeat());
}

template <gateway_codec Codec>
void publication_relay<Codec>::sendToFollowers(const peer_frame &frame)
{
    if (m_followers.empty())
        return;
    const auto encoded = encodeFrame(frame);
    for (const auto &link : m_followers)
        link->sendEncoded(encoded);
}

template <gateway_codec Codec>
void publication_relay<Codec>::sendComparison()
{
    if (m_followers.empty())
        return;
    sendToFollowers(compare_frame{m_store.revision(), ownDigest()});
    if (auto deferred = makeDeferred(); hasContent(deferred))
        sendToFollowers(deferred);
}

template <gateway_codec Codec>
void publication_relay<Codec>::onStoreNews(const store_news &news)
{
    if (news.whole) {
        sendComparison();
        return;
    }
    if (m_followers.empty())
        return;
    const auto frame = makeChanges(news);
    if (hasContent(frame) || frame.configurationVersion > m_configurations.ownVersion())
        sendToFollowers(frame);
}

// What was compared with a source may have changed this node's list anywhere.
template <gateway_codec Codec>
void publication_relay<Codec>::handOn(const publication_frame &frame)
{
    if (frame.compared) {
        sendComparison();
        return;
    }
    auto told = makeHeartbeat();
    told.revision = frame.revision;
    told.servers = frame.servers;
    told.removed = frame.removed;
    sendToFollowers(told);
}

// Servers that are gone from the list while their removal isn't believed yet are still known here,
// and count in the digest: followers whose digest is the same have to be told of them.
template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeDeferred() const
{
    auto frame = makeHeartbeat();
    for (const auto &each : m_directory.all()) {
        if (m_state.defers(each->record.id))
            frame.removed.push_back(each->record.id);
    }
    return frame;
}

// Of the changes of one server only the last counts. Servers write their entries again and again,
// so what this node and its followers know already isn't told; but one whose removal was told is
// told again when it is back, just as it was.
template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeChanges(const store_news &news) const
{
    auto frame = makeHeartbeat();
    std::map<backend_server_id, const published_server *> last; // null: removed
    std::set<backend_server_id> removedBetween;
    for (const auto &item : news.items) {
        if (const auto *server = std::get_if<published_server>(&item))
            last[server->record.id] = server;
        else if (const auto *removed = std::get_if<removed_server>(&item)) {
            last[removed->id] = nullptr;
            removedBetween.insert(removed->id);
        } else if (const auto *published = std::get_if<published_configuration>(&item))
            frame.configurationVersion =
                std::max(frame.configurationVersion, published->content.version);
    }
    const auto now = m_loop.now();
    for (const auto &[id, server] : last) {
        const auto known = m_directory.find(id);
        const bool told = known && !removedBetween.contains(id) && !m_state.defers(id);
        if (!server)
            frame.removed.push_back(id);
        else if (!told || known->record != server->record
                 || server->coldFor > known->coldLeft(now) + ColdSlack)
            frame.servers.push_back(*server);
    }
    return frame;
}

template <gateway_codec Codec>
void publication_relay<Codec>::onFollow(const link_ptr &link, const follow_frame &frame)
{
    if (!frame.begins) {
        m_followers.erase(link);
        return;
    }
    m_followers.insert(link);
    if (m_store.revision() > frame.revision)
        link->sendEncoded(encodedDifference(frame.known));
    else
        link->send(makeHeartbeat());
}

template <gateway_codec Codec>
const std::string &publication_relay<Codec>::encodedDifference(const list_digest &known)
{
    auto &sent = m_sentDifference;
    const bool same = sent.changes == m_directory.changes() && sent.known == known
        && m_loop.now() - sent.at <= DifferenceLifetime;
    if (!same || sent.encoded.empty())
        sent = {m_directory.changes(), known, m_loop.now(), encodeFrame(makeDifference(known))};
    return sent.encoded;
}
} // namespace orchidlead::gateway
