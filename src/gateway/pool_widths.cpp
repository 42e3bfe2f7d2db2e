#include "gateway/pool_widths.h"

#include <algorithm>

namespace orchidlead::gateway {

pool_widths::pool_widths(const server_directory &directory, const pool_width_limits &limits)
    : m_directory(directory)
    , m_limits(limits)
{ }

// Data centres without a server don't count: one that has lost all of them uses a neighbour's pool,
// and the others keep theirs.
const pool_widths::width &pool_widths::widthOf(const service_id &service)
{
    auto &known = m_widths[service];
    if (known.seen == m_directory.changes())
        return known;
    known.seen = m_directory.changes();
    known.servers.clear();
    for (const auto &each : m_directory.usable(service))
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

pool_key pool_widths::poolFor(const service_id &service, const data_center_id &near)
{
    const auto &known = widthOf(service);
    if (!known.split)
        return {service, {}};
    if (known.servers.contains(near))
        return {service, near};
    const auto widest =
        std::ranges::max_element(known.servers, {}, [](const auto &entry) { return entry.second; });
    return {service, widest->first};
}

} // namespace orchidlead::gateway
