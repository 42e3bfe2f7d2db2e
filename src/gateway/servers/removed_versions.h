#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <chrono>
#include <map>
#include <set>
#include <unordered_map>

namespace orchidlead::gateway {

/// Knows when the last server of each software version of a service was removed, or replaced by
/// one of another version.
class removed_versions
{
public:
    /// How long a version is kept; longer than clients continue streams.
    static constexpr std::chrono::minutes Lifetime{10};

    explicit removed_versions(const clock_source &clock);

    void onRemoved(const service_id &service, const software_version &version);
    /// Returns the versions of a service of which a server was removed at `since` or later.
    [[nodiscard]] std::set<software_version> removedSince(const service_id &service,
                                                          steady_time since) const;

private:
    const clock_source &m_clock;
    std::unordered_map<service_id, std::map<software_version, steady_time>> m_removedAt;
};

} // namespace orchidlead::gateway
