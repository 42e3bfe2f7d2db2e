#include "gateway/exchange/startup_queue.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace orchidlead::gateway {

namespace {

// A node that is still unprepared this long after its start is not waiting for its startup.
constexpr milliseconds StartupPeriod{4000};
// A request is held for this fraction (1/n) of its timeout, which leaves most of it for serving.
constexpr int HoldDivisor = 4;
// A request with a shorter timeout would be late after the wait; its client retries elsewhere.
constexpr milliseconds MinClientTimeout{3000};
// Bounds memory on a small machine: a request takes a few kilobytes.
constexpr std::size_t MaxHeldRequests = 256;

} // namespace

startup_queue::startup_queue(const clock_source &clock)
    : m_clock(clock)
    , m_startedAt(clock.now())
{ }

bool startup_queue::tryEnqueue(received_request &request, milliseconds clientTimeout)
{
    const auto now = m_clock.now();
    const auto startupEnd = m_startedAt + StartupPeriod;
    if (clientTimeout < MinClientTimeout || m_heldRequests.size() >= MaxHeldRequests
        || now >= startupEnd)
        return false;
    m_heldRequests.push_back(
        {std::move(request), std::min(now + clientTimeout / HoldDivisor, startupEnd)});
    return true;
}

std::vector<received_request> startup_queue::dequeueDue(bool releaseAll)
{
    std::erase_if(m_heldRequests, [](const auto &each) { return !each.request.client->open(); });
    const auto now = m_clock.now();
    const auto firstDue =
        std::stable_partition(m_heldRequests.begin(), m_heldRequests.end(),
                              [&](const auto &each) { return !releaseAll && now < each.until; });
    std::vector<received_request> dueRequests;
    for (auto each = firstDue; each != m_heldRequests.end(); ++each)
        dueRequests.push_back(std::move(each->request));
    m_heldRequests.erase(firstDue, m_heldRequests.end());
    return dueRequests;
}

} // namespace orchidlead::gateway
