#include "gateway/servers/server_access.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// After a round that found servers reachable, the failure of a single server starts no other round
// for this time: an overloaded server that refuses connections would cause one at each refusal.
constexpr milliseconds RoundInterval{500};
// So many different servers that fail in a row start a round at any time.
constexpr std::size_t FailuresBeforeRound = 2;
// Servers remembered as failed; more would not change any decision.
constexpr std::size_t MaxRememberedFailures = 8;
// Interval of connections while cut off. Requests go to servers directly again within this time and
// one round trip.
constexpr milliseconds CutOffProbeInterval{250};
// Silence of all servers, while answers are awaited, after which one connection is opened. Idle
// connections hang without an error when the network drops packets.
constexpr milliseconds SilenceBeforeProbe{300};
// Answers of engines take seconds, so the probes of a silent but healthy node are limited.
constexpr milliseconds SilenceProbeInterval{1000};

} // namespace

server_access::server_access(const clock_source &clock)
    : m_clock(clock)
    , m_roundEndedAt(clock.now() - RoundInterval)
    , m_firstFailureAt(clock.now())
    , m_lastReceivedAt(clock.now())
    , m_awaitingSince(clock.now())
    , m_nextProbeAt(clock.now())
{ }

// After a cut the next one may begin at once, so its first failure starts a round without delay.
void server_access::onConnected()
{
    const auto now = m_clock.now();
    m_lastReceivedAt = now;
    m_failed.clear();
    const auto before = std::exchange(m_state, server_access_state::Reachable);
    if (before == server_access_state::CutOff)
        m_roundEndedAt = now - RoundInterval;
    else if (before == server_access_state::Checking)
        m_roundEndedAt = now;
}

bool server_access::onConnectFailure(const backend_server_id &server)
{
    const auto now = m_clock.now();
    if (m_failed.empty() && m_state == server_access_state::Reachable)
        m_firstFailureAt = now;
    if (m_failed.size() < MaxRememberedFailures)
        m_failed.insert(server);
    if (m_state != server_access_state::Reachable)
        return false;
    return m_failed.size() >= FailuresBeforeRound || now - m_roundEndedAt >= RoundInterval;
}

void server_access::onRoundStarted(std::size_t connections)
{
    if (m_state != server_access_state::Reachable)
        return;
    m_roundConnections = connections;
    if (connections > 0)
        m_state = server_access_state::Checking;
    else
        m_roundEndedAt = m_clock.now();
}

void server_access::onRoundFailure()
{
    if (m_state != server_access_state::Checking || --m_roundConnections > 0)
        return;
    m_state = server_access_state::CutOff;
    m_nextProbeAt = m_clock.now() + CutOffProbeInterval;
}

void server_access::onCallSent()
{
    if (m_awaitedAnswers++ == 0)
        m_awaitingSince = m_clock.now();
}

void server_access::onCallEnded()
{
    if (m_awaitedAnswers > 0)
        --m_awaitedAnswers;
}

bool server_access::isProbeDue()
{
    const auto now = m_clock.now();
    if (now < m_nextProbeAt)
        return false;
    switch (m_state) {
    case server_access_state::Checking:
        return false;
    case server_access_state::CutOff:
        m_nextProbeAt = now + CutOffProbeInterval;
        return true;
    case server_access_state::Reachable:
        break;
    }
    const auto silentSince = std::max(m_lastReceivedAt, m_awaitingSince);
    if (m_awaitedAnswers == 0 || now - silentSince < SilenceBeforeProbe)
        return false;
    m_nextProbeAt = now + SilenceProbeInterval;
    return true;
}

} // namespace orchidlead::gateway
