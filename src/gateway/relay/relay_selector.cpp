#include "gateway/relay/relay_selector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Peers that are considered at a time. Each list is drawn anew, so the load of a cut-off node
// spreads over all.
constexpr std::size_t MaxCandidates = 96;
// Near peers among them where there are others: all nodes of a data centre may be cut off at once.
constexpr std::size_t MaxNearCandidates = MaxCandidates / 2;

// A relay that is cut off refuses without delay, so asking it again soon costs little. It may be
// the first to have its servers back.
constexpr milliseconds CutOffAvoidance{100};
// A full relay has room again when a few short calls have ended.
constexpr milliseconds BusyAvoidance{100};
// A relay that is stopping or doesn't answer leaves the list of members within about this time.
constexpr milliseconds AbsentAvoidance{1000};
// Calls that a peer of the own data centre may have more than one elsewhere and is still chosen:
// the traffic between data centres is paid for, but a single near peer can't bear all calls.
constexpr std::uint32_t MaxExtraNearCalls = 8;

// A relay that left a call unanswered counts as having this many more calls, so that others are
// preferred, far ones included. It is still chosen where all are slow.
constexpr std::uint32_t UnansweredLoad = 2 * MaxExtraNearCalls;
constexpr milliseconds UnansweredTime{1000};

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
    const auto far = std::stable_partition(
        candidates.begin(), candidates.end(),
        [this](const relay_candidate &each) { return each.dataCenter == m_own; });
    const auto nearCount = static_cast<std::size_t>(far - candidates.begin());
    const auto farCount = candidates.size() - nearCount;
    const auto sampledNear = std::min(
        nearCount, std::max(MaxNearCandidates, MaxCandidates - std::min(MaxCandidates, farCount)));
    m_candidates.clear();
    std::sample(candidates.begin(), far, std::back_inserter(m_candidates), sampledNear, m_random);
    std::sample(far, candidates.end(), std::back_inserter(m_candidates),
                MaxCandidates - sampledNear, m_random);
    std::erase_if(m_states, [this](const auto &entry) {
        const auto &state = entry.second;
        return state.calls == 0
            && std::max(state.avoidUntil, state.unansweredUntil) <= m_clock.now();
    });
}

std::vector<const relay_candidate *>
relay_selector::available(const region_id &region,
                          const std::vector<data_center_id> &excluded) const
{
    std::vector<const relay_candidate *> found;
    for (const auto &each : m_candidates) {
        const bool isExcluded = std::ranges::find(excluded, each.dataCenter) != excluded.end();
        if (each.region != region || isExcluded)
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
    return load(second->vm) < load(first->vm) ? second : first;
}

std::optional<relay_candidate> relay_selector::choose(const region_id &region,
                                                      const std::vector<data_center_id> &lastResort)
{
    auto peers = available(region, lastResort);
    if (peers.empty())
        peers = available(region, {});
    const auto *any = drawLessUsed(peers);
    if (!any)
        return std::nullopt;
    std::erase_if(peers, [this](const auto *each) { return each->dataCenter != m_own; });
    const auto *near = drawLessUsed(peers);
    if (near && load(near->vm) <= load(any->vm) + MaxExtraNearCalls)
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

void relay_selector::onUnanswered(const vm_id &relay)
{
    m_states[relay].unansweredUntil = m_clock.now() + UnansweredTime;
}

std::uint32_t relay_selector::load(const vm_id &relay) const
{
    const auto found = m_states.find(relay);
    if (found == m_states.end())
        return 0;
    const auto &state = found->second;
    return state.calls + (m_clock.now() < state.unansweredUntil ? UnansweredLoad : 0);
}

} // namespace orchidlead::gateway
