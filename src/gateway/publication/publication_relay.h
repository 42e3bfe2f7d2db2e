#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/publication/configuration_relay.h"
#include "gateway/publication/list_digest.h"
#include "gateway/publication/published_state.h"
#include "gateway/publication/relay_tree.h"
#include "gateway/publication/store_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace orchidlead::gateway {

/// Distributes the state published by the platform between nodes, so that few nodes read the store.
///
/// In each data centre two nodes (readers) read the store; each node derives them from the members
/// that it considers alive. The other nodes follow the readers along a tree and receive each change
/// after the readers do. The relay is an optimization, not a dependency: nodes that receive no
/// current state from a reader read the store themselves, beginning with those closest to the
/// readers in the tree. If the store does not answer them either, they request the state from any
/// peer.
template <gateway_codec Codec>
class publication_relay
{
public:
    publication_relay(http::io_loop &loop, peer_network &peers, server_directory &directory,
                      published_state &state, store_reader<Codec> &store,
                      std::function<void(const publication_event &)> onEvent, wire::log &log,
                      std::uint32_t seed);

    /// Re-evaluates whether this node reads the store and which nodes it follows; call about every
    /// 100 ms.
    void tick();
    /// Handles a frame about the published state; ignores other frames.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);
    /// Sends an update that this node read from the store to its followers.
    void onStoreUpdate(const store_update &update);
    /// Records that a configuration is now in force on this node.
    void onConfiguration(std::uint64_t version) { m_configurations.onConfiguration(version); }
    /// Handles the version of the configuration that is in force on a peer.
    void onPeerVersion(const vm_id &peer, std::uint64_t version);

    /// Returns the request with which a peer is asked what has been published until now.
    [[nodiscard]] publication_request makeConfirmationRequest(std::uint64_t confirmation);
    /// Answers such a request of a peer, once the list is confirmed or can't be.
    void answerConfirmation(const std::shared_ptr<peer_link> &link,
                            const publication_request &request, bool confirmed);

    /// Returns whether this node currently receives changes, from the store or from a reader.
    [[nodiscard]] bool receivesChanges() const;

private:
    using link_ptr = std::shared_ptr<peer_link>;

    /// A node that this node follows.
    struct source
    {
        link_ptr link;
        std::optional<steady_time> currentAt; ///< when an upstream reader last read the store
        steady_time deferredUntil{}; ///< end of its deferral of removals, as of its last frame
        bool awaitsDifference = false; ///< changes are ignored until it has arrived
    };

    /// Returns whether the list of servers has not arrived from other nodes in time, so that this
    /// node reads the list from the store.
    [[nodiscard]] bool listIsOverdue(const relay_position &position) const;
    /// Returns whether this node reads the store itself because no source has been current for long
    /// enough.
    [[nodiscard]] bool shouldReadDirectly(const relay_position &position);
    void follow(const std::vector<vm_id> &sources);
    void notifyFollowers();
    void sendHeartbeat();
    void sendToFollowers(const peer_frame &frame);
    /// Sends the digest of the list of servers: followers may have a list that differs from the
    /// list of this node.
    void sendDigest();
    void forwardChanges(const publication_frame &frame);
    void requestFromPeer();
    void onPublication(const link_ptr &link, const publication_frame &frame);
    void onFollow(const link_ptr &link, const follow_frame &frame);
    void apply(const publication_frame &frame, const vm_id &reader);
    void applyAnswer(const publication_frame &frame);
    /// Applies a frame whose revision is later than that of this node, and sends it to followers.
    void applyNewer(const publication_frame &frame);
    std::vector<publication_event> applyServers(const publication_frame &frame);
    [[nodiscard]] bool readsStore() const { return m_state.hasServerList() && m_store.isCurrent(); }
    /// Returns when a reader that this node follows last read the store; empty if that is longer
    /// ago than `SourceTimeout`.
    [[nodiscard]] std::optional<steady_time> sourcesCurrentAt() const;
    /// Returns for how much longer removals are deferred by each source with the current state,
    /// asked peers included; empty if there is no such source.
    [[nodiscard]] std::optional<milliseconds> sourceDeferral() const;
    /// Like `sourcesCurrentAt`, with this node included if it reads the store.
    [[nodiscard]] std::optional<steady_time> currentAt() const;
    /// Returns the parts of the server list that differ from the list with the digest `known`.
    [[nodiscard]] publication_frame makeDifference(const list_digest &known);
    /// Returns the encoded result of `makeDifference`. It is cached, since followers that start at
    /// the same time have the same list.
    [[nodiscard]] const std::string &encodedDifference(const list_digest &known);
    [[nodiscard]] const list_digest &ownDigest();
    /// Returns a heartbeat with the removals that are deferred.
    [[nodiscard]] publication_frame makeDeferredRemovals() const;
    [[nodiscard]] publication_frame makeChanges(const store_update &update) const;
    [[nodiscard]] publication_frame makeHeartbeat() const;
    [[nodiscard]] follow_frame makeFollow();
    void setReading(bool reads);
    [[nodiscard]] std::size_t randomBelow(std::size_t bound);

    http::io_loop &m_loop;
    peer_network &m_peers;
    server_directory &m_directory;
    published_state &m_state;
    store_reader<Codec> &m_store;
    std::function<void(const publication_event &)> m_onEvent;
    wire::log &m_log;
    std::minstd_rand m_random;
    std::map<vm_id, source> m_sources;
    std::uint64_t m_gapUntil = 0; ///< as `publication_frame::gapUntil`
    list_digest m_confirmationDigest{}; ///< of this node when it last asked for a confirmation
    std::set<link_ptr> m_followers;
    steady_time m_startedAt;
    milliseconds m_listTimeout; ///< after settling; then this node reads a long list itself
    std::size_t m_treeLevel = 0; ///< as of the last tick
    /// Earliest time at which this node reads the store itself because no source is current.
    std::optional<steady_time> m_directReadNotBefore;
    std::optional<steady_time> m_withoutSourceSince; ///< empty if a source is current
    configuration_relay<Codec> m_configurations;
    list_digest m_digest{}; ///< of the servers in the directory
    std::uint64_t m_digestChangeCount = 0; ///< of the directory when `m_digest` was computed
    std::uint64_t m_announcedVersion = 0; ///< latest configuration version announced by sources
    /// An encoded difference and the inputs from which it was computed.
    struct cached_difference
    {
        std::uint64_t changes = 0; ///< change count of the directory
        list_digest known{};
        steady_time at;
        std::string encoded; ///< empty if nothing is cached
    };
    cached_difference m_cachedDifference;
    steady_time m_nextHeartbeat{};
    bool m_sentCurrent = false; ///< whether the last heartbeat reported a current reader
    std::set<data_center_id> m_sentEvacuated; ///< evacuated data centres in the last heartbeat
    std::optional<steady_time> m_behindSince; ///< since when a peer has had a later configuration
    steady_time m_nextPeerRequest{}; ///< earliest time of the next request to a peer
    source m_askedPeer; ///< the last peer that answered a request with the current state
    bool m_asksAnyDataCenter = false; ///< the last peer asked did not have the current state
};

} // namespace orchidlead::gateway

#include "gateway/publication/publication_relay_impl.h"
