#pragma once

#include "gateway/log_event.h"
#include "gateway/publication/publication_relay.h"
#include "gateway/publication/publication_relay_followers_impl.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

/// A heartbeat that comes from a source this much before the next one is due is handed on at once:
/// waiting at each level of the tree would add up. One of the other source, between two of the
/// first, isn't.
inline constexpr milliseconds HeartbeatSlack{100};
/// Readers that haven't been heard of for so long aren't relied on: two heartbeats and a lost
/// packet. Shorter than the silence of the store that a reader notices, so it adds nothing to the
/// bound.
inline constexpr milliseconds SourceSilence{800};
/// Of nodes that hear of no reader those next to the readers read the store at once, each further
/// level so much later: what the first ones read reaches the others before.
inline constexpr milliseconds LevelPatience{1000};
/// From its start on a node waits so long for others to read the store for it: hundreds of nodes
/// that start at once agree within a second on who does. It serves from what it read at first
/// meanwhile.
inline constexpr milliseconds SettleTime{700};
/// A node that has read all once waits so long for a reader, and up to as much again by chance,
/// before it reads on by itself: readers read thousands of servers first, and hundreds of nodes
/// that read the list again at that moment would delay them.
inline constexpr milliseconds FirstSourcePatience{2000};
/// Peers are asked for what is published only after the store was silent for so long: it answers in
/// a few milliseconds, and an answer of a peer may have hundreds of kilobytes.
inline constexpr milliseconds AskAfter{300};
/// One in so many questions goes to any peer, the others to the own data centre: bytes between data
/// centres are dear, but all nodes of one may have started together.
inline constexpr std::size_t FarAsks = 4;
/// A node that hears of changes asks a peer for a later configuration only after this: the pause
/// between two watches is about as long, and the least bound for configuration 2 s.
inline constexpr milliseconds BehindPatience{700};
/// Between two questions to peers for what is published.
inline constexpr milliseconds AskInterval{400};

template <gateway_codec Codec>
publication_relay<Codec>::publication_relay(http::io_loop &loop, peer_network &peers,
                                            server_directory &directory, published_state &state,
                                            store_follower<Codec> &store,
                                            std::function<void(const publication_news &)> onNews,
                                            wire::log &log, std::uint32_t seed)
    : m_loop(loop)
    , m_peers(peers)
    , m_directory(directory)
    , m_state(state)
    , m_store(store)
    , m_onNews(onNews)
    , m_log(log)
    , m_random(seed)
    , m_startedAt(loop.now())
    , m_listPatience(FirstSourcePatience
                     + milliseconds{draw(static_cast<std::size_t>(FirstSourcePatience.count()))})
    , m_configurations(loop, peers, state, store, onNews, log)
{ }

template <gateway_codec Codec>
void publication_relay<Codec>::tick()
{
    const auto place = placeInTree(m_peers.self(), m_peers.relayOrder());
    m_level = place.level;
    const bool settled = m_loop.now() - m_startedAt >= SettleTime;
    const bool reader = settled && place.level == 0;
    if (m_store.waitsForList() && (reader || listIsOverdue(place)))
        m_store.readList(reader ? read_freshness::Latest : read_freshness::MayBeOld);
    // A reader that the store doesn't answer follows the other one meanwhile.
    const bool mayFollow = m_store.whole() || m_store.waitsForList();
    const bool follows = mayFollow && (!reader || !m_store.current());
    follow(follows ? place.sources : std::vector<vm_id>{});
    setReading(!m_store.whole() || reader || readsAlone(place));
    m_store.setWatched(!m_followers.empty());
    tellFollowers();
    if (!informed() && m_store.silentFor() > AskAfter)
        askPeers();
    m_configurations.tick();
}

template <gateway_codec Codec>
bool publication_relay<Codec>::listIsOverdue(const relay_place &place) const
{
    return m_loop.now() >= m_startedAt + SettleTime + m_listPatience + LevelPatience * place.level;
}

template <gateway_codec Codec>
bool publication_relay<Codec>::readsAlone(const relay_place &place)
{
    const auto now = m_loop.now();
    if (!m_store.whole() || sourcesCurrentAt())
        m_withoutSourceSince.reset();
    else if (!m_withoutSourceSince)
        m_withoutSourceSince = now;
    if (!m_store.whole())
        return false;
    if (!m_readAloneFrom)
        m_readAloneFrom = now + FirstSourcePatience
            + milliseconds{draw(static_cast<std::size_t>(FirstSourcePatience.count()))};
    const auto furtherLevels = place.level > 1 ? place.level - 1 : 0;
    const auto patience = LevelPatience * furtherLevels;
    return m_withoutSourceSince && now >= *m_withoutSourceSince + patience
        && now >= *m_readAloneFrom + patience;
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
        if (from.currentAt && m_loop.now() - *from.currentAt <= SourceSilence)
            latest = std::max(latest, from.currentAt);
    }
    return latest;
}

template <gateway_codec Codec>
std::optional<steady_time> publication_relay<Codec>::currentAt() const
{
    return readsStore() ? m_loop.now() : sourcesCurrentAt();
}

template <gateway_codec Codec>
bool publication_relay<Codec>::informed() const
{
    return (m_store.reading() && m_store.connected()) || sourcesCurrentAt();
}

template <gateway_codec Codec>
void publication_relay<Codec>::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *wish = std::get_if<publication_request>(&frame)) {
        link->send(makeDifference(wish->known));
        if (wish->configurationVersion < m_configurations.ownVersion())
            m_configurations.sendTo(link);
    } else if (const auto *publication = std::get_if<publication_frame>(&frame)) {
        onPublication(link, *publication);
    } else if (const auto *follow = std::get_if<follow_frame>(&frame)) {
        onFollow(link, *follow);
    } else if (const auto *compare = std::get_if<compare_frame>(&frame)) {
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
    for (const auto &each : m_state.takeEvacuations(frame.evacuations))
        m_onNews(each);
    const auto from = std::ranges::find_if(
        m_sources, [&](const auto &entry) { return entry.second.link == link; });
    const bool asked = from == m_sources.end();
    // An answer to a question may come from a node that doesn't read the store.
    if (asked) {
        applyAnswer(frame);
        return;
    }
    // Of two readers that follow each other neither may believe what the other has from it.
    const bool counts = frame.current && (m_level > 0 || frame.age == ReadsItself);
    from->second.currentAt = counts ? std::optional(m_loop.now() - frame.age) : std::nullopt;
    if (frame.current)
        m_state.onHeard();
    const auto versionBefore =
        std::exchange(m_heardVersion, std::max(m_heardVersion, frame.configurationVersion));
    apply(frame, from->first);
    // A later configuration is told before its text is here: the tree of texts waits for it.
    const bool due = frame.current && m_loop.now() + HeartbeatSlack >= m_nextHeartbeat;
    if (due || m_heardVersion > std::max(versionBefore, m_configurations.ownVersion()))
        sendHeartbeat();
    else
        tellFollowers();
}

template <gateway_codec Codec>
std::vector<publication_news> publication_relay<Codec>::applyServers(const publication_frame &frame)
{
    std::vector<published_item> items;
    for (const auto &each : frame.servers)
        items.emplace_back(each);
    for (const auto &each : frame.removed)
        items.emplace_back(removed_server{each});
    if (!frame.compared)
        return m_state.apply(items);
    return m_state.applyParts(items, {frame.parts.begin(), frame.parts.end()});
}

// Changes of a reader, in the order in which it learnt them. What this node knows already, from the
// other reader or from the store, is passed over by its revision: an older change would undo it.
template <gateway_codec Codec>
void publication_relay<Codec>::apply(const publication_frame &frame, const vm_id &reader)
{
    m_configurations.onTold(frame.configurationVersion, reader);
    m_state.deferRemovals(frame.removalsDeferred);
    // A heartbeat tells a revision up to which nothing else happened: but a change may
    // have been lost with a link between, so only frames with content move this node's revision.
    // Changes are of use only to a node that has the list.
    const bool tells = frame.compared || (hasContent(frame) && m_state.listed());
    if (!tells || frame.revision <= m_store.revision())
        return;
    for (const auto &each : applyServers(frame))
        m_onNews(each);
    m_store.advanceTo(frame.revision);
    handOn(frame);
}

// A peer that doesn't read the store may know less than this node, but more than nothing. A list
// older than what is known here would bring back servers that have gone, and drop others for good,
// since what came between isn't told again.
template <gateway_codec Codec>
void publication_relay<Codec>::applyAnswer(const publication_frame &frame)
{
    const bool newer = frame.current && frame.revision > m_store.revision();
    const bool knowsMore = newer || (!m_state.listed() && !frame.servers.empty());
    m_state.deferRemovals(frame.removalsDeferred);
    if (!knowsMore || !frame.compared || informed())
        return;
    for (const auto &each : applyServers(frame))
        m_onNews(each);
    if (newer)
        m_store.advanceTo(frame.revision);
}

// A peer that has a later configuration is asked for it: at once where this node hears of no
// changes, since the store may turn it away; else only if the change hasn't come by the usual way
// meanwhile.
template <gateway_codec Codec>
void publication_relay<Codec>::onPeerVersion(const vm_id &peer, std::uint64_t version)
{
    if (version <= m_configurations.ownVersion()) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = m_loop.now();
    const bool waits = informed() && m_loop.now() - *m_behindSince < BehindPatience;
    if (waits || m_loop.now() < m_nextAsk)
        return;
    m_nextAsk = m_loop.now() + AskInterval;
    if (const auto link = m_peers.linkTo(peer))
        link->send(publication_request{m_configurations.ownVersion(), ownDigest()});
}

template <gateway_codec Codec>
std::size_t publication_relay<Codec>::draw(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

// While the store doesn't answer this node, it may answer others.
template <gateway_codec Codec>
void publication_relay<Codec>::askPeers()
{
    if (m_loop.now() < m_nextAsk)
        return;
    const auto peers = m_peers.view().peers();
    if (peers.empty())
        return;
    m_nextAsk = m_loop.now() + AskInterval;
    // The first ones are those of the own data centre.
    const auto near = m_peers.relayOrder().size();
    const bool far = near < 2 || draw(FarAsks) == 0;
    const auto drawn = draw(far ? peers.size() : std::min(near, peers.size()));
    if (const auto link = m_peers.linkTo(peers[drawn]))
        link->send(publication_request{m_configurations.ownVersion(), ownDigest()});
}
} // namespace orchidlead::gateway
