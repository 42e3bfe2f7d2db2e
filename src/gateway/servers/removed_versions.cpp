#include "gateway/servers/removed_versions.h"

namespace orchidlead::gateway {

removed_versions::removed_versions(const clock_source &clock)
    : m_clock(clock)
{ }

// Versions that were removed long ago are dropped, so that their number is bounded by the rate of
// releases.
void removed_versions::onRemoved(const service_id &service, const software_version &version)
{
    auto &removed = m_removedAt[service];
    const auto now = m_clock.now();
    removed[version] = now;
    std::erase_if(removed, [&](const auto &entry) { return entry.second + Lifetime < now; });
}

std::set<software_version> removed_versions::removedSince(const service_id &service,
                                                          steady_time since) const
{
    std::set<software_version> versions;
    const auto found = m_removedAt.find(service);
    if (found == m_removedAt.end())
        return versions;
    for (const auto &[version, removedAt] : found->second) {
        if (removedAt >= since)
            versions.insert(version);
    }
    return versions;
}

} // namespace orchidlead::gateway
