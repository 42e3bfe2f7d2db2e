#include "gateway/stages/call_servers.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// How long a server that refused a call gets no other: a fraction of the shortest call.
constexpr milliseconds RefusedPause{60};
// How long a server without room for results gets no call while `policy::ResultRoom` is disabled.
// Results are freed within a second.
constexpr milliseconds NoRoomPause{150};
// How long a server gets no call after a failed one. Doubled by each further failure in a row, at
// most `MaxFailedDoublings` times.
constexpr milliseconds FailedPause{300};
constexpr std::uint32_t MaxFailedDoublings = 3;
// Cost of a server to be avoided, and of one outside the inputs' data centre, on the scale of a
// server's slowness.
constexpr double AvoidedCost = 100.0;
constexpr double RemoteCost = 0.1;

} // namespace

void call_servers::onCallEnd(const server &called, stage_call_end callEnd)
{
    auto &state = m_states[called.record.start()];
    --state.calls;
    if (callEnd == stage_call_end::NotRun)
        state.pausedUntil = std::max(m_clock.now() + RefusedPause, called.avoidUntil);
    if (callEnd == stage_call_end::Answered)
        state.consecutiveFailures = 0;
    else if (callEnd != stage_call_end::NotRun && callEnd != stage_call_end::Withheld)
        state.pausedUntil = m_clock.now()
            + FailedPause * (1U << std::min(state.consecutiveFailures++, MaxFailedDoublings));
}

void call_servers::pauseWithoutRoom(const server_start &start)
{
    m_states[start].pausedUntil = m_clock.now() + NoRoomPause;
}

std::vector<server_ptr> call_servers::idle(const std::vector<server_ptr> &servers,
                                           const data_center_id &preferredDataCenter) const
{
    const auto now = m_clock.now();
    std::vector<std::pair<double, server_ptr>> ranked;
    for (const auto &each : servers) {
        if (!isIdle(each->record.start()))
            continue;
        double cost = each->latencyRatio;
        if (each->avoidUntil > now)
            cost += AvoidedCost;
        if (!preferredDataCenter.empty() && each->record.dataCenter != preferredDataCenter)
            cost += RemoteCost;
        ranked.emplace_back(cost, each);
    }
    std::ranges::stable_sort(ranked, {}, [](const auto &each) { return each.first; });
    std::vector<server_ptr> idle;
    idle.reserve(ranked.size());
    for (const auto &[cost, each] : ranked)
        idle.push_back(each);
    return idle;
}

bool call_servers::isIdle(const server_start &start) const
{
    const auto found = m_states.find(start);
    return found == m_states.end()
        || (found->second.calls == 0 && found->second.pausedUntil <= m_clock.now());
}

bool call_servers::pausesAfterFailure(const server_start &start) const
{
    const auto found = m_states.find(start);
    return found != m_states.end() && found->second.consecutiveFailures > 0
        && found->second.pausedUntil > m_clock.now();
}

std::optional<steady_time> call_servers::firstPauseEnd() const
{
    std::optional<steady_time> earliest;
    const auto now = m_clock.now();
    for (const auto &[start, state] : m_states) {
        if (state.calls == 0 && state.pausedUntil > now)
            earliest = std::min(earliest.value_or(state.pausedUntil), state.pausedUntil);
    }
    return earliest;
}

} // namespace orchidlead::gateway
