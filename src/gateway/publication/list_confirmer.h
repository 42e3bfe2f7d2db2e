#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/publication/publication_relay.h"
#include "gateway/publication/store_reader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Makes sure that the list of servers includes everything that was published before a moment.
///
/// A list that was read a moment ago doesn't show what has been published since. Decisions that
/// need to know send a question and wait for its answer: to the store, and, if that doesn't answer
/// this node, to other nodes, which ask the store in their turn. Questions that come while one is
/// open share the next one.
template <gateway_codec Codec>
class list_confirmer
{
public:
    using handler = std::function<void(bool)>;

    list_confirmer(http::io_loop &loop, peer_network &peers, store_reader<Codec> &store,
                   publication_relay<Codec> &relay, std::uint32_t seed);

    /// Calls `done` once, possibly before this function returns, with whether the list now includes
    /// everything that was published before this call. False if neither the store nor a node that
    /// reaches it answers within `ConfirmTimeout`.
    void confirm(handler done) { add({std::move(done), true}); }
    /// Handles frames about confirmations, after `publication_relay`; other frames are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct waiting_call
    {
        handler done;
        bool asksPeers = false; ///< else only the store is asked, on behalf of a peer
    };

    void add(waiting_call call);
    /// Begins a round for all calls that wait.
    void begin();
    void askStore();
    void onStoreAnswer(const store_answer &answer);
    void onStoreFailed();
    /// Ends the calls on behalf of peers: the store hasn't answered in time.
    void failCallsOfPeers();
    void askPeers();
    void onPeerAnswer(const link_ptr &link, const publication_frame &answer);
    void endIfUnanswerable();
    /// Ends the round.
    void end(bool confirmed);
    /// Calls `step` after `time`, unless the round ends before.
    void after(milliseconds time, std::function<void()> step);
    [[nodiscard]] std::vector<vm_id> peersToAsk();

    http::io_loop &m_loop;
    peer_network &m_peers;
    store_reader<Codec> &m_store;
    publication_relay<Codec> &m_relay;
    std::minstd_rand m_random;
    std::vector<waiting_call> m_served; ///< by the open round
    std::vector<waiting_call> m_waiting; ///< for the next round
    std::uint64_t m_round = 0; ///< incremented when a round begins or ends
    bool m_open = false;
    std::size_t m_storeFailures = 0; ///< in the open round
    bool m_askedPeers = false;
    std::vector<link_ptr> m_unanswered; ///< links to the peers that were asked
};

} // namespace orchidlead::gateway

#include "gateway/publication/list_confirmer_impl.h"
