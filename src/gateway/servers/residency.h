#pragma once

#include <orchidlead/ids.h>

#include <optional>
#include <set>
#include <vector>

namespace orchidlead::gateway {

/// Data residency: the regions in which a request may be processed, as required by its route and
/// its customer.
class residency
{
public:
    /// Allows any region.
    residency() = default;
    /// Allows only these regions.
    explicit residency(std::set<region_id> regions)
        : m_regions(std::move(regions))
    { }

    [[nodiscard]] bool restricted() const { return m_regions.has_value(); }
    /// Returns whether a server of this region may process the request. If the request is
    /// restricted, a server of unknown region (empty) is not allowed.
    [[nodiscard]] bool allows(const region_id &region) const
    {
        return !m_regions || m_regions->contains(region);
    }
    /// Returns the allowed regions; empty if the request is not restricted.
    [[nodiscard]] std::set<region_id> regions() const
    {
        return m_regions.value_or(std::set<region_id>{});
    }

    friend bool operator==(const residency &, const residency &) = default;

private:
    std::optional<std::set<region_id>> m_regions; ///< no value: any region
};

/// Combines the restrictions of a route and of a customer. A list that is not empty is a
/// restriction.
[[nodiscard]] residency residencyOf(const std::vector<region_id> &routeRegions,
                                    const std::vector<region_id> &customerRegions);

} // namespace orchidlead::gateway
