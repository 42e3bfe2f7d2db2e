#include "gateway/servers/version_history.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace orchidlead::gateway {

namespace {

std::uint64_t rankOf(const backend_server_id &server, const std::string &subject)
{
    return rendezvousWeight(subject, server.value);
}

} // namespace

version_history::version_history(const clock_source &clock)
    : m_clock(clock)
{ }

void version_history::record(const ready_change &change)
{
    const auto now = m_clock.now();
    if (!m_knownSince)
        forgetBeforeNow();
    auto &servers = m_services[change.service];
    end(servers, change.server);
    if (!change.ready)
        return;
    servers.ready[change.server] = {change.server, change.version, now, std::nullopt};
    ++servers.versions[change.version];
}

void version_history::end(service_servers &servers, const backend_server_id &id)
{
    auto ended = servers.ready.extract(id);
    if (ended.empty())
        return;
    const auto version = servers.versions.find(*ended.mapped().version);
    if (--version->second == 0)
        servers.versions.erase(version);
    ended.mapped().to = m_clock.now();
    addEnded(servers, std::move(ended.mapped()));
}

void version_history::addEnded(service_servers &servers, ready_time ended)
{
    servers.ended.push_back(std::move(ended));
    const auto oldest = m_clock.now() - Memory;
    while (!servers.ended.empty()
           && (servers.ended.size() > MaxEnded || servers.ended.front().to <= oldest)) {
        servers.droppedUntil =
            std::max(servers.droppedUntil.value_or(oldest), *servers.ended.front().to);
        servers.ended.pop_front();
    }
}

void version_history::forgetBeforeNow()
{
    m_knownSince = m_clock.now();
    m_observedSince = m_knownSince;
}

steady_time version_history::earlierTime(const std::optional<wall_time> &time) const
{
    if (!time)
        return *m_knownSince;
    const auto age = std::max(m_clock.wallNow() - *time, wall_time::duration::zero());
    const auto at = m_clock.now() - std::chrono::duration_cast<steady_time::duration>(age);
    return std::min(at, *m_knownSince);
}

version_history::ready_time *version_history::findRecorded(service_servers &servers,
                                                           const earlier_ready_time &earlier)
{
    const auto isSame = [&](const ready_time &each) {
        return each.server == earlier.server && each.version == earlier.version;
    };
    const auto ready = servers.ready.find(earlier.server);
    if (!earlier.ended && ready != servers.ready.end() && isSame(ready->second))
        return &ready->second;
    const auto ended = std::ranges::find_if(servers.ended, isSame);
    return ended == servers.ended.end() ? nullptr : &*ended;
}

// What has happened since the first list is recorded, so what isn't recorded happened before it.
// The history also shows servers that came after the first list: only a time before that dates
// them.
void version_history::addEarlier(const std::vector<earlier_ready_time> &earlier, steady_time since)
{
    if (!m_knownSince || since >= *m_knownSince)
        return;
    for (const auto &each : earlier) {
        auto &servers = each.service ? m_services[*each.service] : m_unknown;
        const auto from = earlierTime(each.from);
        if (auto *recorded = findRecorded(servers, each)) {
            if (each.from && from < *m_knownSince)
                recorded->from = std::min(recorded->from, from);
        } else
            addEnded(servers, {each.server, each.version, from, earlierTime(each.to)});
    }
    m_knownSince = since;
}

std::optional<software_version> version_history::assigned(const request_digest &subject,
                                                          const service_id &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.ready.empty())
        return std::nullopt;
    if (found->second.versions.size() == 1)
        return found->second.versions.begin()->first;
    const auto key = toText(subject);
    const auto &ready = found->second.ready;
    return std::ranges::max_element(ready, {},
                                    [&](const auto &entry) { return rankOf(entry.first, key); })
        ->second.version;
}

bool version_history::observed(const service_id &service, steady_time since) const
{
    return m_observedSince && *m_observedSince <= since && covers(service, since);
}

bool version_history::covers(const service_id &service, steady_time since) const
{
    if (!m_knownSince || *m_knownSince > since)
        return false;
    const auto isDropped = [&](const service_servers &servers) {
        return servers.droppedUntil && *servers.droppedUntil > since;
    };
    const auto found = m_services.find(service);
    return !isDropped(m_unknown) && (found == m_services.end() || !isDropped(found->second));
}

template <class Visitor>
void version_history::visitSince(const service_id &service, steady_time since, Visitor visit) const
{
    const auto visitEnded = [&](const service_servers &servers) {
        for (const auto &each : servers.ended) {
            if (*each.to > since)
                visit(each);
        }
    };
    visitEnded(m_unknown);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    visitEnded(found->second);
    for (const auto &[id, each] : found->second.ready)
        visit(each);
}

bool version_history::hadOneVersionSince(const service_id &service, steady_time since) const
{
    std::set<std::optional<software_version>> versions;
    visitSince(service, since, [&](const ready_time &each) { versions.insert(each.version); });
    return versions.size() <= 1 && !versions.contains(std::nullopt);
}

// A server that has been ready all the time hides the servers that rank lower.
std::optional<software_version> version_history::assignedSince(const request_digest &subject,
                                                               const service_id &service,
                                                               steady_time since) const
{
    const auto key = toText(subject);
    std::uint64_t lowest = 0;
    std::vector<std::pair<std::uint64_t, const ready_time *>> ranked;
    visitSince(service, since, [&](const ready_time &each) {
        const auto rank = rankOf(each.server, key);
        ranked.emplace_back(rank, &each);
        if (!each.to && each.from <= since)
            lowest = std::max(lowest, rank);
    });
    std::set<std::optional<software_version>> versions;
    for (const auto &[rank, each] : ranked) {
        if (rank >= lowest)
            versions.insert(each->version);
    }
    return versions.size() == 1 ? *versions.begin() : std::nullopt;
}

} // namespace orchidlead::gateway
