#include "gateway/servers/server_directory.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <limits>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Failures in a row after which a server is avoided. One may be a single lost answer; a server that
// fails two in five requests shows two in a row soon.
constexpr std::uint32_t FailuresToAvoid = 2;
// How long a server is avoided at first, and at most; doubled by each further failure.
constexpr milliseconds FirstAvoidance{1000};
constexpr std::uint32_t MaxDoublings = 2;
// A load that was told longer ago says little: requests last less than that.
constexpr milliseconds LoadLifetime{400};
// Cost of sending to another data centre, in requests outstanding at a server.
constexpr double RemoteCost = 0.5;
// The same to another region: a round trip there takes some 40 ms, longer than a request waits
// behind one that runs.
constexpr double FarCost = 2.0;
// Servers may have become cold while their data centre was evacuated, and write so with one of
// their next heartbeats, one or two seconds later; the store and its readers take another.
constexpr milliseconds ColdNewsDelay{3500};
// An answer that is younger than this shows that a server is there.
constexpr milliseconds AnswerLifetime{2000};
// Cost, for a second try, of a server that didn't answer lately: as much as of one whose slots are
// all taken. Servers that ended look idle until the list says otherwise.
constexpr double SilentCost = 1.0;
// Cost of a server that is avoided: any other comes first.
constexpr double AvoidedCost = 1e6;

// Part of what a cold server bears that all nodes together let go to it. What a server counts in a
// second is more than what was sent in one: connections and busy nodes bunch requests. The
// platform's own bound is one and a half times the rate and a few requests, so that two nodes that
// both take the whole share, each for the only one, still keep it.
constexpr double ColdPart = 0.75;
// Only its answers tell that a server's limit is over, so even one that takes nothing is asked once
// in four seconds.
constexpr double LeastLimit = 0.25;
// A limited server may get at once what it didn't get in this time: requests don't come evenly, and
// without it they would be refused while the server has nothing to do.
constexpr std::chrono::duration<double> SavedUp{0.2};

} // namespace

std::string rateLimitText(const std::optional<double> &perSecond)
{
    if (!perSecond)
        return "none";
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), *perSecond).ptr;
    return {text.data(), end};
}

std::optional<rate_bound> server::bound(steady_time now) const
{
    std::optional<rate_bound> found;
    if (cold(now) && coldStart.rate > 0)
        found = rate_bound{ColdPart * coldStart.rate};
    if (!rateLimit)
        return found;
    const double limit = std::max(*rateLimit, LeastLimit);
    if (!found || limit < found->perSecond)
        found = rate_bound{limit, std::max(1.0, SavedUp.count() * limit)};
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

void server_directory::changed(const service_id &service)
{
    ++m_changes;
    if (m_onChange)
        m_onChange(service);
}

// A record that doesn't tell its start says nothing against the one that is known.
void server_directory::put(const server_record &told, milliseconds coldFor)
{
    auto record = told;
    if (const auto known = find(record.id)) {
        if (!record.born)
            record.born = known->record.born;
        if (record.born < known->record.born)
            return;
        const bool moved = record.service != known->record.service
            || record.dataCenter != known->record.dataCenter;
        if (moved || record.born != known->record.born)
            remove(record.id);
    }
    auto &entry = m_servers[record.id];
    const auto coldUntil = m_clock.now() + coldFor;
    if (!entry) {
        entry = std::make_shared<server>();
        if (const auto past = m_past.extract(record.start()); !past.empty())
            static_cast<kept_signals &>(*entry) = past.mapped().signals;
        entry->record = record;
        entry->coldStart = m_coldStarts[record.service];
        entry->coldUntil = coldUntil;
        entry->region = regionOf(record.dataCenter);
        entry->cutOff = m_cutOff.contains(record.dataCenter);
        entry->evacuated = m_evacuated.contains(record.dataCenter);
        auto &servers = m_byService[record.service];
        servers.all.push_back(entry);
        servers.byDataCenter[record.dataCenter].push_back(entry);
        changed(record.service);
        return;
    }
    if (coldFor > milliseconds{0})
        entry->coldUntil = coldUntil;
    const bool differs = entry->record.leaving != record.leaving;
    entry->record = record;
    if (differs)
        changed(record.service);
}

void server_directory::setColdStart(const service_id &service, const cold_start &start)
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
    entry->gone = true;
    keepSignals(entry->record.start(), *entry);
    auto &servers = m_byService[entry->record.service];
    std::erase(servers.all, entry);
    std::erase(servers.byDataCenter[entry->record.dataCenter], entry);
    m_servers.erase(found);
    changed(entry->record.service);
}

void server_directory::setCutOff(const data_center_id &dataCenter, bool cutOff)
{
    if (cutOff)
        m_cutOff.insert(dataCenter);
    else
        m_cutOff.erase(dataCenter);
    changeIn(dataCenter, [&](server &each) { each.cutOff = cutOff; });
}

void server_directory::setEvacuated(const data_center_id &dataCenter, bool evacuated)
{
    if (evacuated)
        m_evacuated.insert(dataCenter);
    else
        m_evacuated.erase(dataCenter);
    const auto now = m_clock.now();
    changeIn(dataCenter, [&](server &each) {
        const bool returns = std::exchange(each.evacuated, evacuated) && !evacuated;
        if (returns)
            each.coldUntil =
                std::max(each.coldUntil, now + std::min(each.coldStart.time, ColdNewsDelay));
    });
}

template <class Change>
void server_directory::changeIn(const data_center_id &dataCenter, Change change)
{
    std::set<service_id> services;
    for (const auto &[id, each] : m_servers) {
        if (each->record.dataCenter != dataCenter)
            continue;
        change(*each);
        services.insert(each->record.service);
    }
    for (const auto &service : services)
        changed(service);
}

server_ptr server_directory::anyIn(const data_center_id &dataCenter)
{
    const auto isThere = [&](const auto &entry) {
        return entry.second->record.dataCenter == dataCenter;
    };
    auto found = std::find_if(m_servers.upper_bound(m_lastAsked), m_servers.end(), isThere);
    if (found == m_servers.end())
        found = std::find_if(m_servers.begin(), m_servers.end(), isThere);
    if (found == m_servers.end())
        return nullptr;
    m_lastAsked = found->first;
    return found->second;
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
        if (each->record.address == address && !each->gone)
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

const std::vector<server_ptr> *server_directory::listFor(const pool_key &pool) const
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
    if (const auto *list = listFor(pool))
        std::ranges::copy_if(*list, std::back_inserter(servers), [&](const server_ptr &each) {
            return each->usable() && each->isIn(pool);
        });
    return servers;
}

bool server_directory::usableIn(const service_id &service, const data_center_id &dataCenter) const
{
    const auto *list = listFor({service, dataCenter, {}});
    return list
        && std::ranges::any_of(*list, [](const server_ptr &each) { return each->usable(); });
}

bool server_directory::anyBounded(const service_id &service, const residency &allowed) const
{
    const auto found = m_byService.find(service);
    const auto now = m_clock.now();
    return found != m_byService.end()
        && std::ranges::any_of(found->second.all, [&](const server_ptr &each) {
               return each->usable() && allowed.allows(each->region) && each->bound(now);
           });
}

bool server_directory::allBounded(const service_id &service, const residency &allowed) const
{
    if (!anyBounded(service, allowed))
        return false;
    const auto now = m_clock.now();
    return std::ranges::all_of(m_byService.at(service).all, [&](const server_ptr &each) {
        return !each->usable() || !allowed.allows(each->region) || each->bound(now);
    });
}

template <class Counts>
server_absence server_directory::absenceAmong(const service_id &service, server_absence otherwise,
                                              Counts counts) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return otherwise;
    auto why = otherwise;
    for (const auto &each : found->second.all) {
        if (!counts(*each))
            continue;
        if (each->usable())
            return server_absence::None;
        const bool leaves = !each->gone && !each->cutOff && each->leaves();
        if (each->evacuated && !each->leaves())
            why = server_absence::Evacuated;
        else if (leaves && why != server_absence::Evacuated)
            why = server_absence::Leaving;
    }
    return why;
}

server_absence server_directory::absenceOf(const service_id &service,
                                           const residency &allowed) const
{
    const auto otherwise = allowed.bound() ? server_absence::OutOfRegion : server_absence::Gone;
    return absenceAmong(service, otherwise,
                        [&](const server &each) { return allowed.allows(each.region); });
}

server_absence server_directory::absenceOf(const pool_key &pool) const
{
    return absenceAmong(pool.service, server_absence::Gone,
                        [&](const server &each) { return each.isIn(pool); });
}

double server_directory::costOf(const server &which, const server_wish &wish) const
{
    const auto now = m_clock.now();
    double cost = which.outstanding;
    if (which.load && now - which.loadAt < LoadLifetime) {
        const double told = which.load->running + which.load->waiting;
        cost = std::max(cost, told);
    }
    cost /= std::max(1U, which.record.slots);
    if (!wish.near.empty() && which.record.dataCenter != wish.near)
        cost += RemoteCost / std::max(1U, which.record.slots);
    if (m_severalRegions && !wish.near.empty() && which.region != regionOf(wish.near))
        cost += FarCost / std::max(1U, which.record.slots);
    if (!wish.exclude.empty() && !answeredLately(which))
        cost += SilentCost;
    if (which.avoidUntil > now)
        cost += AvoidedCost;
    return cost;
}

bool server_directory::answeredLately(const server &which) const
{
    return which.answeredAt && m_clock.now() - *which.answeredAt < AnswerLifetime;
}

// With many nodes and little traffic most servers cost the same most of the time. Were all nodes to
// take the first of them, it would get the requests of all. Each takes two of its own in turn, so
// that all servers are some nodes' choice, and connections are used again.
server_ptr server_directory::preferred(const std::vector<server_ptr> &equals) const
{
    struct ranked
    {
        server_ptr server;
        std::uint64_t weight = 0;
    };
    ranked first;
    ranked second;
    for (const auto &each : equals) {
        ranked next{each, rendezvousWeight(m_self.value, each->record.id.value)};
        if (!first.server || next.weight > first.weight)
            std::swap(first, next);
        if (!second.server || next.weight > second.weight)
            second = std::move(next);
    }
    const bool inTurn = second.server && second.server->sentAt < first.server->sentAt;
    return inTurn ? second.server : first.server;
}

server_ptr server_directory::choose(const server_wish &wish) const
{
    std::vector<server_ptr> best;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto &each : usable(wish.service, wish.allowed)) {
        if (std::ranges::find(wish.exclude, each->record.id) != wish.exclude.end())
            continue;
        if (each->bound(m_clock.now()) || !each->takes(m_clock.now()))
            continue;
        const double cost = costOf(*each, wish);
        if (cost > bestCost)
            continue;
        if (cost < bestCost)
            best.clear();
        bestCost = cost;
        best.push_back(each);
    }
    return preferred(best);
}

void server_directory::onAnswerBegun(const server &which) const
{
    if (m_onHeard)
        m_onHeard(which.record.dataCenter);
}

void server_directory::onAnswer(server &which)
{
    onAnswerBegun(which);
    which.answeredAt = m_clock.now();
    const bool wasAvoided = which.failures >= FailuresToAvoid;
    which.failures = 0;
    which.avoidUntil = {};
    if (wasAvoided && m_onDoubt)
        m_onDoubt(which, false);
}

void server_directory::onFailure(server &which)
{
    ++which.failures;
    if (which.failures < FailuresToAvoid)
        return;
    const auto doublings = std::min(which.failures - FailuresToAvoid, MaxDoublings);
    which.avoidUntil = m_clock.now() + FirstAvoidance * (1U << doublings);
    if (which.failures == FailuresToAvoid && m_onDoubt)
        m_onDoubt(which, true);
}

} // namespace orchidlead::gateway
