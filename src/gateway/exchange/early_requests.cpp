#include "gateway/exchange/early_requests.h"

#include <algorithm>
#include <iterator>
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

std::optional<steady_time> early_requests::holdUntil(milliseconds patience) const
{
    const auto now = m_clock.now();
    if (patience < LeastPatience || m_held.size() >= MostHeld || now >= m_startedAt + StartTime)
        return std::nullopt;
    return std::min(now + patience / HeldPart, m_startedAt + StartTime);
}

std::vector<early_request> early_requests::takeDue(bool prepared)
{
    const auto now = m_clock.now();
    const auto isDue = [&](const early_request &each) {
        return prepared || now >= each.until || !each.client->open();
    };
    const auto due = std::stable_partition(m_held.begin(), m_held.end(),
                                           [&](const auto &each) { return !isDue(each); });
    std::vector<early_request> taken(std::make_move_iterator(due),
                                     std::make_move_iterator(m_held.end()));
    m_held.erase(due, m_held.end());
    std::erase_if(taken, [](const auto &each) { return !each.client->open(); });
    return taken;
}

} // namespace orchidlead::gateway
