#include "gateway/servers/rate_pace.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// A server that got nothing for so long owes nothing to what it got before.
constexpr std::chrono::seconds Forgotten{60};

} // namespace

double rate_pace::backlogOf(const server &which, double perSecond, steady_time now) const
{
    const auto found = m_backlogs.find(which.record.start());
    if (found == m_backlogs.end())
        return 0.0;
    const std::chrono::duration<double> passed = now - found->second.at;
    return std::max(0.0, found->second.requests - perSecond * passed.count());
}

std::chrono::duration<double> rate_pace::waitFor(const server &which, double share,
                                                 steady_time now) const
{
    const auto bound = which.bound(now);
    if (!bound)
        return {};
    const double perSecond = bound->perSecond * share;
    const double before = backlogOf(which, perSecond, now) - (bound->burst - 1.0);
    return std::chrono::duration<double>{std::max(0.0, before) / perSecond};
}

steady_time rate_pace::nextAt(const server &which, double share) const
{
    const auto now = m_clock.now();
    return now + std::chrono::ceil<steady_time::duration>(waitFor(which, share, now));
}

bool rate_pace::allows(const server &which, double share) const
{
    const auto now = m_clock.now();
    if (!which.bound(now))
        return true;
    return share > 0 && waitFor(which, share, now) <= std::chrono::nanoseconds{0};
}

void rate_pace::onSent(const server &which, double share)
{
    const auto now = m_clock.now();
    const auto bound = which.bound(now);
    if (!bound)
        return;
    std::erase_if(m_backlogs, [&](const auto &entry) { return now - entry.second.at > Forgotten; });
    const double before = backlogOf(which, bound->perSecond * share, now);
    m_backlogs[which.record.start()] = {before + 1.0, now};
}

} // namespace orchidlead::gateway
