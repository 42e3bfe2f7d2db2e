#include "gateway/peers/data_center_reachability.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

/// Durations of silence after which a data centre is probed and then considered lost. Servers are
/// probed as well as nodes, since they may still run where all nodes have been killed.
struct probe_schedule
{
    milliseconds probePeersAfter;
    milliseconds probeServersAfter;
    milliseconds lostAfter;
    milliseconds probeInterval; ///< while the data centre is silent
};
// Membership probes are further apart than these limits, so a node that has work in the data centre
// sends probes of its own. A round trip takes a few milliseconds, up to 40 ms between regions. A
// data centre is considered lost after four rounds with seven probes in all, and two connection
// attempts, have had no answer. At 20% packet loss, a reachable data centre is falsely considered
// lost in about one of several thousand such sequences of probes.
constexpr probe_schedule ActiveSchedule{milliseconds{150}, milliseconds{250}, milliseconds{500},
                                        milliseconds{100}};
// Without work in the data centre, slower detection is enough. It still takes place, so that the
// first request sent there does not have to run into a timeout.
constexpr probe_schedule IdleSchedule{milliseconds{2500}, milliseconds{2800}, milliseconds{3300},
                                      milliseconds{250}};
// Interval of the probes to a lost data centre.
constexpr milliseconds LostProbeInterval{300};
// Nodes probed per round: one in the first round, since most nodes answer, more in later rounds.
constexpr std::size_t ProbesInFirstRound = 1;
constexpr std::size_t ProbesPerRepeatRound = 2;
// How long this node counts as having work in a data centre after the last request or answer.
// Answers arrive, or begin to arrive, within this time.
constexpr milliseconds ActivityTimeout{2000};
// Ticks come every 100 ms; a longer gap than this means that the process was paused.
constexpr milliseconds PauseThreshold{250};

} // namespace

data_center_reachability::data_center_reachability(const clock_source &clock, data_center_id own)
    : m_clock(clock)
    , m_own(std::move(own))
    , m_lastTick(clock.now())
{ }

void data_center_reachability::onLivenessSignal(const data_center_id &from)
{
    if (from == m_own || from.empty())
        return;
    auto &known = m_states[from];
    known.lastSeen = m_clock.now();
    known.lastSignalAt = known.lastSeen;
    known.probed = false;
}

// Before the first use the data centre was probed at long intervals only, so silence under the
// short limits counts from that use on.
void data_center_reachability::onTraffic(const data_center_id &which)
{
    const auto found = m_states.find(which);
    if (found == m_states.end())
        return;
    auto &known = found->second;
    const auto now = m_clock.now();
    if (!known.lost && now >= known.activeUntil)
        known.lastSeen = now;
    known.activeUntil = now + ActivityTimeout;
}

// Messages that arrived during a pause of the process are still unread, so the pause must not count
// as silence of the data centres.
void data_center_reachability::compensateForPause()
{
    const auto gap = m_clock.now() - std::exchange(m_lastTick, m_clock.now());
    if (gap <= PauseThreshold)
        return;
    for (auto &[dataCenter, known] : m_states)
        known.lastSeen += gap;
}

std::vector<reachability_event> data_center_reachability::tick()
{
    compensateForPause();
    std::vector<reachability_event> events;
    const auto now = m_clock.now();
    for (auto &[dataCenter, known] : m_states) {
        const auto silent = now - known.lastSeen;
        const auto &times = now < known.activeUntil ? ActiveSchedule : IdleSchedule;
        if (known.lost && silent < ActiveSchedule.lostAfter) {
            known.lost = false;
            events.push_back({dataCenter, reachability_event_type::Regained});
        }
        if (silent < times.probePeersAfter)
            continue;
        if (!known.lost && silent >= times.lostAfter) {
            known.lost = true;
            events.push_back({dataCenter, reachability_event_type::Lost});
        }
        if (now < known.nextProbe)
            continue;
        known.nextProbe = now + (known.lost ? LostProbeInterval : times.probeInterval);
        const auto count =
            std::exchange(known.probed, true) ? ProbesPerRepeatRound : ProbesInFirstRound;
        events.push_back({dataCenter, reachability_event_type::ProbePeers, count});
        if (silent >= times.probeServersAfter)
            events.push_back({dataCenter, reachability_event_type::ProbeServers});
    }
    return events;
}

std::optional<steady_time>
data_center_reachability::lastSignalFrom(const data_center_id &which) const
{
    const auto found = m_states.find(which);
    return found == m_states.end() ? std::nullopt : std::optional(found->second.lastSignalAt);
}

bool data_center_reachability::isReachable(const data_center_id &which) const
{
    const auto found = m_states.find(which);
    return found == m_states.end() || !found->second.lost;
}

} // namespace orchidlead::gateway
