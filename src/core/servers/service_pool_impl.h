#pragma once

// Definitions of the class template service_pool.

#include "core/servers/service_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace orchidlead {

namespace pool_constants {
/// Weights of a new sample in the moving averages of a server's latency and of the pool.
inline constexpr double LatencyWeight = 1.0 / 6;
inline constexpr double PoolAverageWeight = 1.0 / 32;
inline constexpr double DecayPerInterval = 0.1;
inline constexpr std::chrono::seconds DecayInterval{1};
inline constexpr milliseconds DefaultBackoff{50};
inline constexpr std::chrono::seconds BusyWindow{1};
inline constexpr milliseconds MaxBackoff{5'000};
inline constexpr std::chrono::seconds LeavingHoldTime{5};
/// Weight of a new sample in the moving average of the queue wait.
inline constexpr double QueueWaitWeight = 1.0 / 16;
inline constexpr double LowLaneShare = 1.0 / 8; ///< as in `fair_queue::LowLaneEvery`
} // namespace pool_constants

template <class Policies>
std::uint32_t service_pool<Policies>::addServer(const backend_server &server)
{
    std::uint32_t slot = 0;
    if (!m_freeSlots.empty()) {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    } else {
        slot = static_cast<std::uint32_t>(m_servers.size());
        m_servers.emplace_back();
        m_entries.emplace_back();
        m_positions.push_back(NoPosition);
    }
    m_servers[slot] = server_entry{};
    m_entries[slot] = routing_entry{};
    m_entries[slot].nameHash = XXH64(server.id.value.data(), server.id.value.size(), 0);
    m_slots[server.id] = slot;
    return slot;
}

template <class Policies>
void service_pool<Policies>::setMembers(const std::vector<backend_server> &servers,
                                        const std::unordered_set<backend_server_id> &leaving,
                                        steady_time now)
{
    for (server_entry &entry : m_servers)
        entry.member = false;
    for (const backend_server &server : servers) {
        const auto found = m_slots.find(server.id);
        const std::uint32_t slot = found == m_slots.end() ? addServer(server) : found->second;
        m_servers[slot].server = server;
        m_servers[slot].member = true;
        m_servers[slot].listedLeaving = leaving.count(server.id) > 0;
        m_entries[slot].local = server.dataCenter == m_dataCenter;
    }
    std::vector<std::uint32_t> members;
    for (std::uint32_t slot = 0; slot < m_servers.size(); ++slot) {
        m_detector.setMember(slot, m_servers[slot].member);
        if (m_servers[slot].member)
            members.push_back(slot);
        // The server's data centre may have changed, and with it the list that holds the slot.
        unlist(slot);
    }
    m_members = static_cast<std::uint32_t>(members.size());
    m_router.onMembers(m_entries, members);
    updateAllAvailability(now);
    for (std::uint32_t slot = 0; slot < m_servers.size(); ++slot)
        releaseIfUnused(slot);
}

template <class Policies>
void service_pool<Policies>::releaseIfUnused(std::uint32_t slot)
{
    const server_entry &entry = m_servers[slot];
    if (entry.member || m_entries[slot].outstanding > 0)
        return;
    const auto found = m_slots.find(entry.server.id);
    if (found == m_slots.end() || found->second != slot)
        return;
    m_slots.erase(found);
    m_freeSlots.push_back(slot);
}

template <class Policies>
void service_pool<Policies>::setListedLeaving(const std::unordered_set<backend_server_id> &leaving,
                                              steady_time now)
{
    for (server_entry &entry : m_servers)
        entry.listedLeaving = leaving.count(entry.server.id) > 0;
    updateAllAvailability(now);
}

// A report may be older than the refusal in which the server stated that it is leaving.
template <class Policies>
void service_pool<Policies>::onReport(const load_report &report, steady_time now)
{
    const auto found = m_slots.find(report.server);
    if (found == m_slots.end())
        return;
    server_entry &entry = m_servers[found->second];
    m_entries[found->second].reported = report.running + report.queued;
    entry.limit.onReport(report.running, report.queued, now);
    const bool held =
        entry.reportedLeaving && now - entry.reportedLeavingAt < pool_constants::LeavingHoldTime;
    if (report.leaving || !held)
        entry.reportedLeaving = report.leaving;
    if (report.leaving)
        entry.reportedLeavingAt = now;
    updateAllAvailability(now);
}

template <class Policies>
std::optional<routing_choice> service_pool<Policies>::pick(const routing_request &request,
                                                           random_source &random)
{
    routing_view view;
    view.entries = m_entries;
    view.local = m_local;
    view.remote = m_remote;
    view.meanOutstanding = m_members == 0 ? 0.0 : static_cast<double>(m_inFlight) / m_members;
    view.meanLatency = m_poolLatency;
    return m_router.pick(view, request, random);
}

template <class Policies>
void service_pool<Policies>::onDispatched(std::uint32_t slot, steady_time now)
{
    ++m_entries[slot].outstanding;
    ++m_inFlight;
    updateAvailability(slot, now);
}

template <class Policies>
void service_pool<Policies>::onReleased(std::uint32_t slot, steady_time now)
{
    --m_entries[slot].outstanding;
    --m_inFlight;
    updateAvailability(slot, now);
    releaseIfUnused(slot);
}

// Normalizes an attempt's duration for the size of the input, so that it reflects the server's
// speed.
template <class Policies>
double service_pool<Policies>::normalized(duration elapsed, duration medianTime) const
{
    const double time = std::chrono::duration<double, std::milli>(elapsed).count();
    const double medianMilliseconds = std::chrono::duration<double, std::milli>(medianTime).count();
    return medianMilliseconds > 0.0 && m_poolLatency > 0.0
        ? time / medianMilliseconds * m_poolLatency
        : time;
}

template <class Policies>
void service_pool<Policies>::observe(std::uint32_t slot, duration elapsed, duration medianTime)
{
    using namespace pool_constants;
    const double time = std::chrono::duration<double, std::milli>(elapsed).count();
    m_meanDuration =
        m_meanDuration == 0.0 ? time : m_meanDuration + (time - m_meanDuration) * PoolAverageWeight;
    const double sample = normalized(elapsed, medianTime);
    m_poolLatency = m_poolLatency == 0.0
        ? sample
        : m_poolLatency + (std::min(sample, 4 * m_poolLatency) - m_poolLatency) * PoolAverageWeight;
    double &latency = m_entries[slot].latency;
    latency = latency == 0.0 ? sample : latency + (sample - latency) * LatencyWeight;
}

template <class Policies>
health_change service_pool<Policies>::onAnswered(std::uint32_t slot, duration elapsed,
                                                 duration medianTime, steady_time now)
{
    server_entry &entry = m_servers[slot];
    ++entry.answers;
    entry.lastSample = now;
    m_lastAnswer = now;
    m_latencies.observe(elapsed);
    observe(slot, elapsed, medianTime);
    decayStaleLatencies(now);
    const duration sample{static_cast<std::int64_t>(m_entries[slot].latency * 1000.0)};
    entry.limit.onAnswer(sample, m_entries[slot].outstanding - 1, now);
    breaker.onSuccess();
    const health_change change = onHealth(slot, m_detector.onSuccess(slot), now);
    onReleased(slot, now);
    return change;
}

template <class Policies>
health_change service_pool<Policies>::onFailed(std::uint32_t slot, attempt_failure failure,
                                               std::optional<milliseconds> retryAfter,
                                               steady_time now)
{
    server_entry &entry = m_servers[slot];
    ++entry.failures;
    // A pool that refuses some attempts and answers others is busy and must not open the breaker.
    const bool busy =
        failure == attempt_failure::Refused && now - m_lastAnswer < pool_constants::BusyWindow;
    if (!busy)
        breaker.onFailure(slot, m_members, now);
    health_change change = health_change::None;
    switch (failure) {
    case attempt_failure::Leaving:
        entry.reportedLeaving = true;
        entry.reportedLeavingAt = now;
        break;
    case attempt_failure::Refused:
        entry.limit.onRefused(m_entries[slot].outstanding - 1, now);
        backOff(entry, retryAfter, now);
        break;
    case attempt_failure::NotSent:
    case attempt_failure::Broken:
    case attempt_failure::TimedOut:
    case attempt_failure::BadAnswer:
    case attempt_failure::ServerError:
        change = onHealth(slot, m_detector.onFailure(slot, now), now);
        break;
    }
    onReleased(slot, now);
    if (failure == attempt_failure::Leaving)
        updateAllAvailability(now);
    return change;
}

template <class Policies>
health_change service_pool<Policies>::onSuspicionTimeout(std::uint32_t slot, duration elapsed,
                                                         duration medianTime, steady_time now)
{
    onLatencyLowerBound(slot, elapsed, medianTime, now);
    breaker.onFailure(slot, m_members, now);
    const health_change change = onHealth(slot, m_detector.onFailure(slot, now), now);
    updateAvailability(slot, now);
    return change;
}

template <class Policies>
void service_pool<Policies>::onLatencyLowerBound(std::uint32_t slot, duration elapsed,
                                                 duration medianTime, steady_time now)
{
    double &latency = m_entries[slot].latency;
    const double lowerBound = normalized(elapsed, medianTime);
    if (lowerBound <= latency)
        return;
    latency = lowerBound;
    m_servers[slot].lastSample = now;
    // Attempts that expire while they wait give no answer, so a limit updated only by answers
    // would never shrink.
    const duration sample{static_cast<std::int64_t>(lowerBound * 1000.0)};
    m_servers[slot].limit.onAnswer(sample, m_entries[slot].outstanding - 1, now);
}

template <class Policies>
health_change service_pool<Policies>::onHealth(std::uint32_t slot, health_change change,
                                               steady_time now)
{
    if (change == health_change::Restored) {
        m_entries[slot].slowStartBegin = now;
        m_servers[slot].limit = limit_type{};
    }
    if (change == health_change::Ejected)
        wakeAt(m_detector.nextProbeAt().value_or(now));
    return change;
}

template <class Policies>
void service_pool<Policies>::backOff(server_entry &entry, std::optional<milliseconds> retryAfter,
                                     steady_time now)
{
    using namespace pool_constants;
    const milliseconds asked = retryAfter.value_or(DefaultBackoff);
    entry.backoffUntil = now + std::clamp(asked, milliseconds{1}, MaxBackoff);
    wakeAt(entry.backoffUntil);
}

template <class Policies>
void service_pool<Policies>::wakeAt(steady_time at)
{
    m_nextWake = m_nextWake ? std::min(*m_nextWake, at) : at;
}

template <class Policies>
void service_pool<Policies>::onWake(steady_time now)
{
    if (!m_nextWake || *m_nextWake > now)
        return;
    m_nextWake.reset();
    (void)m_detector.startDueProbes(now);
    if (const auto due = m_detector.nextProbeAt())
        wakeAt(*due);
    for (const server_entry &entry : m_servers) {
        if (entry.member && entry.backoffUntil > now)
            wakeAt(entry.backoffUntil);
    }
    updateAllAvailability(now);
}

// A server that is avoided gives no new samples. Without decay towards the pool's latency it would
// be avoided for ever.
template <class Policies>
void service_pool<Policies>::decayStaleLatencies(steady_time now)
{
    using namespace pool_constants;
    if (now - m_lastDecay < DecayInterval)
        return;
    m_lastDecay = now;
    for (std::uint32_t slot = 0; slot < m_servers.size(); ++slot) {
        double &latency = m_entries[slot].latency;
        if (latency > 0.0 && now - m_servers[slot].lastSample >= DecayInterval)
            latency += (m_poolLatency - latency) * DecayPerInterval;
    }
}

template <class Policies>
std::uint32_t service_pool<Policies>::effectiveLimit(std::uint32_t slot) const
{
    if (m_detector.health(slot) == server_health::Probing)
        return 1;
    return std::max<std::uint32_t>(1, m_servers[slot].limit.limit());
}

template <class Policies>
bool service_pool<Policies>::isAvailable(std::uint32_t slot, steady_time now) const
{
    const server_entry &entry = m_servers[slot];
    if (!entry.member || entry.leaving() || entry.backoffUntil > now)
        return false;
    if (m_detector.health(slot) == server_health::Ejected)
        return false;
    return m_entries[slot].outstanding < effectiveLimit(slot);
}

template <class Policies>
void service_pool<Policies>::updateAvailability(std::uint32_t slot, steady_time now)
{
    routing_entry &entry = m_entries[slot];
    entry.limit = effectiveLimit(slot);
    entry.probing = m_detector.health(slot) == server_health::Probing;
    const bool available = isAvailable(slot, now);
    if (available == entry.available)
        return;
    available ? list(slot) : unlist(slot);
}

template <class Policies>
void service_pool<Policies>::updateAllAvailability(steady_time now)
{
    m_usable = 0;
    for (std::uint32_t slot = 0; slot < m_servers.size(); ++slot) {
        updateAvailability(slot, now);
        const server_entry &entry = m_servers[slot];
        m_usable += entry.member && !entry.leaving() ? 1 : 0;
    }
}

template <class Policies>
void service_pool<Policies>::list(std::uint32_t slot)
{
    std::vector<std::uint32_t> &slots = m_entries[slot].local ? m_local : m_remote;
    m_entries[slot].available = true;
    m_positions[slot] = static_cast<std::uint32_t>(slots.size());
    slots.push_back(slot);
}

template <class Policies>
void service_pool<Policies>::unlist(std::uint32_t slot)
{
    if (!m_entries[slot].available)
        return;
    const std::uint32_t position = m_positions[slot];
    const bool isLocal = position < m_local.size() && m_local[position] == slot;
    std::vector<std::uint32_t> &slots = isLocal ? m_local : m_remote;
    m_positions[slots.back()] = position;
    slots[position] = slots.back();
    slots.pop_back();
    m_positions[slot] = NoPosition;
    m_entries[slot].available = false;
}

template <class Policies>
void service_pool<Policies>::onStarted(std::uint32_t lane, steady_time now)
{
    decayStartRates(now);
    m_startRates[std::min(lane, Lanes - 1)] += 1.0;
}

// Each start adds one to a rate that decays exponentially with a time constant of 1 s, so that a
// rate approximates the number of starts in the last second.
template <class Policies>
void service_pool<Policies>::decayStartRates(steady_time now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastStart).count();
    m_lastStart = now;
    for (double &rate : m_startRates)
        rate *= std::exp(-seconds);
}

// Starts per second that are left for a lane: those of the pool less those of the lanes above, but
// at least the share that the queue reserves for a lower lane.
template <class Policies>
double service_pool<Policies>::laneRate(std::uint32_t lane) const
{
    using namespace pool_constants;
    const double total = 1000.0 * std::max<std::uint32_t>(1, m_inFlight) / m_meanDuration;
    double left = total;
    for (std::uint32_t above = 0; above < std::min(lane, Lanes); ++above)
        left -= m_startRates[above];
    return std::max(left, LowLaneShare * total);
}

template <class Policies>
auto service_pool<Policies>::queueWait(std::uint32_t lane, std::size_t ahead) const -> duration
{
    const bool idle = hasAvailable() && queue.empty();
    if (idle || m_meanDuration == 0.0)
        return duration{0};
    const double seconds = static_cast<double>(ahead + 1) / laneRate(lane);
    return duration{static_cast<std::int64_t>(seconds * 1e6)};
}

template <class Policies>
void service_pool<Policies>::addExpected(const customer_id &customer)
{
    ++m_expected;
    ++m_expectedOf[customer];
}

template <class Policies>
void service_pool<Policies>::removeExpected(const customer_id &customer)
{
    const auto entry = m_expectedOf.find(customer);
    if (entry == m_expectedOf.end())
        return;
    --m_expected;
    if (--entry->second == 0)
        m_expectedOf.erase(entry);
}

template <class Policies>
std::size_t service_pool<Policies>::ahead(std::uint32_t lane, const customer_id &customer) const
{
    const auto own = m_expectedOf.find(customer);
    const std::size_t customerExpected = own == m_expectedOf.end() ? 0 : own->second;
    return queue.ahead(lane, customer, customerExpected, m_expected);
}

template <class Policies>
service_stats service_pool<Policies>::stats() const
{
    using std::chrono::duration_cast;
    service_stats view;
    view.service = m_id;
    view.servers = m_members;
    for (std::uint32_t slot = 0; slot < m_servers.size(); ++slot) {
        const server_entry &entry = m_servers[slot];
        const bool ejected = m_detector.health(slot) == server_health::Ejected;
        view.usableServers += entry.member && !entry.leaving() && !ejected ? 1 : 0;
        view.failures += entry.failures;
    }
    view.queued = static_cast<std::uint32_t>(queue.size());
    view.inFlight = m_inFlight;
    view.firstTries = firstTries;
    view.retries = retries;
    view.hedges = hedges;
    view.refused = refused;
    view.p50 = duration_cast<milliseconds>(m_latencies.quantile(0.5));
    view.p95 = duration_cast<milliseconds>(m_latencies.quantile(0.95));
    view.p99 = duration_cast<milliseconds>(m_latencies.quantile(0.99));
    view.queueWait = milliseconds{static_cast<std::int64_t>(smoothedQueueWait)};
    return view;
}

template <class Policies>
void service_pool<Policies>::appendServerStats(std::vector<backend_server_stats> &views) const
{
    for (std::uint32_t slot = 0; slot < m_servers.size(); ++slot) {
        const server_entry &entry = m_servers[slot];
        if (!entry.member)
            continue;
        backend_server_stats view;
        view.server = entry.server.id;
        view.service = m_id;
        const server_health health = m_detector.health(slot);
        if (entry.leaving())
            view.state = server_state::Leaving;
        else if (health == server_health::Ejected)
            view.state = server_state::Suspected;
        else if (health == server_health::Probing)
            view.state = server_state::Probing;
        view.outstanding = m_entries[slot].outstanding;
        view.limit = m_entries[slot].limit;
        view.reportedRunning = m_entries[slot].reported;
        view.latency = milliseconds{static_cast<std::int64_t>(m_entries[slot].latency)};
        view.answers = entry.answers;
        view.failures = entry.failures;
        views.push_back(view);
    }
}

} // namespace orchidlead
