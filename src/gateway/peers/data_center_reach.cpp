#include "gateway/peers/data_center_reach.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

/// What is done about a silent data centre, and when. All of its nodes may have been killed while
/// its servers live: these are asked, too.
struct reach_times
{
    milliseconds askPeersAfter;
    milliseconds askServersAfter;
    milliseconds lostAfter;
    milliseconds askEach; ///< while it is silent
};
// Probes of members leave longer silences than this. Who has work there therefore asks for signs of
// life: a round trip takes a few milliseconds, up to 40 between regions. Four rounds of questions,
// seven in all, and two connections were without an answer before it counts as lost: with one
// packet in five lost, that happens by chance once in some thousand times.
constexpr reach_times WithWorkThere{milliseconds{150}, milliseconds{250}, milliseconds{500},
                                    milliseconds{100}};
// Where a node has no work it is in no hurry, but the first request that goes there shouldn't have
// to find out.
constexpr reach_times WithoutWork{milliseconds{2500}, milliseconds{2800}, milliseconds{3300},
                                  milliseconds{250}};
// How often is asked while a data centre is lost.
constexpr milliseconds AskLostEach{300};
// Nodes that are asked at first, as most of them answer, and then.
constexpr std::size_t FirstAsked = 1;
constexpr std::size_t ThenAsked = 2;
// How long after its last use a node counts as having work in a data centre: requests are answered,
// or begin to be, within this, and answers that come are uses, too.
constexpr milliseconds UseMemory{2000};
// A longer gap between ticks, which come every 100 ms, is a pause of this process.
constexpr milliseconds PauseThreshold{250};

} // namespace

data_center_reach::data_center_reach(const clock_source &clock, data_center_id own)
    : m_clock(clock)
    , m_own(std::move(own))
    , m_lastTick(clock.now())
{ }

void data_center_reach::onHeard(const data_center_id &from)
{
    if (from == m_own || from.empty())
        return;
    auto &known = m_states[from];
    known.heard = m_clock.now();
    known.asked = false;
}

// Before, nothing was asked in time, so silence that counts at once begins with the first use.
void data_center_reach::onUse(const data_center_id &which)
{
    const auto found = m_states.find(which);
    if (found == m_states.end())
        return;
    auto &known = found->second;
    const auto now = m_clock.now();
    if (!known.lost && now >= known.usedUntil)
        known.heard = now;
    known.usedUntil = now + UseMemory;
}

// What came during a pause waits unread, so silence says nothing then.
void data_center_reach::forgivePause()
{
    const auto gap = m_clock.now() - std::exchange(m_lastTick, m_clock.now());
    if (gap <= PauseThreshold)
        return;
    for (auto &[dataCenter, known] : m_states)
        known.heard += gap;
}

std::vector<reach_event> data_center_reach::tick()
{
    forgivePause();
    std::vector<reach_event> events;
    const auto now = m_clock.now();
    for (auto &[dataCenter, known] : m_states) {
        const auto silent = now - known.heard;
        const auto &times = now < known.usedUntil ? WithWorkThere : WithoutWork;
        if (known.lost && silent < WithWorkThere.lostAfter) {
            known.lost = false;
            events.push_back({dataCenter, reach_step::Regained});
        }
        if (silent < times.askPeersAfter)
            continue;
        if (!known.lost && silent >= times.lostAfter) {
            known.lost = true;
            events.push_back({dataCenter, reach_step::Lost});
        }
        if (now < known.nextAsk)
            continue;
        known.nextAsk = now + (known.lost ? AskLostEach : times.askEach);
        const auto count = std::exchange(known.asked, true) ? ThenAsked : FirstAsked;
        events.push_back({dataCenter, reach_step::AskPeers, count});
        if (silent >= times.askServersAfter)
            events.push_back({dataCenter, reach_step::AskServers});
    }
    return events;
}

bool data_center_reach::reaches(const data_center_id &which) const
{
    const auto found = m_states.find(which);
    return found == m_states.end() || !found->second.lost;
}

} // namespace orchidlead::gateway
