#include "gateway/servers/residency.h"

#include <algorithm>

namespace orchidlead::gateway {

residency residencyOf(const std::vector<region_id> &routeRegions,
                      const std::vector<region_id> &customerRegions)
{
    if (routeRegions.empty() && customerRegions.empty())
        return {};
    const auto &base = routeRegions.empty() ? customerRegions : routeRegions;
    std::set<region_id> common(base.begin(), base.end());
    if (!customerRegions.empty())
        std::erase_if(common, [&](const region_id &each) {
            return std::ranges::find(customerRegions, each) == customerRegions.end();
        });
    return residency(std::move(common));
}

} // namespace orchidlead::gateway
