#include "gateway/servers/server_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of a directory that takes down what servers say of themselves.
namespace orchidlead::gateway {

namespace {

// How long a server that refused is passed over, at first a few of its requests' time. Each further
// refusal in a row makes it longer: a server that refuses at once looks the emptiest, and would be
// the first choice of every request.
constexpr milliseconds RefusedAvoidance{60};
constexpr std::uint32_t RefusedGrowth = 4;
constexpr std::uint32_t MaxRefusedSteps = 3;
// A server that had asked for time gets one request alone, until it has taken it or for so long.
constexpr milliseconds ProbeTime{500};
// How long signals of a start that isn't published are kept: entries lapse and come back while the
// store is away, and answers tell that a server leaves before a list that is behind names it.
constexpr std::chrono::seconds SignalMemory{60};

} // namespace

void server_directory::keepSignals(const server_start &start, const kept_signals &signals)
{
    const auto now = m_clock.now();
    std::erase_if(m_past, [&](const auto &entry) { return now >= entry.second.until; });
    m_past[start] = {signals, now + SignalMemory};
    std::erase_if(m_saidLeaving, [&](const server_start &each) { return !remembers(each); });
}

bool server_directory::remembers(const server_start &start) const
{
    if (const auto known = find(start.id); known && known->record.start() == start)
        return true;
    const auto past = m_past.find(start);
    return past != m_past.end() && m_clock.now() < past->second.until;
}

bool server_directory::onLeavingElsewhere(const server_start &start)
{
    const auto known = find(start.id);
    if (known && known->record.start() == start) {
        if (std::exchange(known->saidLeaving, true))
            return false;
        m_saidLeaving.insert(start);
        changed(known->record.service);
        return true;
    }
    if (known && start.born < known->record.born)
        return false;
    kept_signals signals;
    if (const auto past = m_past.find(start); past != m_past.end())
        signals = past->second.signals;
    if (std::exchange(signals.saidLeaving, true))
        return false;
    m_saidLeaving.insert(start);
    keepSignals(start, signals);
    return true;
}

std::vector<server_start> server_directory::startsThatLeave() const
{
    std::vector<server_start> starts;
    std::ranges::copy_if(m_saidLeaving, std::back_inserter(starts),
                         [&](const server_start &each) { return remembers(each); });
    return starts;
}

std::optional<milliseconds> server_directory::backoffOf(const service_id &service,
                                                        const residency &allowed) const
{
    return backoffOf(usable(service, allowed));
}

std::optional<milliseconds> server_directory::backoffOf(const pool_key &pool) const
{
    return backoffOf(usable(pool));
}

std::optional<milliseconds>
server_directory::backoffOf(const std::vector<server_ptr> &servers) const
{
    const auto now = m_clock.now();
    if (servers.empty())
        return std::nullopt;
    const auto first = std::ranges::min(servers, {}, &server::takesFrom)->takesFrom();
    if (first <= now)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(first - now);
}

// Servers that refuse are passed over like those that asked for time, as long as others are left:
// who chooses for this node doesn't see its refusals.
std::vector<backend_server_id> server_directory::passedOver(const service_id &service,
                                                            const residency &allowed) const
{
    const auto now = m_clock.now();
    std::vector<backend_server_id> asked;
    std::vector<backend_server_id> refusing;
    const auto servers = usable(service, allowed);
    for (const auto &each : servers) {
        if (!each->takes(now))
            asked.push_back(each->record.id);
        else if (each->refusals > 0 && now < each->avoidUntil)
            refusing.push_back(each->record.id);
    }
    if (asked.size() + refusing.size() < servers.size())
        std::ranges::copy(refusing, std::back_inserter(asked));
    return asked;
}

void server_directory::onRefused(server &which)
{
    const auto now = m_clock.now();
    if (which.refusals > 0 && now < which.avoidUntil)
        return; // sent before the last refusal was known
    auto time = RefusedAvoidance;
    for (std::uint32_t i = 0; i < std::min(which.refusals, MaxRefusedSteps); ++i)
        time *= RefusedGrowth;
    ++which.refusals;
    which.avoidUntil = std::max(which.avoidUntil, now + time);
}

void server_directory::onRetryAfter(server &which, milliseconds time)
{
    const auto now = m_clock.now();
    if (now + time <= which.backoffUntil)
        return;
    const std::chrono::duration<double> spread = time * (m_backoffSpread ? m_backoffSpread() : 0.0);
    which.backoffUntil = now + time + std::chrono::ceil<milliseconds>(spread);
    which.proving = true;
    if (m_onBackoff)
        m_onBackoff(which, time);
}

void server_directory::onSending(server &which)
{
    which.sentAt = m_clock.now();
    if (which.proving)
        which.probeUntil = m_clock.now() + ProbeTime;
    if (m_onSent)
        m_onSent(which.record.dataCenter);
}

void server_directory::onSignals(server &which, const server_signals &told)
{
    onRateLimit(which, told.rateLimit);
    if (told.leaving && !std::exchange(which.saidLeaving, true)) {
        m_saidLeaving.insert(which.record.start());
        changed(which.record.service);
        if (m_onLeavingSaid)
            m_onLeavingSaid(which);
    }
    const auto now = m_clock.now();
    if (told.load) {
        which.load = told.load;
        which.loadAt = now;
    }
    if (told.retryAfter)
        onRetryAfter(which, *told.retryAfter);
    if (told.refused)
        onRefused(which);
    // An answer that was under way says nothing of a time that was asked for since.
    if (told.taken) {
        which.refusals = 0;
        which.proving = which.proving && now < which.backoffUntil;
    }
}

void server_directory::onRateLimit(server &which, const told_rate_limit &told)
{
    onRateLimit(which, told, m_clock.now());
}

void server_directory::onRateLimit(server &which, const told_rate_limit &told, steady_time heardAt)
{
    if (!told.readable || heardAt < which.rateLimitAt)
        return;
    which.rateLimitAt = heardAt;
    if (told.perSecond == which.rateLimit)
        return;
    const auto before = std::exchange(which.rateLimit, told.perSecond);
    if (m_onRateLimitChanged)
        m_onRateLimitChanged(which, before);
}

} // namespace orchidlead::gateway
