#include "gateway/servers/cold_start_pace.h"

namespace orchidlead::gateway {

namespace {

// Part of what a cold server bears that all nodes together let go to it. What a server counts in a
// second is more than what was sent in one: connections and busy nodes bunch requests. The
// platform's own bound is one and a half times the rate and a few requests, so that two nodes that
// both take the whole share, each for the only one, still keep it.
constexpr double UsedPart = 0.75;
// A server that got nothing for so long owes nothing to what it got before.
constexpr std::chrono::seconds Forgotten{60};

} // namespace

steady_time cold_start_pace::nextAt(const server &which, double share) const
{
    const auto sent = m_sent.find(which.record.start());
    if (sent == m_sent.end())
        return {};
    const std::chrono::duration<double> distance{1.0 / (UsedPart * which.coldStart.rate * share)};
    return sent->second + std::chrono::duration_cast<steady_time::duration>(distance);
}

bool cold_start_pace::allows(const server &which, double share) const
{
    const auto now = m_clock.now();
    if (!which.cold(now) || which.coldStart.rate <= 0)
        return true;
    return share > 0 && now >= nextAt(which, share);
}

void cold_start_pace::onSent(const server &which)
{
    const auto now = m_clock.now();
    if (!which.cold(now))
        return;
    std::erase_if(m_sent, [&](const auto &entry) { return now - entry.second > Forgotten; });
    m_sent[which.record.start()] = now;
}

} // namespace orchidlead::gateway
