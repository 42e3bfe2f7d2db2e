#pragma once

#include "gateway/publication/list_confirmer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace orchidlead::gateway {

/// Longest time of a round; a client waits meanwhile.
inline constexpr milliseconds ConfirmTimeout{600};
/// Longest time of a round at a node that has no latest list yet: it reads the list, or receives it
/// from other nodes, about a second after its start.
inline constexpr milliseconds FirstListTimeout{2000};
/// Longest time for the store's answer on behalf of a peer, whose own round has begun before.
inline constexpr milliseconds ConfirmForPeerTimeout{350};
/// The store answers in 4 ms. After this time it is asked again, on another connection: a kept one
/// may have gone silent. Peers are then asked, too.
inline constexpr milliseconds SecondQuestionDelay{100};
/// Time until a question is repeated that failed or that the store refused.
inline constexpr milliseconds QuestionRetryDelay{50};
/// After this many failures, and if no peer can help, the store counts as out of reach: a kept
/// connection may have been closed, so that one failure shows nothing.
inline constexpr std::size_t MinStoreFailures = 3;
/// Pause between two rounds: the calls of this time share a question.
inline constexpr milliseconds ConfirmPause{10};
/// Nodes asked at most, of this data centre and of others.
inline constexpr std::size_t MaxAskedLocally = 2;
inline constexpr std::size_t MaxAskedRemotely = 2;

template <gateway_codec Codec>
list_confirmer<Codec>::list_confirmer(http::io_loop &loop, peer_network &peers,
                                      store_reader<Codec> &store, publication_relay<Codec> &relay,
                                      std::uint32_t seed)
    : m_loop(loop)
    , m_peers(peers)
    , m_store(store)
    , m_relay(relay)
    , m_random(seed)
{ }

template <gateway_codec Codec>
void list_confirmer<Codec>::after(milliseconds time, std::function<void()> step)
{
    m_loop.callAfter(time, [this, round = m_round, step = std::move(step)] {
        if (round == m_round)
            step();
    });
}

template <gateway_codec Codec>
void list_confirmer<Codec>::add(waiting_call call)
{
    m_waiting.push_back(std::move(call));
    if (!m_open)
        begin();
}

template <gateway_codec Codec>
void list_confirmer<Codec>::begin()
{
    ++m_round;
    m_open = true;
    m_served = std::exchange(m_waiting, {});
    m_storeFailures = 0;
    m_askedPeers = false;
    m_unanswered.clear();
    after(m_store.changesTarget() ? ConfirmTimeout : FirstListTimeout, [this] { end(false); });
    after(ConfirmForPeerTimeout, [this] { failCallsOfPeers(); });
    after(SecondQuestionDelay, [this] {
        askStore();
        askPeers();
    });
    askStore();
}

template <gateway_codec Codec>
void list_confirmer<Codec>::askStore()
{
    const auto target = m_store.changesTarget();
    if (!target) { // the node has just started
        after(QuestionRetryDelay, [this] { askStore(); });
        return;
    }
    m_store.get(*target, ConfirmTimeout, [this, round = m_round](const store_answer &answer) {
        if (round == m_round)
            onStoreAnswer(answer);
    });
}

// An answer to a question of an earlier round is dropped, as the next round has asked again. The
// changes in it arrive with the answer to that one.
template <gateway_codec Codec>
void list_confirmer<Codec>::onStoreAnswer(const store_answer &answer)
{
    switch (m_store.onChangesRead(answer)) {
    case changes_read::All:
        end(true);
        return;
    case changes_read::More:
        askStore();
        return;
    case changes_read::Refused:
        after(QuestionRetryDelay, [this] { askStore(); });
        return;
    case changes_read::Failed:
        ++m_storeFailures;
        onStoreFailed();
        return;
    }
}

template <gateway_codec Codec>
void list_confirmer<Codec>::onStoreFailed()
{
    const bool isOutOfReach = m_storeFailures >= MinStoreFailures;
    const auto round = m_round;
    if (isOutOfReach)
        failCallsOfPeers();
    else
        after(QuestionRetryDelay, [this] { askStore(); });
    if (round != m_round)
        return;
    askPeers();
    endIfUnanswerable();
}

template <gateway_codec Codec>
void list_confirmer<Codec>::failCallsOfPeers()
{
    std::erase_if(m_served, [](const waiting_call &each) {
        if (!each.asksPeers)
            each.done(false);
        return !each.asksPeers;
    });
    if (m_served.empty())
        end(false);
}

template <gateway_codec Codec>
std::vector<vm_id> list_confirmer<Codec>::peersToAsk()
{
    std::vector<vm_id> asked;
    const auto &local = m_peers.relayOrder();
    for (const auto &each : local) {
        if (each != m_peers.self() && asked.size() < MaxAskedLocally)
            asked.push_back(each);
    }
    std::vector<vm_id> others;
    for (auto &each : m_peers.view().peers()) {
        if (std::ranges::find(local, each) == local.end())
            others.push_back(std::move(each));
    }
    std::ranges::sample(others, std::back_inserter(asked), MaxAskedRemotely, m_random);
    return asked;
}

template <gateway_codec Codec>
void list_confirmer<Codec>::askPeers()
{
    const bool wanted =
        std::ranges::any_of(m_served, [](const waiting_call &each) { return each.asksPeers; });
    if (!wanted || std::exchange(m_askedPeers, true))
        return;
    for (const auto &vm : peersToAsk()) {
        if (const auto link = m_peers.linkTo(vm)) {
            link->send(m_relay.makeConfirmationRequest(m_round));
            m_unanswered.push_back(link);
        }
    }
}

template <gateway_codec Codec>
void list_confirmer<Codec>::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *request = std::get_if<publication_request>(&frame)) {
        if (request->confirmation != 0)
            add({[this, link, asked = *request](bool confirmed) {
                     m_relay.answerConfirmation(link, asked, confirmed);
                 },
                 false});
    } else if (const auto *answer = std::get_if<publication_frame>(&frame)) {
        if (answer->confirmation != 0)
            onPeerAnswer(link, *answer);
    }
}

// The relay has applied the answer before.
template <gateway_codec Codec>
void list_confirmer<Codec>::onPeerAnswer(const link_ptr &link, const publication_frame &answer)
{
    if (!m_open || answer.confirmation != m_round || std::erase(m_unanswered, link) == 0)
        return;
    if (answer.confirmed && m_store.revision() >= answer.revision)
        end(true);
    else
        endIfUnanswerable();
}

template <gateway_codec Codec>
void list_confirmer<Codec>::onLinkClosed(const link_ptr &link)
{
    if (m_open && std::erase(m_unanswered, link) > 0)
        endIfUnanswerable();
}

template <gateway_codec Codec>
void list_confirmer<Codec>::endIfUnanswerable()
{
    if (m_storeFailures >= MinStoreFailures && m_unanswered.empty())
        end(false);
}

// A handler may call `confirm`; that call waits for the next round.
template <gateway_codec Codec>
void list_confirmer<Codec>::end(bool confirmed)
{
    ++m_round;
    m_unanswered.clear();
    for (const auto &each : std::exchange(m_served, {}))
        each.done(confirmed);
    after(ConfirmPause, [this] {
        m_open = false;
        if (!m_waiting.empty())
            begin();
    });
}

} // namespace orchidlead::gateway
