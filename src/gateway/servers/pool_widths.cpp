#include "gateway/servers/pool_widths.h"

#include <algorithm>

namespace orchidlead::gateway {

pool_widths::pool_widths(const server_directory &directory, const pool_width_limits &limits)
    : m_directory(directory)
    , m_limits(limits)
{ }

// Data centres without a server don't count: one that has lost all of them uses a neighbour's pool,
// and the others keep theirs.
const pool_widths::width &pool_widths::widthOf(const service_id &service, const region_id &region)
{
    auto &known = m_widths[{service, region}];
    if (known.seen == m_directory.changes())
        return known;
    known.seen = m_directory.changes();
    known.servers.clear();
    for (const auto &each : m_directory.usable(pool_key{service, {}, region}))
        ++known.servers[each->record.dataCenter];
    if (known.servers.size() < 2) {
        known.split = false;
        return known;
    }
    const auto least = std::ranges::min_element(known.servers, {}, [](const auto &entry) {
                           return entry.second;
                       })->second;
    known.split = least >= (known.split ? m_limits.join : m_limits.split);
    return known;
}

// The region of `near` goes first, then the one with most servers.
region_id pool_widths::regionFor(const service_id &service, const data_center_id &near,
                                 const residency &allowed) const
{
    if (!m_directory.severalRegions())
        return {};
    auto preferred = m_directory.regionOf(near);
    std::map<region_id, std::size_t> servers;
    for (const auto &each : m_directory.usable(service, allowed))
        ++servers[each->region];
    if (servers.empty() || servers.contains(preferred))
        return preferred;
    return std::ranges::max_element(servers, {}, [](const auto &entry) { return entry.second; })
        ->first;
}

pool_key pool_widths::poolFor(const service_id &service, const data_center_id &near,
                              const residency &allowed)
{
    const auto region = regionFor(service, near, allowed);
    const auto &known = widthOf(service, region);
    if (!known.split)
        return {service, {}, region};
    if (known.servers.contains(near))
        return {service, near, region};
    const auto widest =
        std::ranges::max_element(known.servers, {}, [](const auto &entry) { return entry.second; });
    return {service, widest->first, region};
}

} // namespace orchidlead::gateway
