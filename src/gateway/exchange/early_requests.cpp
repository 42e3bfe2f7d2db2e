#include "gateway/exchange/early_requests.h"

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
constexpr milliseconds MinPatience{3000};
// Bounds memory on a small machine: a request takes a few kilobytes.
constexpr std::size_t MaxHeldRequests = 256;

} // namespace

early_requests::early_requests(const clock_source &clock)
    : m_clock(clock)
    , m_startedAt(clock.now())
{ }

bool early_requests::hold(arrived_request &request, milliseconds patience)
{
    const auto now = m_clock.now();
    const auto startupEnd = m_startedAt + StartupPeriod;
    if (patience < MinPatience || m_heldRequests.size() >= MaxHeldRequests || now >= startupEnd)
        return false;
    m_heldRequests.push_back(
        {std::move(request), std::min(now + patience / HoldDivisor, startupEnd)});
    return true;
}

std::vector<arrived_request> early_requests::takeDue(bool prepared)
{
    std::erase_if(m_heldRequests, [](const auto &each) { return !each.request.client->open(); });
    const auto now = m_clock.now();
    const auto firstDue =
        std::stable_partition(m_heldRequests.begin(), m_heldRequests.end(),
                              [&](const auto &each) { return !prepared && now < each.until; });
    std::vector<arrived_request> dueRequests;
    for (auto each = firstDue; each != m_heldRequests.end(); ++each)
        dueRequests.push_back(std::move(each->request));
    m_heldRequests.erase(firstDue, m_heldRequests.end());
    return dueRequests;
}

} // namespace orchidlead::gateway
