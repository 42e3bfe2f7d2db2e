#include "gateway/exchange/early_requests.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace orchidlead::gateway {

namespace {

// A node that isn't prepared so long after its start waits for something else than its start.
constexpr milliseconds StartTime{4000};
// Part of a request's patience for which it is held: most of it is left to serve it.
constexpr int HeldPart = 4;
// Requests with less patience would be late by then; their clients try elsewhere.
constexpr milliseconds LeastPatience{3000};
// Memory of a small machine: some kilobytes each.
constexpr std::size_t MostHeld = 256;

} // namespace

early_requests::early_requests(const clock_source &clock)
    : m_clock(clock)
    , m_startedAt(clock.now())
{ }

bool early_requests::hold(arrived_request &request, milliseconds patience)
{
    const auto now = m_clock.now();
    const auto started = m_startedAt + StartTime;
    if (patience < LeastPatience || m_held.size() >= MostHeld || now >= started)
        return false;
    m_held.push_back({std::move(request), std::min(now + patience / HeldPart, started)});
    return true;
}

std::vector<arrived_request> early_requests::takeDue(bool prepared)
{
    std::erase_if(m_held, [](const auto &each) { return !each.request.client->open(); });
    const auto now = m_clock.now();
    const auto firstDue =
        std::stable_partition(m_held.begin(), m_held.end(),
                              [&](const auto &each) { return !prepared && now < each.until; });
    std::vector<arrived_request> due;
    for (auto each = firstDue; each != m_held.end(); ++each)
        due.push_back(std::move(each->request));
    m_held.erase(firstDue, m_held.end());
    return due;
}

} // namespace orchidlead::gateway
