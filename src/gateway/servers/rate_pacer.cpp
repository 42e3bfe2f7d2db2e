#include "gateway/servers/rate_pacer.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// A server that got no request for this time has worked off its backlog, which is discarded.
constexpr std::chrono::seconds BacklogLifetime{60};

} // namespace

double rate_pacer::backlogOf(const server &backend, double perSecond, steady_time now) const
{
    const auto found = m_backlogs.find(backend.record.start());
    if (found == m_backlogs.end())
        return 0.0;
    const std::chrono::duration<double> elapsed = now - found->second.updatedAt;
    return std::max(0.0, found->second.requests - perSecond * elapsed.count());
}

std::chrono::duration<double> rate_pacer::timeUntilAllowed(const server &backend, double share,
                                                           steady_time now) const
{
    const auto limit = backend.effectiveRateLimit(now);
    if (!limit)
        return {};
    const double perSecond = limit->perSecond * share;
    const double excess = backlogOf(backend, perSecond, now) - (limit->burst - 1.0);
    return std::chrono::duration<double>{std::max(0.0, excess) / perSecond};
}

steady_time rate_pacer::nextAllowedAt(const server &backend, double share) const
{
    const auto now = m_clock.now();
    return now + std::chrono::ceil<steady_time::duration>(timeUntilAllowed(backend, share, now));
}

bool rate_pacer::allows(const server &backend, double share) const
{
    const auto now = m_clock.now();
    if (!backend.effectiveRateLimit(now))
        return true;
    return share > 0 && timeUntilAllowed(backend, share, now) <= std::chrono::nanoseconds{0};
}

void rate_pacer::onSent(const server &backend, double share)
{
    const auto now = m_clock.now();
    const auto limit = backend.effectiveRateLimit(now);
    if (!limit)
        return;
    std::erase_if(m_backlogs, [&](const auto &entry) {
        return now - entry.second.updatedAt > BacklogLifetime;
    });
    const double before = backlogOf(backend, limit->perSecond * share, now);
    m_backlogs[backend.record.start()] = {before + 1.0, now};
}

} // namespace orchidlead::gateway
