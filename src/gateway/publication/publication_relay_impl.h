#pragma once

#include "gateway/log_event.h"
#include "gateway/publication/publication_relay.h"
#include "gateway/publication/publication_relay_followers_impl.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

/// A heartbeat from a source that arrives at most this long before the next one is due is forwarded
/// at once: waiting at each level of the tree would accumulate delay. A heartbeat of the second
/// source, between two heartbeats of the first, is not forwarded.
inline constexpr milliseconds HeartbeatEarlyTolerance{100};
/// A source whose last reading of the store is older than this is not current: two heartbeats and a
/// lost packet. Shorter than the time in which a reader notices a silent store, so the timeout does
/// not extend the bound for propagation.
inline constexpr milliseconds SourceTimeout{800};
/// If no source is current, the nodes next to the readers read the store at once, and each further
/// level of the tree waits this much longer: what the first nodes read reaches the others before
/// that.
inline constexpr milliseconds DelayPerLevel{1000};
/// After its start a node waits this long for others to read the store: hundreds of nodes that
/// start at the same time agree on the readers within a second. Meanwhile the node serves from its
/// first reading.
inline constexpr milliseconds MembershipSettleTime{700};
/// A node that has read the complete state once waits this long for a reader, plus a random time up
/// to the same length, before it continues to read the store. Readers first read thousands of
/// servers, and hundreds of nodes that read the list again at that moment would delay the readers.
inline constexpr milliseconds ReaderWaitTime{2000};
/// Peers are asked for the published state only after the store has been silent for this long: the
/// store answers in a few milliseconds, and an answer of a peer may have hundreds of kilobytes.
inline constexpr milliseconds PeerRequestDelay{300};
/// One in this many requests goes to a random peer of any data centre, the others to the own data
/// centre: traffic between data centres is expensive, but all nodes of the own data centre may have
/// started at the same time.
inline constexpr std::size_t RemoteRequestRatio = 4;
/// A node that receives changes requests a later configuration from a peer only after this delay:
/// the pause between two watches is about as long, and the minimum bound for a configuration to be
/// in force is 2 s.
inline constexpr milliseconds LaterVersionDelay{700};
/// Interval between two requests to peers for the published state.
inline constexpr milliseconds PeerRequestInterval{400};
/// An answer with the current state counts as current for this long: two requests and a lost one.
inline constexpr milliseconds PeerAnswerLifetime{1200};

template <gateway_codec Codec>
publication_relay<Codec>::publication_relay(http::io_loop &loop, peer_network &peers,
                                            server_directory &directory, published_state &state,
                                            store_reader<Codec> &store,
                                            std::function<void(const publication_event &)> onEvent,
                                            wire::log &log, std::uint32_t seed)
    : m_loop(loop)
    , m_peers(peers)
    , m_directory(directory)
    , m_state(state)
    , m_store(store)
    , m_onEvent(onEvent)
    , m_log(log)
    , m_random(seed)
    , m_startedAt(loop.now())
    , m_listTimeout(ReaderWaitTime
                    + milliseconds{randomBelow(static_cast<std::size_t>(ReaderWaitTime.count()))})
    , m_configurations(loop, peers, state, store, onEvent, log)
{
    m_state.setSourceDeferral([this] { return sourceDeferral(); });
}

template <gateway_codec Codec>
void publication_relay<Codec>::tick()
{
    const auto position = positionInTree(m_peers.self(), m_peers.relayOrder());
    m_treeLevel = position.level;
    const bool settled = m_loop.now() - m_startedAt >= MembershipSettleTime;
    const bool reader = settled && position.level == 0;
    if (m_store.listPending() && (reader || listIsOverdue(position)))
        m_store.readList(reader ? read_consistency::Latest : read_consistency::MayBeStale);
    // A reader whose store does not answer follows the other reader meanwhile.
    const bool mayFollow = m_store.complete() || m_store.listPending();
    const bool follows = mayFollow && (!reader || !m_store.isCurrent());
    follow(follows ? position.sources : std::vector<vm_id>{});
    setReading(!m_store.complete() || reader || shouldReadDirectly(position));
    m_store.setHasFollowers(!m_followers.empty());
    notifyFollowers();
    if (!receivesChanges() && m_store.silentFor() > PeerRequestDelay)
        requestFromPeer();
    m_configurations.tick();
}

template <gateway_codec Codec>
bool publication_relay<Codec>::listIsOverdue(const relay_position &position) const
{
    return m_loop.now()
        >= m_startedAt + MembershipSettleTime + m_listTimeout + DelayPerLevel * position.level;
}

template <gateway_codec Codec>
bool publication_relay<Codec>::shouldReadDirectly(const relay_position &position)
{
    const auto now = m_loop.now();
    if (!m_store.complete() || sourcesCurrentAt())
        m_withoutSourceSince.reset();
    else if (!m_withoutSourceSince)
        m_withoutSourceSince = now;
    if (!m_store.complete())
        return false;
    if (!m_directReadNotBefore)
        m_directReadNotBefore = now + ReaderWaitTime
            + milliseconds{randomBelow(static_cast<std::size_t>(ReaderWaitTime.count()))};
    const auto furtherLevels = position.level > 1 ? position.level - 1 : 0;
    const auto delay = DelayPerLevel * furtherLevels;
    return m_withoutSourceSince && now >= *m_withoutSourceSince + delay
        && now >= *m_directReadNotBefore + delay;
}

template <gateway_codec Codec>
void publication_relay<Codec>::setReading(bool reads)
{
    if (reads != m_store.reading()) {
        const auto event = reads ? log_event::StoreReadBegun : log_event::StoreReadEnded;
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(event))
                        .add("revision", m_store.revision())
                        .add("readers_followed", m_sources.size()));
    }
    m_store.setReading(reads);
}

template <gateway_codec Codec>
void publication_relay<Codec>::follow(const std::vector<vm_id> &sources)
{
    std::erase_if(m_sources, [&](const auto &entry) {
        const auto &[vm, from] = entry;
        if (std::ranges::find(sources, vm) != sources.end())
            return false;
        from.link->send(follow_frame{});
        return true;
    });
    for (const auto &vm : sources) {
        if (m_sources.contains(vm))
            continue;
        if (const auto link = m_peers.linkTo(vm)) {
            m_sources[vm] = {link, {}};
            link->send(makeFollow());
        }
    }
}

template <gateway_codec Codec>
std::optional<steady_time> publication_relay<Codec>::sourcesCurrentAt() const
{
    std::optional<steady_time> latest;
    for (const auto &[vm, from] : m_sources) {
        if (from.currentAt && m_loop.now() - *from.currentAt <= SourceTimeout)
            latest = std::max(latest, from.currentAt);
    }
    return latest;
}

// A source that was cut off from the store by itself defers removals that the others have seen
// happen, so the shortest deferral applies.
template <gateway_codec Codec>
std::optional<milliseconds> publication_relay<Codec>::sourceDeferral() const
{
    std::optional<milliseconds> shortest;
    const auto consider = [&](const source &from, milliseconds lifetime) {
        if (!from.currentAt || m_loop.now() - *from.currentAt > lifetime)
            return;
        const auto left =
            std::max(steady_time::duration::zero(), from.deferredUntil - m_loop.now());
        const auto rounded = std::chrono::ceil<milliseconds>(left);
        shortest = std::min(shortest.value_or(rounded), rounded);
    };
    for (const auto &[vm, from] : m_sources)
        consider(from, SourceTimeout);
    consider(m_askedPeer, PeerAnswerLifetime);
    return shortest;
}

template <gateway_codec Codec>
std::optional<steady_time> publication_relay<Codec>::currentAt() const
{
    return readsStore() ? m_loop.now() : sourcesCurrentAt();
}

template <gateway_codec Codec>
bool publication_relay<Codec>::receivesChanges() const
{
    return (m_store.reading() && m_store.connected()) || sourcesCurrentAt();
}

template <gateway_codec Codec>
void publication_relay<Codec>::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *request = std::get_if<publication_request>(&frame)) {
        if (request->confirmation != 0) // answered by `answerConfirmation`
            return;
        link->send(makeDifference(request->known));
        if (request->configurationVersion < m_configurations.ownVersion())
            m_configurations.sendTo(link);
    } else if (const auto *publication = std::get_if<publication_frame>(&frame)) {
        onPublication(link, *publication);
    } else if (const auto *follow = std::get_if<follow_frame>(&frame)) {
        onFollow(link, *follow);
    } else if (const auto *compare = std::get_if<list_digest_frame>(&frame)) {
        if (compare->revision > m_store.revision() && compare->known != ownDigest())
            link->send(makeFollow());
    } else {
        m_configurations.onFrame(link, frame);
    }
}

template <gateway_codec Codec>
void publication_relay<Codec>::onLinkClosed(const link_ptr &link)
{
    m_followers.erase(link);
    std::erase_if(m_sources, [&](const auto &entry) { return entry.second.link == link; });
    m_configurations.onLinkClosed(link);
}

template <gateway_codec Codec>
void publication_relay<Codec>::onPublication(const link_ptr &link, const publication_frame &frame)
{
    for (const auto &each : m_state.mergeEvacuations(frame.evacuations))
        m_onEvent(each);
    // A difference to another list than the present one isn't complete.
    if (frame.confirmation != 0 && ownDigest() != m_confirmationDigest)
        return;
    const auto from = std::ranges::find_if(
        m_sources, [&](const auto &entry) { return entry.second.link == link; });
    const bool asked = from == m_sources.end();
    // The answer to a request may come from a node that does not read the store.
    if (asked) {
        applyAnswer(frame);
        return;
    }
    // Two readers that follow each other must not confirm each other with state relayed between
    // them.
    const bool accepted = frame.current && (m_treeLevel > 0 || frame.age == DirectReaderAge);
    from->second.currentAt = accepted ? std::optional(m_loop.now() - frame.age) : std::nullopt;
    from->second.deferredUntil = m_loop.now() + frame.removalsDeferred;
    m_state.onReaderContact(frame.contactAge);
    const auto versionBefore =
        std::exchange(m_announcedVersion, std::max(m_announcedVersion, frame.configurationVersion));
    apply(frame, from->first);
    // A later version is announced before its text arrives here, since the nodes of the
    // distribution tree wait for the text.
    const bool due = frame.current && m_loop.now() + HeartbeatEarlyTolerance >= m_nextHeartbeat;
    if (due || m_announcedVersion > std::max(versionBefore, m_configurations.ownVersion()))
        sendHeartbeat();
    else
        notifyFollowers();
}

template <gateway_codec Codec>
std::vector<publication_event>
publication_relay<Codec>::applyServers(const publication_frame &frame)
{
    std::vector<published_item> items;
    for (const auto &each : frame.servers)
        items.emplace_back(each);
    for (const auto &each : frame.removed)
        items.emplace_back(each);
    if (!frame.fullSync)
        return m_state.apply(items);
    return m_state.applyParts(items, {frame.listedParts.begin(), frame.listedParts.end()},
                              frame.revision);
}

// Changes arrive in the order in which the reader received them. A change that this node already
// has, from the other reader or from the store, is skipped by its revision: an older change would
// overwrite a newer one.
template <gateway_codec Codec>
void publication_relay<Codec>::apply(const publication_frame &frame, const vm_id &reader)
{
    m_configurations.onVersionAnnounced(frame.configurationVersion, reader);
    // A node that reads the store judges by its own calls.
    const auto ofSources = sourceDeferral().value_or(frame.removalsDeferred);
    if (!m_store.isCurrent())
        m_state.deferRemovals(std::min(frame.removalsDeferred, ofSources));
    // A heartbeat contains a revision up to which nothing else happened. But a change may have been
    // lost with a closed link, so only frames with content advance the revision of this node.
    // Changes are useful only to a node that has the list.
    const bool carriesChanges = frame.fullSync || (hasContent(frame) && m_state.hasServerList());
    auto &from = m_sources.at(reader);
    if (frame.fullSync)
        from.awaitsDifference = false;
    if (!carriesChanges || frame.revision <= m_store.revision())
        return;
    if (!frame.fullSync && m_store.revision() < frame.gapUntil) {
        if (!std::exchange(from.awaitsDifference, true))
            from.link->send(makeFollow());
        return;
    }
    applyNewer(frame);
}

// The differences between two lists don't show which servers came and left in between.
template <gateway_codec Codec>
void publication_relay<Codec>::applyNewer(const publication_frame &frame)
{
    if (frame.fullSync && m_state.hasServerList())
        m_state.onChangesMissed();
    for (const auto &each : applyServers(frame))
        m_onEvent(each);
    m_store.advanceTo(frame.revision);
    if (frame.fullSync)
        m_gapUntil = m_store.revision();
    forwardChanges(frame);
}

// A peer that does not read the store may have older state than this node; any state is better than
// none. A node that receives changes has asked since it may not have all of them yet. The peers
// that were cut off together with this node have missed the same removals, and the first one that
// was not has applied those of servers that are about to return. A list older than the state here
// would restore removed servers, and drop others permanently, since the changes in between are not
// sent again.
template <gateway_codec Codec>
void publication_relay<Codec>::applyAnswer(const publication_frame &frame)
{
    const bool newer = frame.current && frame.revision > m_store.revision();
    const bool hasMore = newer || (!m_state.hasServerList() && !frame.servers.empty());
    m_asksAnyDataCenter = !frame.current;
    const bool receives = receivesChanges();
    if (receives && !newer)
        return;
    if (frame.current && !receives) {
        m_state.deferRemovals(frame.removalsDeferred);
        m_state.onReaderContact(frame.contactAge);
        m_askedPeer.currentAt = m_loop.now() - frame.age;
        m_askedPeer.deferredUntil = m_loop.now() + m_state.removalsDeferred();
    }
    if (!hasMore || !frame.fullSync)
        return;
    if (newer) {
        applyNewer(frame);
        return;
    }
    for (const auto &each : applyServers(frame))
        m_onEvent(each);
}

// A later configuration of a peer is requested at once if this node receives no changes, since the
// store may refuse this node. Otherwise the request is sent only if the change has not arrived
// through the relay meanwhile.
template <gateway_codec Codec>
void publication_relay<Codec>::onPeerVersion(const vm_id &peer, std::uint64_t version)
{
    if (version <= m_configurations.ownVersion()) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = m_loop.now();
    const bool waits = receivesChanges() && m_loop.now() - *m_behindSince < LaterVersionDelay;
    if (waits || m_loop.now() < m_nextPeerRequest)
        return;
    m_nextPeerRequest = m_loop.now() + PeerRequestInterval;
    if (const auto link = m_peers.linkTo(peer))
        link->send(publication_request{m_configurations.ownVersion(), ownDigest(), 0});
}

template <gateway_codec Codec>
std::size_t publication_relay<Codec>::randomBelow(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

// A store that does not answer this node may still answer others.
template <gateway_codec Codec>
void publication_relay<Codec>::requestFromPeer()
{
    if (m_loop.now() < m_nextPeerRequest)
        return;
    const auto peers = m_peers.view().peers();
    if (peers.empty())
        return;
    m_nextPeerRequest = m_loop.now() + PeerRequestInterval;
    // The peers of the own data centre come first.
    const auto localNodes = m_peers.relayOrder().size();
    const bool anyDataCenter =
        localNodes < 2 || m_asksAnyDataCenter || randomBelow(RemoteRequestRatio) == 0;
    const auto randomIndex =
        randomBelow(anyDataCenter ? peers.size() : std::min(localNodes, peers.size()));
    if (const auto link = m_peers.linkTo(peers[randomIndex]))
        link->send(publication_request{m_configurations.ownVersion(), ownDigest(), 0});
}
} // namespace orchidlead::gateway
