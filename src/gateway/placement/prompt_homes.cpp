#include "gateway/placement/prompt_homes.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

std::vector<server_ptr> homeOrder(const std::string &part, std::vector<server_ptr> engines)
{
    std::vector<std::pair<std::uint64_t, server_ptr>> weighted;
    weighted.reserve(engines.size());
    for (auto &each : engines) {
        const auto weight = rendezvousWeight(part, each->record.id.value);
        weighted.emplace_back(weight, std::move(each));
    }
    std::ranges::stable_sort(weighted, std::ranges::greater{},
                             &std::pair<std::uint64_t, server_ptr>::first);
    engines.clear();
    for (auto &[weight, each] : weighted)
        engines.push_back(std::move(each));
    return engines;
}

} // namespace orchidlead::gateway
