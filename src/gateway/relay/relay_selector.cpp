#include "gateway/relay/relay_selector.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

// A relay that is cut off itself finds its own way back within this time.
constexpr milliseconds CutOffAvoidance{400};
// A full relay has room again when a few short calls have ended.
constexpr milliseconds BusyAvoidance{100};
// A relay that is stopping or doesn't answer leaves the list of members within about this time.
constexpr milliseconds AbsentAvoidance{1000};
// Calls that a peer of the own data centre may have more than one elsewhere and is still chosen:
// the traffic between data centres is paid for, but a single near peer can't bear all calls.
constexpr std::uint32_t MaxExtraNearCalls = 8;

milliseconds avoidanceFor(std::optional<relay_result> why)
{
    if (why == relay_result::CutOff)
        return CutOffAvoidance;
    return why == relay_result::Busy ? BusyAvoidance : AbsentAvoidance;
}

} // namespace

relay_selector::relay_selector(const clock_source &clock, data_center_id own, std::uint32_t seed)
    : m_clock(clock)
    , m_own(std::move(own))
    , m_random(seed)
{ }

void relay_selector::setCandidates(std::vector<relay_candidate> candidates)
{
    m_candidates = std::move(candidates);
    std::erase_if(m_states, [this](const auto &entry) {
        return entry.second.calls == 0 && entry.second.avoidUntil <= m_clock.now();
    });
}

std::vector<const relay_candidate *> relay_selector::available(const region_id &region,
                                                               bool near) const
{
    std::vector<const relay_candidate *> found;
    for (const auto &each : m_candidates) {
        if (each.region != region || (near && each.dataCenter != m_own))
            continue;
        const auto state = m_states.find(each.vm);
        if (state == m_states.end() || state->second.avoidUntil <= m_clock.now())
            found.push_back(&each);
    }
    return found;
}

const relay_candidate *
relay_selector::drawLessUsed(const std::vector<const relay_candidate *> &from)
{
    if (from.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, from.size() - 1);
    const auto *first = from[draw(m_random)];
    const auto *second = from[draw(m_random)];
    return m_states[second->vm].calls < m_states[first->vm].calls ? second : first;
}

std::optional<relay_candidate> relay_selector::choose(const region_id &region)
{
    const auto *near = drawLessUsed(available(region, true));
    const auto *any = drawLessUsed(available(region, false));
    if (!any)
        return std::nullopt;
    if (near && m_states[near->vm].calls <= m_states[any->vm].calls + MaxExtraNearCalls)
        return *near;
    return *any;
}

void relay_selector::onStarted(const vm_id &relay)
{
    ++m_states[relay].calls;
}

void relay_selector::onEnded(const vm_id &relay)
{
    if (auto &state = m_states[relay]; state.calls > 0)
        --state.calls;
}

void relay_selector::onRefused(const vm_id &relay, std::optional<relay_result> why)
{
    m_states[relay].avoidUntil = m_clock.now() + avoidanceFor(why);
}

} // namespace orchidlead::gateway
