#pragma once

#include "gateway/publication/publication_relay.h"

#include <algorithm>
#include <utility>

/// The part of `publication_relay` that serves the followers of a node.
namespace orchidlead::gateway {

/// Interval between two heartbeats to followers.
inline constexpr milliseconds HeartbeatInterval{300};
/// How long an encoded list may be reused; after that its remaining cold times are inaccurate.
inline constexpr milliseconds DifferenceLifetime{200};
/// Ages in a heartbeat: of a node that reads the store itself, and the minimum for any other node.
inline constexpr milliseconds DirectReaderAge{0};
inline constexpr milliseconds MinRelayedAge{1};
/// A cold server repeatedly publishes its remaining cold time. Followers count the time down as
/// this node does, so the time is sent again only if it exceeds their value by more than this.
inline constexpr milliseconds ColdTimeTolerance{500};
/// Returns whether a frame contains added, changed or removed servers.
[[nodiscard]] inline bool hasContent(const publication_frame &frame)
{
    return !frame.servers.empty() || !frame.removed.empty();
}

template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeHeartbeat() const
{
    publication_frame frame;
    if (const auto since = currentAt(); since && m_state.hasServerList()) {
        frame.current = true;
        frame.age = readsStore()
            ? DirectReaderAge
            : std::max(MinRelayedAge, std::chrono::ceil<milliseconds>(m_loop.now() - *since));
    }
    frame.contactAge = std::chrono::ceil<milliseconds>(m_loop.now() - m_state.lastContactAt());
    frame.configurationVersion = std::max(m_configurations.ownVersion(), m_announcedVersion);
    frame.revision = m_store.revision();
    frame.removalsDeferred = m_state.removalsDeferred();
    frame.evacuations = m_state.evacuations();
    frame.gapUntil = m_gapUntil;
    return frame;
}

template <gateway_codec Codec>
const list_digest &publication_relay<Codec>::ownDigest()
{
    if (std::exchange(m_digestChangeCount, m_directory.changes()) != m_directory.changes())
        m_digest = digestOf(m_directory.all());
    return m_digest;
}

// A list of 3,000 servers takes 210 KB. Sent in full to 50 followers that start at the same time,
// it would occupy a link of 20 Mbit/s for 4 s, although the followers have just read most of it
// from the store.
template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeDifference(const list_digest &known)
{
    auto frame = makeDeferredRemovals();
    frame.fullSync = true;
    frame.listedParts = differingParts(known, ownDigest());
    const std::set<std::uint32_t> parts(frame.listedParts.begin(), frame.listedParts.end());
    // The digest does not cover the cold state, which ends by itself.
    const auto now = m_loop.now();
    for (const auto &each : m_directory.all()) {
        const auto &id = each->record.id;
        if (parts.contains(static_cast<std::uint32_t>(digestPartOf(id))) || each->cold(now))
            frame.servers.push_back(
                {each->record, each->remainingColdTime(now), m_state.serverRevision(id)});
    }
    return frame;
}

template <gateway_codec Codec>
publication_request publication_relay<Codec>::makeConfirmationRequest(std::uint64_t confirmation)
{
    m_confirmationDigest = ownDigest();
    return {m_configurations.ownVersion(), m_confirmationDigest, confirmation};
}

template <gateway_codec Codec>
void publication_relay<Codec>::answerConfirmation(const link_ptr &link,
                                                  const publication_request &request,
                                                  bool confirmed)
{
    auto frame = confirmed ? makeDifference(request.known) : makeHeartbeat();
    frame.confirmation = request.confirmation;
    frame.confirmed = confirmed;
    link->send(frame);
}

template <gateway_codec Codec>
follow_frame publication_relay<Codec>::makeFollow()
{
    return {true, m_store.revision(), ownDigest()};
}

template <gateway_codec Codec>
void publication_relay<Codec>::notifyFollowers()
{
    // Two changes are sent at once: that the store has stopped answering, and a change of the
    // evacuated data centres. Until all nodes know of an evacuation, some still send work to its
    // servers.
    const auto &evacuated = m_state.evacuations().dataCenters;
    const bool current = currentAt().has_value();
    bool changed = std::exchange(m_sentCurrent, current) != current;
    changed = std::exchange(m_sentEvacuated, evacuated) != evacuated || changed;
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
void publication_relay<Codec>::sendDigest()
{
    if (m_followers.empty())
        return;
    sendToFollowers(list_digest_frame{m_store.revision(), ownDigest()});
    if (auto deferred = makeDeferredRemovals(); hasContent(deferred))
        sendToFollowers(deferred);
}

template <gateway_codec Codec>
void publication_relay<Codec>::onStoreUpdate(const store_update &update)
{
    if (update.complete) {
        m_gapUntil = m_store.revision();
        sendDigest();
        return;
    }
    if (m_followers.empty())
        return;
    const auto frame = makeChanges(update);
    if (hasContent(frame) || frame.configurationVersion > m_configurations.ownVersion())
        sendToFollowers(frame);
}

// A comparison with a source may have changed any part of the list of this node.
template <gateway_codec Codec>
void publication_relay<Codec>::forwardChanges(const publication_frame &frame)
{
    if (frame.fullSync) {
        sendDigest();
        return;
    }
    auto forwarded = makeHeartbeat();
    forwarded.revision = frame.revision;
    forwarded.servers = frame.servers;
    forwarded.removed = frame.removed;
    forwarded.gapUntil = std::max(m_gapUntil, frame.gapUntil);
    sendToFollowers(forwarded);
}

// Servers whose removal is deferred are still in the directory and in the digest, so followers with
// the same digest have to be sent the pending removals.
template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeDeferredRemovals() const
{
    auto frame = makeHeartbeat();
    for (const auto &each : m_directory.all()) {
        if (m_state.defersRemoval(each->record.id))
            frame.removed.push_back({each->record.id, m_state.removalRevision(each->record.id)});
    }
    return frame;
}

// Of each server the changes that differ are sent, and none that is outdated: while the call to the
// store waited, this node may have followed a reader that has later changes. Servers rewrite their
// entries repeatedly, so an entry that this node and its followers already have is not sent. A
// server whose removal was sent is sent again when its entry returns, even if the entry is
// unchanged.
template <gateway_codec Codec>
publication_frame publication_relay<Codec>::makeChanges(const store_update &update) const
{
    auto frame = makeHeartbeat();
    std::map<backend_server_id, const published_server *> last; // null if removed
    std::map<backend_server_id, std::uint64_t> removedBetween; // with the revision
    // Streams may have begun on a version that was ready for a moment only.
    const auto replace = [&](const backend_server_id &id, const published_server *next) {
        const auto *before = std::exchange(last[id], next);
        if (before && (!next || before->record != next->record))
            frame.servers.push_back(*before);
    };
    for (const auto &item : update.items) {
        if (m_state.isOutdated(item))
            continue;
        if (const auto *server = std::get_if<published_server>(&item))
            replace(server->record.id, server);
        else if (const auto *removed = std::get_if<removed_server>(&item)) {
            replace(removed->id, nullptr);
            removedBetween[removed->id] = removed->revision;
        } else if (const auto *published = std::get_if<published_configuration>(&item))
            frame.configurationVersion =
                std::max(frame.configurationVersion, published->content.version);
    }
    const auto now = m_loop.now();
    for (const auto &[id, server] : last) {
        const auto known = m_directory.find(id);
        const bool alreadySent =
            known && !removedBetween.contains(id) && !m_state.defersRemoval(id);
        if (!server)
            frame.removed.push_back({id, removedBetween.at(id)});
        else if (!alreadySent || known->record != server->record
                 || server->coldTimeLeft > known->remainingColdTime(now) + ColdTimeTolerance)
            frame.servers.push_back(*server);
    }
    return frame;
}

template <gateway_codec Codec>
void publication_relay<Codec>::onFollow(const link_ptr &link, const follow_frame &frame)
{
    if (!frame.subscribes) {
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
    auto &cached = m_cachedDifference;
    const bool same = cached.changes == m_directory.changes() && cached.known == known
        && m_loop.now() - cached.at <= DifferenceLifetime;
    if (!same || cached.encoded.empty())
        cached = {m_directory.changes(), known, m_loop.now(), encodeFrame(makeDifference(known))};
    return cached.encoded;
}
} // namespace orchidlead::gateway
