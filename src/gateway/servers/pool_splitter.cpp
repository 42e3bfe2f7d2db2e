#include "gateway/servers/pool_splitter.h"

#include <algorithm>

namespace orchidlead::gateway {

pool_splitter::pool_splitter(const server_directory &directory, const pool_split_limits &limits)
    : m_directory(directory)
    , m_limits(limits)
{ }

// Data centres without a usable server are not counted: one that has lost all its servers uses a
// pool of another data centre, and the other data centres keep their own pools.
const pool_splitter::split_state &pool_splitter::splitStateOf(const service_id &service,
                                                              const region_id &region)
{
    auto &cached = m_splitStates[{service, region}];
    if (cached.directoryChanges == m_directory.changes())
        return cached;
    cached.directoryChanges = m_directory.changes();
    cached.servers.clear();
    for (const auto &each : m_directory.usable(pool_key{service, {}, region}))
        ++cached.servers[each->record.dataCenter];
    if (cached.servers.size() < 2) {
        cached.isSplit = false;
        return cached;
    }
    const auto fewest = std::ranges::min_element(cached.servers, {}, [](const auto &entry) {
                            return entry.second;
                        })->second;
    cached.isSplit =
        fewest >= (cached.isSplit ? m_limits.minServersToStaySplit : m_limits.minServersToSplit);
    return cached;
}

// Prefers the region of `preferredDataCenter`, then the region with the most servers.
region_id pool_splitter::regionFor(const service_id &service,
                                   const data_center_id &preferredDataCenter,
                                   const residency &allowed) const
{
    if (!m_directory.severalRegions())
        return {};
    auto preferredRegion = m_directory.regionOf(preferredDataCenter);
    std::map<region_id, std::size_t> servers;
    for (const auto &each : m_directory.usable(service, allowed))
        ++servers[each->region];
    if (servers.empty() || servers.contains(preferredRegion))
        return preferredRegion;
    return std::ranges::max_element(servers, {}, [](const auto &entry) { return entry.second; })
        ->first;
}

pool_key pool_splitter::poolFor(const service_id &service,
                                const data_center_id &preferredDataCenter, const residency &allowed)
{
    const auto region = regionFor(service, preferredDataCenter, allowed);
    const auto &cached = splitStateOf(service, region);
    if (!cached.isSplit)
        return {service, {}, region};
    if (cached.servers.contains(preferredDataCenter))
        return {service, preferredDataCenter, region};
    const auto largest = std::ranges::max_element(cached.servers, {},
                                                  [](const auto &entry) { return entry.second; });
    return {service, largest->first, region};
}

std::vector<pool_key> pool_splitter::otherPools(const pool_key &pool)
{
    const auto &cached = splitStateOf(pool.service, pool.region);
    std::vector<pool_key> others;
    if (!cached.isSplit || pool.dataCenter.empty())
        return others;
    for (const auto &[dataCenter, servers] : cached.servers) {
        if (dataCenter != pool.dataCenter)
            others.push_back({pool.service, dataCenter, pool.region});
    }
    return others;
}

} // namespace orchidlead::gateway
