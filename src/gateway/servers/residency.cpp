#include "gateway/servers/residency.h"

#include <algorithm>

namespace orchidlead::gateway {

residency residencyOf(const std::vector<region_id> &ofRoute,
                      const std::vector<region_id> &ofCustomer)
{
    if (ofRoute.empty() && ofCustomer.empty())
        return {};
    const auto &first = ofRoute.empty() ? ofCustomer : ofRoute;
    std::set<region_id> both(first.begin(), first.end());
    if (!ofCustomer.empty())
        std::erase_if(both, [&](const region_id &each) {
            return std::ranges::find(ofCustomer, each) == ofCustomer.end();
        });
    return residency(std::move(both));
}

} // namespace orchidlead::gateway
