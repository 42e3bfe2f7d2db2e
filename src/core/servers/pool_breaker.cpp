#include "core/servers/pool_breaker.h"

#include <algorithm>

namespace orchidlead {

namespace {
constexpr std::uint32_t FewestFailures = 4;
constexpr std::uint32_t ManyServers = 16;
constexpr milliseconds FirstInterval{100};
constexpr milliseconds LongestInterval{800};
} // namespace

bool pool_breaker::onSuccess()
{
    const bool wasOpen = m_open;
    m_open = false;
    m_failures = 0;
    m_failed.clear();
    return wasOpen;
}

bool pool_breaker::onFailure(std::uint32_t slot, std::uint32_t servers, steady_time now)
{
    if (m_open)
        return false;
    ++m_failures;
    if (std::find(m_failed.begin(), m_failed.end(), slot) == m_failed.end())
        m_failed.push_back(slot);
    const std::uint32_t most = std::min(servers / 2, ManyServers);
    if (m_failures < FewestFailures || m_failed.size() <= most)
        return false;
    m_open = true;
    m_interval = FirstInterval;
    m_nextProbe = now + m_interval;
    return true;
}

bool pool_breaker::tryProbe(steady_time now)
{
    if (!m_open || now < m_nextProbe)
        return false;
    m_interval = std::min(2 * m_interval, LongestInterval);
    m_nextProbe = now + m_interval;
    return true;
}

milliseconds pool_breaker::retryAfter(steady_time now) const
{
    const auto left = std::chrono::ceil<milliseconds>(m_nextProbe - now);
    return std::max(left, FirstInterval);
}

} // namespace orchidlead
