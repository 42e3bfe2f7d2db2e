#pragma once

#include <orchidlead/ids.h>

#include <optional>
#include <set>
#include <vector>

namespace orchidlead::gateway {

/// The regions in which a request may be worked on: data residency, as its route and its customer
/// demand it.
class residency
{
public:
    /// Any region.
    residency() = default;
    /// These regions and no other.
    explicit residency(std::set<region_id> regions)
        : m_regions(std::move(regions))
    { }

    [[nodiscard]] bool bound() const { return m_regions.has_value(); }
    /// A server of which the region isn't known gets nothing that is bound.
    [[nodiscard]] bool allows(const region_id &region) const
    {
        return !m_regions || m_regions->contains(region);
    }
    /// The regions where it is bound; empty where it isn't.
    [[nodiscard]] std::set<region_id> regions() const
    {
        return m_regions.value_or(std::set<region_id>{});
    }

    friend bool operator==(const residency &, const residency &) = default;

private:
    std::optional<std::set<region_id>> m_regions; ///< empty: any
};

/// What lists of regions demand together: each list that isn't empty binds.
[[nodiscard]] residency residencyOf(const std::vector<region_id> &ofRoute,
                                    const std::vector<region_id> &ofCustomer);

} // namespace orchidlead::gateway
