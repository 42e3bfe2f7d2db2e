#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/publication/configuration_relay.h"
#include "gateway/publication/list_digest.h"
#include "gateway/publication/published_state.h"
#include "gateway/publication/relay_tree.h"
#include "gateway/publication/store_follower.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace orchidlead::gateway {

/// Hands what the platform publishes from node to node, so that few nodes read the store.
///
/// In each data centre two nodes read; who, follows from the members that each node believes alive.
/// The others follow them along a tree and hear of each change as the readers do. Nobody depends on
/// it: nodes that hear of no reader that reads the store right now read by themselves, those near
/// the readers' places first, and where the store doesn't answer them, they ask any peer.
template <gateway_codec Codec>
class publication_relay
{
public:
    publication_relay(http::io_loop &loop, peer_network &peers, server_directory &directory,
                      published_state &state, store_follower<Codec> &store,
                      std::function<void(const publication_news &)> onNews, wire::log &log,
                      std::uint32_t seed);

    /// Decides anew who reads and who follows; call every 100 ms or so.
    void tick();
    /// A frame about what is published; others are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// This node learnt something from the store.
    void onStoreNews(const store_news &news);
    /// This node has that configuration in force now.
    void onConfiguration(std::uint64_t version) { m_configurations.onConfiguration(version); }
    /// A peer has a configuration of that version in force.
    void onPeerVersion(const vm_id &peer, std::uint64_t version);

    /// Whether this node hears of changes right now, from the store or from a reader.
    [[nodiscard]] bool informed() const;

private:
    using link_ptr = std::shared_ptr<peer_link>;

    /// A node that this node follows.
    struct source
    {
        link_ptr link;
        std::optional<steady_time> currentAt; ///< when a reader behind it read the store
    };

    /// Whether others haven't told the list of servers for long enough that this node reads it.
    [[nodiscard]] bool listIsOverdue(const relay_place &place) const;
    /// Whether this node reads for itself, as nobody has read for it for long enough.
    [[nodiscard]] bool readsAlone(const relay_place &place);
    void follow(const std::vector<vm_id> &sources);
    void tellFollowers();
    void sendHeartbeat();
    void sendToFollowers(const peer_frame &frame);
    /// Followers may know another list than this node has now.
    void sendComparison();
    void handOn(const publication_frame &frame);
    void askPeers();
    void onPublication(const link_ptr &link, const publication_frame &frame);
    void onFollow(const link_ptr &link, const follow_frame &frame);
    void apply(const publication_frame &frame, const vm_id &reader);
    void applyAnswer(const publication_frame &frame);
    std::vector<publication_news> applyServers(const publication_frame &frame);
    [[nodiscard]] bool readsStore() const { return m_state.listed() && m_store.current(); }
    /// When a reader that this node follows last read the store; empty: too long ago to count.
    [[nodiscard]] std::optional<steady_time> sourcesCurrentAt() const;
    /// The same of any reader, this node included.
    [[nodiscard]] std::optional<steady_time> currentAt() const;
    /// What differs from what a peer knows.
    [[nodiscard]] publication_frame makeDifference(const list_digest &known);
    /// The same, encoded; followers that start together know the same.
    [[nodiscard]] const std::string &encodedDifference(const list_digest &known);
    [[nodiscard]] const list_digest &ownDigest();
    /// Removals that aren't believed yet.
    [[nodiscard]] publication_frame makeDeferred() const;
    [[nodiscard]] publication_frame makeChanges(const store_news &news) const;
    [[nodiscard]] publication_frame makeHeartbeat() const;
    [[nodiscard]] follow_frame makeFollow();
    void setReading(bool reads);
    [[nodiscard]] std::size_t draw(std::size_t bound);

    http::io_loop &m_loop;
    peer_network &m_peers;
    server_directory &m_directory;
    published_state &m_state;
    store_follower<Codec> &m_store;
    std::function<void(const publication_news &)> m_onNews;
    wire::log &m_log;
    std::minstd_rand m_random;
    std::map<vm_id, source> m_sources;
    std::set<link_ptr> m_followers;
    steady_time m_startedAt;
    milliseconds m_listPatience; ///< from then on, until it reads a long list by itself
    std::size_t m_level = 0; ///< in the tree, as of the last tick
    std::optional<steady_time> m_readAloneFrom; ///< from when on it does without readers
    std::optional<steady_time> m_withoutSourceSince; ///< empty: readers are heard of
    configuration_relay<Codec> m_configurations;
    list_digest m_digest{}; ///< of the servers that this node knows …
    std::uint64_t m_digestOf = 0; ///< … after so many changes of the directory
    std::uint64_t m_heardVersion = 0; ///< the latest configuration that sources told of
    /// A difference that was sent, and what it depended on.
    struct sent_difference
    {
        std::uint64_t changes = 0; ///< of the directory
        list_digest known{};
        steady_time at;
        std::string encoded; ///< empty: none
    };
    sent_difference m_sentDifference;
    steady_time m_nextHeartbeat{};
    bool m_toldCurrent = false; ///< whether followers heard last that a reader reads the store
    std::set<data_center_id> m_toldEvacuated; ///< to followers
    std::optional<steady_time> m_behindSince; ///< a peer told of a later configuration
    steady_time m_nextAsk{}; ///< when peers may be asked for what is published
};

} // namespace orchidlead::gateway

#include "gateway/publication/publication_relay_impl.h"
