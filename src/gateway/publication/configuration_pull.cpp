#include "gateway/publication/configuration_pull.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Number of nodes to which each node forwards a configuration. With four, 50 nodes are at most
// three hops from the roots. A configuration of 300 KB compresses to 40 KB, and four copies occupy
// a link of 10 Mbit/s for 130 ms.
constexpr std::size_t TreeFanout = 4;
// Number of nodes, the first ones of the order, that read the store.
constexpr std::size_t TreeRoots = 2;
// Three hops of 130 ms each. The minimum bound for a configuration to be in force is 2 s; two
// unanswered peer requests and a read of the store take 0.9 s of it.
constexpr milliseconds PeerAnswerTimeout{400};
// The store usually answers in 4 ms; the timeout allows for one that is 60 times slower.
constexpr milliseconds StoreAnswerTimeout{300};
// The timeout doubles with each further attempt up to this value: where the store refuses this
// node, more frequent requests add load without effect.
constexpr milliseconds MaxAnswerTimeout{1200};
// Attempts sent to peers before the first one sent to the store.
constexpr std::size_t PeerAttempts = 2;

} // namespace

vm_id parentOf(const vm_id &self, std::span<const vm_id> order)
{
    const auto place = static_cast<std::size_t>(std::ranges::find(order, self) - order.begin());
    if (place < TreeRoots || place == order.size())
        return {};
    return order[(place - TreeRoots) / TreeFanout];
}

configuration_pull::configuration_pull(const clock_source &clock, vm_id self)
    : m_clock(clock)
    , m_self(std::move(self))
{ }

// A later version announced while an earlier one is pending needs no new request: the peer already
// asked sends its latest version.
void configuration_pull::onVersionAnnounced(std::uint64_t version, const vm_id &announcer)
{
    if (version <= std::max(m_wantedVersion, m_versionInForce))
        return;
    if (m_wantedVersion <= m_versionInForce) {
        m_attempts = 0;
        m_answerDeadline = m_clock.now();
    }
    m_wantedVersion = version;
    m_announcer = announcer;
}

void configuration_pull::onVersionInForce(std::uint64_t version)
{
    m_versionInForce = std::max(m_versionInForce, version);
    m_attempts = 0;
    m_answerDeadline = m_clock.now();
}

void configuration_pull::onPeerFailed(const vm_id &peer)
{
    if (!m_askedPeer.empty() && peer == m_askedPeer)
        m_answerDeadline = m_clock.now();
}

std::optional<pull_step> configuration_pull::next(std::span<const vm_id> order)
{
    if (m_wantedVersion <= m_versionInForce || m_clock.now() < m_answerDeadline)
        return std::nullopt;
    const auto parent = parentOf(m_self, order);
    if (m_attempts == 0 && (parent.empty() || parent == m_announcer))
        m_attempts = 1;
    const auto attempt = m_attempts++;
    pull_step step;
    step.version = m_wantedVersion;
    if (attempt < PeerAttempts)
        step.peer = attempt == 0 ? parent : m_announcer;
    // Later attempts alternate between the store and the announcer.
    else if ((attempt - PeerAttempts) % 2 == 1)
        step.peer = m_announcer;
    step.from = step.peer.empty() ? configuration_source::Store : configuration_source::Peer;
    m_askedPeer = step.peer;
    auto timeout = step.peer.empty() ? StoreAnswerTimeout : PeerAnswerTimeout;
    for (std::size_t i = PeerAttempts + 1; i < m_attempts && timeout < MaxAnswerTimeout; ++i)
        timeout *= 2;
    m_answerDeadline = m_clock.now() + std::min(timeout, MaxAnswerTimeout);
    return step;
}

} // namespace orchidlead::gateway
