#include "gateway/servers/server_directory.h"

#include "gateway/servers/server_choice.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Consecutive failures after which a server is avoided. A single failure may be one lost response;
// a server that fails two in five requests soon has two consecutive failures.
constexpr std::uint32_t FailuresBeforeAvoidance = 2;
// Initial avoidance time, and how often it may be doubled; each further failure doubles it.
constexpr milliseconds InitialAvoidance{1000};
constexpr std::uint32_t MaxAvoidanceDoublings = 2;
// How long servers are treated as cold after the evacuation of their data centre, in which they may
// have become cold. They publish their cold phase with one of their next heartbeats, one to two
// seconds later; the store and its readers take another second.
constexpr milliseconds ColdReportDelay{3500};
// Share of a cold server's rate that all nodes together send. The server may count more requests in
// a second than were sent in one, since connections and busy nodes bunch requests. The platform
// allows one and a half times the rate plus a few requests, so two nodes that each use the whole
// share because neither knows of the other still stay within the limit of the platform.
constexpr double ColdRateShare = 0.75;
// Only the server's responses show that its limit has ended, so even a server with a limit of 0
// gets one request every four seconds.
constexpr double MinRateLimit = 0.25;
// A rate-limited server may get at once the requests that it did not get in this time. Requests
// arrive unevenly; without the burst they would be refused while the server is idle.
constexpr std::chrono::duration<double> BurstWindow{0.2};

} // namespace

std::string rateLimitText(const std::optional<double> &perSecond)
{
    if (!perSecond)
        return "none";
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), *perSecond).ptr;
    return {text.data(), end};
}

std::optional<effective_rate_limit> server::effectiveRateLimit(steady_time now) const
{
    std::optional<effective_rate_limit> found;
    if (cold(now) && coldStart.requestsPerSecond > 0)
        found = effective_rate_limit{ColdRateShare * coldStart.requestsPerSecond};
    if (!rateLimit)
        return found;
    const double limit = std::max(*rateLimit, MinRateLimit);
    if (!found || limit < found->perSecond)
        found = effective_rate_limit{limit, std::max(1.0, BurstWindow.count() * limit)};
    return found;
}

bool server::isIn(const pool_key &pool) const
{
    return record.service == pool.service
        && (pool.dataCenter.empty() || record.dataCenter == pool.dataCenter)
        && (pool.region.empty() || region == pool.region);
}

server_directory::server_directory(const clock_source &clock)
    : m_clock(clock)
    , m_removedVersions(clock)
{ }

void server_directory::setRegions(std::map<data_center_id, region_id> regions)
{
    m_regions = std::move(regions);
    m_severalRegions = std::ranges::any_of(
        m_regions, [&](const auto &entry) { return entry.second != m_regions.begin()->second; });
}

region_id server_directory::regionOf(const data_center_id &dataCenter) const
{
    const auto found = m_regions.find(dataCenter);
    return found == m_regions.end() ? region_id{} : found->second;
}

void server_directory::notifyChange(const service_id &service)
{
    ++m_changes;
    if (m_onChange)
        m_onChange(service);
}

// A record without a start time never replaces the start time that is already known.
void server_directory::put(const server_record &published, milliseconds coldTimeLeft)
{
    auto record = published;
    if (const auto known = find(record.id)) {
        if (!record.startedAt)
            record.startedAt = known->record.startedAt;
        if (record.startedAt < known->record.startedAt)
            return;
        const bool moved = record.service != known->record.service
            || record.dataCenter != known->record.dataCenter
            || record.version != known->record.version;
        if (moved || record.startedAt != known->record.startedAt)
            remove(record.id);
    }
    auto &entry = m_servers[record.id];
    const auto coldUntil = m_clock.now() + coldTimeLeft;
    if (!entry) {
        entry = std::make_shared<server>();
        if (const auto unpublished = m_unpublished.extract(record.start()); !unpublished.empty())
            static_cast<retained_signals &>(*entry) = unpublished.mapped().signals;
        entry->record = record;
        if (entry->brittleRefusals)
            m_brittle.insert(record.id);
        entry->coldStart = m_coldStarts[record.service];
        entry->coldUntil = coldUntil;
        entry->region = regionOf(record.dataCenter);
        entry->unreachable = m_unreachable.contains(record.dataCenter);
        entry->evacuated = m_evacuated.contains(record.dataCenter);
        auto &servers = m_byService[record.service];
        servers.all.push_back(entry);
        servers.byDataCenter[record.dataCenter].push_back(entry);
        ++servers.versions[record.version];
        if (!record.leaving)
            onReady(record, true);
        notifyChange(record.service);
        return;
    }
    if (coldTimeLeft > milliseconds{0})
        entry->coldUntil = coldUntil;
    const bool differs = entry->record.leaving != record.leaving;
    if (differs)
        onReady(record, !record.leaving);
    entry->record = record;
    if (differs)
        notifyChange(record.service);
}

void server_directory::setColdStart(const service_id &service, const cold_start_settings &start)
{
    m_coldStarts[service] = start;
    for (const auto &each : m_byService[service].all)
        each->coldStart = start;
}

void server_directory::remove(const backend_server_id &id)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    const auto entry = found->second;
    entry->removed = true;
    retainSignals(entry->record.start(), *entry);
    auto &servers = m_byService[entry->record.service];
    std::erase(servers.all, entry);
    std::erase(servers.byDataCenter[entry->record.dataCenter], entry);
    m_servers.erase(found);
    m_brittle.erase(entry->record.id);
    if (const auto version = servers.versions.find(entry->record.version); --version->second == 0)
        servers.versions.erase(version);
    if (!entry->record.leaving)
        onReady(entry->record, false);
    m_removedVersions.onRemoved(entry->record.service, entry->record.version);
    notifyChange(entry->record.service);
}

bool server_directory::hasUsable(const service_id &service, const software_version &version) const
{
    return anyUsable(service, {},
                     [&](const server &each) { return each.record.version == version; });
}

std::set<software_version> server_directory::versionsSince(const service_id &service,
                                                           steady_time since) const
{
    std::set<software_version> versions;
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        for (const auto &[version, count] : found->second.versions)
            versions.insert(version);
    }
    versions.merge(m_removedVersions.removedSince(service, since));
    return versions;
}

void server_directory::onReady(const server_record &record, bool ready)
{
    m_readyChanges.push_back({record.service, record.id, record.version, ready});
}

std::vector<ready_change> server_directory::takeReadyChanges()
{
    return std::exchange(m_readyChanges, {});
}

bool server_directory::startedBefore(const service_id &service, wall_time time) const
{
    const auto found = m_byService.find(service);
    return found != m_byService.end() && !found->second.all.empty()
        && std::ranges::all_of(found->second.all, [&](const server_ptr &each) {
               const auto &startedAt = each->record.startedAt;
               return startedAt && wall_time(milliseconds(*startedAt)) < time;
           });
}

bool server_directory::mayReturn(const service_id &service, const software_version &version) const
{
    const auto found = m_byService.find(service);
    return found != m_byService.end()
        && std::ranges::any_of(found->second.all, [&](const server_ptr &each) {
               return each->hasVersion(version) && !each->isLeaving();
           });
}

void server_directory::setUnreachable(const data_center_id &dataCenter, bool unreachable)
{
    if (unreachable)
        m_unreachable.insert(dataCenter);
    else
        m_unreachable.erase(dataCenter);
    updateServersIn(dataCenter, [&](server &each) { each.unreachable = unreachable; });
}

void server_directory::setEvacuated(const data_center_id &dataCenter, bool evacuated)
{
    if (evacuated)
        m_evacuated.insert(dataCenter);
    else
        m_evacuated.erase(dataCenter);
    const auto now = m_clock.now();
    updateServersIn(dataCenter, [&](server &each) {
        const bool reopened = std::exchange(each.evacuated, evacuated) && !evacuated;
        if (reopened)
            each.coldUntil = std::max(each.coldUntil,
                                      now + std::min(each.coldStart.coldDuration, ColdReportDelay));
    });
}

template <class Update>
void server_directory::updateServersIn(const data_center_id &dataCenter, Update update)
{
    std::set<service_id> services;
    for (const auto &[id, each] : m_servers) {
        if (each->record.dataCenter != dataCenter)
            continue;
        update(*each);
        services.insert(each->record.service);
    }
    for (const auto &service : services)
        notifyChange(service);
}

template <class Predicate>
server_ptr server_directory::nextAfter(backend_server_id &last, Predicate fits)
{
    const auto entryFits = [&](const auto &entry) { return fits(*entry.second); };
    auto found = std::find_if(m_servers.upper_bound(last), m_servers.end(), entryFits);
    if (found == m_servers.end())
        found = std::find_if(m_servers.begin(), m_servers.end(), entryFits);
    if (found == m_servers.end())
        return nullptr;
    last = found->first;
    return found->second;
}

server_ptr server_directory::nextServerIn(const data_center_id &dataCenter)
{
    return nextAfter(m_lastReturned,
                     [&](const server &each) { return each.record.dataCenter == dataCenter; });
}

server_ptr server_directory::nextUsableServer()
{
    return nextAfter(m_lastUsable, [](const server &each) { return each.usable(); });
}

template <class Predicate>
server_ptr server_directory::pickInTurn(const std::vector<server_ptr> &servers, std::size_t turn,
                                        Predicate fits)
{
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto &each = servers[(turn + i) % servers.size()];
        if (fits(each))
            return each;
    }
    return nullptr;
}

std::vector<server_ptr> server_directory::diverseServers(const server_record &from,
                                                         const data_center_id &preferredDataCenter,
                                                         std::size_t count)
{
    const auto turn = m_diverseTurn++;
    std::vector<server_ptr> chosen;
    const auto isNew = [&](const server_ptr &each) {
        return each->usable() && each->record.id != from.id
            && std::ranges::find(chosen, each) == chosen.end();
    };
    for (const auto &[service, servers] : m_byService) {
        if (chosen.size() == count)
            return chosen;
        if (service == from.service)
            continue;
        server_ptr found;
        if (const auto near = servers.byDataCenter.find(preferredDataCenter);
            near != servers.byDataCenter.end())
            found = pickInTurn(near->second, turn, isNew);
        if (!found)
            found = pickInTurn(servers.all, turn, isNew);
        if (found)
            chosen.push_back(found);
    }
    const auto same = m_byService.find(from.service);
    while (same != m_byService.end() && chosen.size() < count) {
        const auto found = pickInTurn(same->second.all, turn, isNew);
        if (!found)
            break;
        chosen.push_back(found);
    }
    return chosen;
}

server_ptr server_directory::find(const backend_server_id &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : found->second;
}

std::vector<server_ptr> server_directory::all() const
{
    std::vector<server_ptr> servers;
    servers.reserve(m_servers.size());
    for (const auto &[id, each] : m_servers)
        servers.push_back(each);
    return servers;
}

server_ptr server_directory::findAt(const socket_address &address) const
{
    for (const auto &[id, each] : m_servers) {
        if (each->record.address == address && !each->removed)
            return each;
    }
    return nullptr;
}

std::vector<server_ptr> server_directory::usable(const service_id &service,
                                                 const residency &allowed) const
{
    std::vector<server_ptr> servers;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return servers;
    std::ranges::copy_if(
        found->second.all, std::back_inserter(servers),
        [&](const server_ptr &each) { return each->usable() && allowed.allows(each->region); });
    return servers;
}

const std::vector<server_ptr> *server_directory::findServerList(const pool_key &pool) const
{
    const auto found = m_byService.find(pool.service);
    if (found == m_byService.end())
        return nullptr;
    if (pool.dataCenter.empty())
        return &found->second.all;
    const auto there = found->second.byDataCenter.find(pool.dataCenter);
    return there == found->second.byDataCenter.end() ? nullptr : &there->second;
}

std::vector<server_ptr> server_directory::usable(const pool_key &pool) const
{
    std::vector<server_ptr> servers;
    if (const auto *list = findServerList(pool))
        std::ranges::copy_if(*list, std::back_inserter(servers), [&](const server_ptr &each) {
            return each->usable() && each->isIn(pool);
        });
    return servers;
}

bool server_directory::usableIn(const service_id &service, const data_center_id &dataCenter) const
{
    const auto *list = findServerList({service, dataCenter, {}});
    return list
        && std::ranges::any_of(*list, [](const server_ptr &each) { return each->usable(); });
}

template <class Predicate>
bool server_directory::anyUsable(const service_id &service, const residency &allowed,
                                 Predicate fits) const
{
    const auto found = m_byService.find(service);
    return found != m_byService.end()
        && std::ranges::any_of(found->second.all, [&](const server_ptr &each) {
               return each->usable() && allowed.allows(each->region) && fits(*each);
           });
}

bool server_directory::anyBrittle(const service_id &service, const residency &allowed) const
{
    return anyUsable(service, allowed,
                     [](const server &each) { return each.brittleRefusals.has_value(); });
}

bool server_directory::needsSharedCount(const service_id &service, const residency &allowed) const
{
    const auto now = m_clock.now();
    return anyUsable(service, allowed, [now](const server &each) {
        return each.brittleRefusals || each.effectiveRateLimit(now);
    });
}

bool server_directory::anyRateLimited(const service_id &service, const residency &allowed) const
{
    return anyUsable(service, allowed, [now = m_clock.now()](const server &each) {
        return each.effectiveRateLimit(now).has_value();
    });
}

bool server_directory::allRateLimited(const service_id &service, const residency &allowed) const
{
    return anyRateLimited(service, allowed)
        && !anyUsable(service, allowed, [now = m_clock.now()](const server &each) {
               return !each.effectiveRateLimit(now);
           });
}

template <class Predicate>
unavailability server_directory::unavailabilityAmong(const service_id &service,
                                                     unavailability defaultReason,
                                                     Predicate isRelevant) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return defaultReason;
    auto reason = defaultReason;
    for (const auto &each : found->second.all) {
        if (!isRelevant(*each))
            continue;
        if (each->usable())
            return unavailability::None;
        const bool isLeaving = !each->removed && !each->unreachable && each->isLeaving();
        if (each->evacuated && !each->isLeaving())
            reason = unavailability::Evacuated;
        else if (isLeaving && reason != unavailability::Evacuated)
            reason = unavailability::Leaving;
    }
    return reason;
}

unavailability server_directory::unavailabilityOf(const service_id &service,
                                                  const residency &allowed) const
{
    const auto defaultReason =
        allowed.restricted() ? unavailability::NoServerInRegion : unavailability::NoneReachable;
    return unavailabilityAmong(service, defaultReason,
                               [&](const server &each) { return allowed.allows(each.region); });
}

unavailability server_directory::unavailabilityOf(const pool_key &pool) const
{
    return unavailabilityAmong(pool.service, unavailability::NoneReachable,
                               [&](const server &each) { return each.isIn(pool); });
}

server_ptr server_directory::choose(const server_query &query) const
{
    return chooseServer(
        usable(query.service, query.allowed), query,
        {m_clock.now(), m_self, m_severalRegions, regionOf(query.preferredDataCenter)});
}

void server_directory::onResponseBegin(const server &backend) const
{
    if (m_onDataCenterAnswered)
        m_onDataCenterAnswered(backend.record.dataCenter);
}

void server_directory::onAnswer(server &backend)
{
    onResponseBegin(backend);
    backend.lastAnswerAt = m_clock.now();
    const bool wasAvoided = backend.consecutiveFailures >= FailuresBeforeAvoidance;
    backend.consecutiveFailures = 0;
    backend.avoidUntil = {};
    if (wasAvoided && m_onAvoidanceChanged)
        m_onAvoidanceChanged(backend, false);
}

// Says nothing about whether this node can reach the server's data centre.
void server_directory::onReportedAnswer(server &backend)
{
    const bool wasAvoided = backend.consecutiveFailures >= FailuresBeforeAvoidance;
    backend.consecutiveFailures = 0;
    if (!wasAvoided)
        return;
    backend.avoidUntil = {};
    if (m_onAvoidanceChanged)
        m_onAvoidanceChanged(backend, false);
}

void server_directory::onFailure(server &backend)
{
    ++backend.consecutiveFailures;
    if (backend.consecutiveFailures < FailuresBeforeAvoidance)
        return;
    const auto doublings =
        std::min(backend.consecutiveFailures - FailuresBeforeAvoidance, MaxAvoidanceDoublings);
    backend.avoidUntil = m_clock.now() + InitialAvoidance * (1U << doublings);
    if (backend.consecutiveFailures == FailuresBeforeAvoidance && m_onAvoidanceChanged)
        m_onAvoidanceChanged(backend, true);
}

} // namespace orchidlead::gateway
