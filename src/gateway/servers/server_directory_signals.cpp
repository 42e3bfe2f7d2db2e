#include "gateway/servers/server_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of the directory that records what servers announce in their responses.
namespace orchidlead::gateway {

namespace {

// Initial time for which a server that refused a request is avoided, about as long as a few of its
// requests take. Each further consecutive refusal multiplies it: a server that refuses at once has
// the lowest load and would be the first choice for every request.
constexpr milliseconds InitialRefusalAvoidance{60};
constexpr std::uint32_t RefusalAvoidanceGrowth = 4;
constexpr std::uint32_t MaxRefusalGrowthSteps = 3;
// After a requested backoff, a server gets one request at a time until it accepts one or this time
// has passed.
constexpr milliseconds ProbeTimeout{500};
// Longest time in which a server that has requests of a node sends it nothing: an engine reads the
// longest prompts in less.
constexpr milliseconds MaxPause{500};
// How long the signals of a start that is not published are kept. Published entries expire and
// reappear while the store is unavailable, and a response may report that a server is leaving
// before this node's list of published servers, which lags behind, contains the server.
constexpr std::chrono::seconds UnpublishedSignalLifetime{60};

} // namespace

void server_directory::retainSignals(const server_start &start, const retained_signals &signals)
{
    const auto now = m_clock.now();
    std::erase_if(m_unpublished, [&](const auto &entry) { return now >= entry.second.expiresAt; });
    m_unpublished[start] = {signals, now + UnpublishedSignalLifetime};
    std::erase_if(m_announcedLeaving, [&](const server_start &each) { return !isTracked(each); });
}

bool server_directory::isTracked(const server_start &start) const
{
    if (const auto known = find(start.id); known && known->record.start() == start)
        return true;
    const auto unpublished = m_unpublished.find(start);
    return unpublished != m_unpublished.end() && m_clock.now() < unpublished->second.expiresAt;
}

bool server_directory::onPeerReportedLeaving(const server_start &start)
{
    const auto known = find(start.id);
    if (known && known->record.start() == start) {
        if (std::exchange(known->announcedLeaving, true))
            return false;
        m_announcedLeaving.insert(start);
        notifyChange(known->record.service);
        return true;
    }
    if (known && start.startedAt < known->record.startedAt)
        return false;
    retained_signals signals;
    if (const auto unpublished = m_unpublished.find(start); unpublished != m_unpublished.end())
        signals = unpublished->second.signals;
    if (std::exchange(signals.announcedLeaving, true))
        return false;
    m_announcedLeaving.insert(start);
    retainSignals(start, signals);
    return true;
}

std::vector<server_start> server_directory::leavingStarts() const
{
    std::vector<server_start> starts;
    std::ranges::copy_if(m_announcedLeaving, std::back_inserter(starts),
                         [&](const server_start &each) { return isTracked(each); });
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
    const auto first = std::ranges::min(servers, {}, &server::acceptsFrom)->acceptsFrom();
    if (first <= now)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(first - now);
}

// Servers that refuse requests are skipped like servers in a backoff, as long as other servers are
// left: the pool's host, which chooses servers for this node, does not see the refusals.
std::vector<backend_server_id> server_directory::excludedServers(const service_id &service,
                                                                 const residency &allowed) const
{
    const auto now = m_clock.now();
    std::vector<backend_server_id> excluded;
    std::vector<backend_server_id> refusing;
    const auto servers = usable(service, allowed);
    for (const auto &each : servers) {
        if (!each->accepts(now))
            excluded.push_back(each->record.id);
        else if (each->consecutiveRefusals > 0 && now < each->avoidUntil)
            refusing.push_back(each->record.id);
    }
    if (excluded.size() + refusing.size() < servers.size())
        std::ranges::copy(refusing, std::back_inserter(excluded));
    return excluded;
}

std::vector<backend_server_id> server_directory::silentServers(const service_id &service) const
{
    const auto now = m_clock.now();
    std::vector<backend_server_id> silent;
    for (const auto &each : usable(service)) {
        if (each->outstanding > 0 && now - each->heardAt > MaxPause)
            silent.push_back(each->record.id);
    }
    return silent;
}

void server_directory::onRefused(server &backend)
{
    const auto now = m_clock.now();
    if (backend.consecutiveRefusals > 0 && now < backend.avoidUntil)
        return; // the request was sent before the last refusal was known
    auto time = InitialRefusalAvoidance;
    for (std::uint32_t i = 0; i < std::min(backend.consecutiveRefusals, MaxRefusalGrowthSteps); ++i)
        time *= RefusalAvoidanceGrowth;
    ++backend.consecutiveRefusals;
    backend.avoidUntil = std::max(backend.avoidUntil, now + time);
}

void server_directory::onRetryAfter(server &backend, milliseconds time)
{
    const auto now = m_clock.now();
    if (now + time <= backend.backoffUntil)
        return;
    const std::chrono::duration<double> extension =
        time * (m_backoffJitter ? m_backoffJitter() : 0.0);
    backend.backoffUntil = now + time + std::chrono::ceil<milliseconds>(extension);
    backend.probing = true;
    if (m_onBackoff)
        m_onBackoff(backend, time);
}

void server_directory::onSending(server &backend)
{
    backend.sentAt = m_clock.now();
    if (backend.probing)
        backend.probeUntil = m_clock.now() + ProbeTimeout;
    if (m_onSent)
        m_onSent(backend.record.dataCenter);
}

void server_directory::onSignals(server &backend, const server_signals &reported)
{
    onRateLimit(backend, reported.rateLimit);
    if (reported.leaving && !std::exchange(backend.announcedLeaving, true)) {
        m_announcedLeaving.insert(backend.record.start());
        notifyChange(backend.record.service);
        if (m_onLeavingAnnounced)
            m_onLeavingAnnounced(backend);
    }
    const auto refusals = reported.brittleness.refusalsPerSecond;
    if (reported.brittleness.valid && setBrittle(backend, refusals) && m_onBrittleReported)
        m_onBrittleReported({backend.record.start(), *refusals});
    const auto now = m_clock.now();
    if (reported.load) {
        backend.load = reported.load;
        backend.loadReportedAt = now;
        if (reported.load->timePercent)
            onReportedTime(backend, *reported.load->timePercent, now);
    }
    if (reported.retryAfter)
        onRetryAfter(backend, *reported.retryAfter);
    if (reported.refused)
        onRefused(backend);
    // A response that was already under way does not end a backoff that was requested since.
    if (reported.accepted) {
        backend.consecutiveRefusals = 0;
        backend.probing = backend.probing && now < backend.backoffUntil;
    }
}

bool server_directory::setBrittle(server &backend, std::optional<std::uint32_t> refusals)
{
    const auto before = std::exchange(backend.brittleRefusals, refusals);
    if (before == refusals || find(backend.record.id).get() != &backend)
        return false;
    if (refusals)
        return m_brittle.insert(backend.record.id).second;
    m_brittle.erase(backend.record.id);
    return false;
}

bool server_directory::onPeerReportedBrittle(const brittle_server &reported)
{
    const auto known = find(reported.server.id);
    if (!known || known->record.start() != reported.server || known->brittleRefusals)
        return false;
    return setBrittle(*known, reported.refusalsPerSecond);
}

std::vector<brittle_server> server_directory::brittleServers() const
{
    std::vector<brittle_server> found;
    for (const auto &id : m_brittle) {
        const auto &known = *m_servers.at(id);
        found.push_back({known.record.start(), known.brittleRefusals.value_or(0)});
    }
    return found;
}

void server_directory::onLateSignals(server &backend, server_signals reported)
{
    reported.rateLimit = NoSignals.rateLimit;
    reported.brittleness = NoSignals.brittleness;
    onSignals(backend, reported);
}

void server_directory::onReportedTime(server &backend, std::uint32_t percent,
                                      steady_time receivedAt)
{
    if (!backend.reportedTime || backend.reportedTime->at <= receivedAt)
        backend.reportedTime = {percent, receivedAt};
}

void server_directory::onRateLimit(server &backend, const reported_rate_limit &reported)
{
    onRateLimit(backend, reported, m_clock.now());
}

void server_directory::onRateLimit(server &backend, const reported_rate_limit &reported,
                                   steady_time receivedAt)
{
    if (!reported.valid || receivedAt < backend.rateLimitReportedAt)
        return;
    backend.rateLimitReportedAt = receivedAt;
    if (reported.perSecond == backend.rateLimit)
        return;
    const auto before = std::exchange(backend.rateLimit, reported.perSecond);
    if (m_onRateLimitChanged)
        m_onRateLimitChanged(backend, before);
}

} // namespace orchidlead::gateway
