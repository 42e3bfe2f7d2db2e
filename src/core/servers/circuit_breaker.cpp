#include "core/servers/circuit_breaker.h"

#include <algorithm>

namespace orchidlead {

namespace {
constexpr std::uint32_t MinFailures = 4;
constexpr std::uint32_t MaxFailedServers = 16;
constexpr milliseconds MinProbeInterval{100};
constexpr milliseconds MaxProbeInterval{800};
} // namespace

bool circuit_breaker::onSuccess()
{
    const bool wasOpen = m_open;
    m_open = false;
    m_failures = 0;
    m_failedSlots.clear();
    return wasOpen;
}

bool circuit_breaker::onFailure(std::uint32_t slot, std::uint32_t servers, steady_time now)
{
    if (m_open)
        return false;
    ++m_failures;
    if (std::find(m_failedSlots.begin(), m_failedSlots.end(), slot) == m_failedSlots.end())
        m_failedSlots.push_back(slot);
    const std::uint32_t maxFailed = std::min(servers / 2, MaxFailedServers);
    if (m_failures < MinFailures || m_failedSlots.size() <= maxFailed)
        return false;
    m_open = true;
    m_probeInterval = MinProbeInterval;
    m_nextProbe = now + m_probeInterval;
    return true;
}

bool circuit_breaker::tryProbe(steady_time now)
{
    if (!m_open || now < m_nextProbe)
        return false;
    m_probeInterval = std::min(2 * m_probeInterval, MaxProbeInterval);
    m_nextProbe = now + m_probeInterval;
    return true;
}

milliseconds circuit_breaker::retryAfter(steady_time now) const
{
    const auto left = std::chrono::ceil<milliseconds>(m_nextProbe - now);
    return std::max(left, MinProbeInterval);
}

} // namespace orchidlead
