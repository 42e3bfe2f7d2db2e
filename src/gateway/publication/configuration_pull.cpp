#include "gateway/publication/configuration_pull.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// To how many nodes each hands a configuration on: with four, 50 nodes are three steps from the
// roots. One of 300 KB has 40 KB compressed, and four of these keep a link of 10 Mbit/s busy for
// 130 ms.
constexpr std::size_t Children = 4;
// Nodes that read the store: the first ones in the order.
constexpr std::size_t Roots = 2;
// How long a peer may take to answer: three steps of 130 ms each. Asking two peers in vain and then
// the store takes 0.9 s; the least bound until a configuration is in force is 2 s.
constexpr milliseconds PeerPatience{400};
// The store answers in 4 ms; where it is slow, 60 times as late.
constexpr milliseconds StorePatience{300};
// Doubled by each further try up to this: where the store refuses this node, asking more often
// costs calls and brings nothing.
constexpr milliseconds MaxPatience{1200};
// Tries that ask peers, before the store is asked.
constexpr std::size_t PeerTries = 2;

} // namespace

vm_id parentOf(const vm_id &self, std::span<const vm_id> order)
{
    const auto place = static_cast<std::size_t>(std::ranges::find(order, self) - order.begin());
    if (place < Roots || place == order.size())
        return {};
    return order[(place - Roots) / Children];
}

configuration_pull::configuration_pull(const clock_source &clock, vm_id self)
    : m_clock(clock)
    , m_self(std::move(self))
{ }

// A version that comes while an earlier one is awaited goes the same way: who was asked sends the
// latest that it has.
void configuration_pull::onTold(std::uint64_t version, const vm_id &teller)
{
    if (version <= std::max(m_wanted, m_inForce))
        return;
    if (m_wanted <= m_inForce) {
        m_tries = 0;
        m_waitUntil = m_clock.now();
    }
    m_wanted = version;
    m_teller = teller;
}

void configuration_pull::onInForce(std::uint64_t version)
{
    m_inForce = std::max(m_inForce, version);
    m_tries = 0;
    m_waitUntil = m_clock.now();
}

void configuration_pull::onPeerFailed(const vm_id &peer)
{
    if (!m_asked.empty() && peer == m_asked)
        m_waitUntil = m_clock.now();
}

std::optional<pull_step> configuration_pull::next(std::span<const vm_id> order)
{
    if (m_wanted <= m_inForce || m_clock.now() < m_waitUntil)
        return std::nullopt;
    const auto parent = parentOf(m_self, order);
    if (m_tries == 0 && (parent.empty() || parent == m_teller))
        m_tries = 1;
    const auto turn = m_tries++;
    pull_step step;
    step.version = m_wanted;
    if (turn < PeerTries)
        step.peer = turn == 0 ? parent : m_teller;
    // Later tries ask the store and the teller by turns.
    else if ((turn - PeerTries) % 2 == 1)
        step.peer = m_teller;
    step.from = step.peer.empty() ? configuration_source::Store : configuration_source::Peer;
    m_asked = step.peer;
    auto patience = step.peer.empty() ? StorePatience : PeerPatience;
    for (std::size_t i = PeerTries + 1; i < m_tries && patience < MaxPatience; ++i)
        patience *= 2;
    m_waitUntil = m_clock.now() + std::min(patience, MaxPatience);
    return step;
}

} // namespace orchidlead::gateway
