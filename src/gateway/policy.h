#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>
#include <set>

namespace orchidlead::gateway {

/// Policies of a gateway that can be left out one by one, to measure what each is worth.
enum class policy : std::uint8_t {
    SplitPools, ///< a pool for each data centre where it has servers enough
    DataCenterReach, ///< a data centre that is cut off is noticed as a whole
    LateLeafStages, ///< stages that only the request itself needs begin last
    WaitForNear, ///< pieces with much to fetch wait for a server beside their inputs
    ToldWaits, ///< hosts tell waits, and requests that these make late are refused on arrival
    PromptHomes, ///< prompts that share much have a home data centre
};

/// The policies that are left out.
using policies_left_out = std::set<policy>;

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::policy>{
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::SplitPools,
                                                       "split_pools"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::DataCenterReach,
                                                       "data_center_reach"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::LateLeafStages,
                                                       "late_leaf_stages"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::WaitForNear,
                                                       "wait_for_near"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::ToldWaits,
                                                       "told_waits"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::PromptHomes,
                                                       "prompt_homes"},
};
