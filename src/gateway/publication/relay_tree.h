#pragma once

#include <orchidlead/ids.h>

#include <cstddef>
#include <span>
#include <vector>

namespace orchidlead::gateway {

/// Nodes of a data centre that read the store: while one of them fails the other one is heard.
inline constexpr std::size_t ReadersPerDataCenter = 2;

/// Where a node gets what is published from.
struct relay_place
{
    std::size_t level = 0; ///< steps from the nodes that read the store; 0: it is one of them
    std::vector<vm_id> sources; ///< two, where there are; of a reader the other ones
};

/// Gives the place of `self` in the tree by which the nodes of its data centre hand on what is
/// published. The first ones of `order` read the store, each level behind them is some times as
/// wide as the one before, and each node has two sources in that one. So no node tells many,
/// however many there are, and where one ends its followers have another.
[[nodiscard]] relay_place placeInTree(const vm_id &self, std::span<const vm_id> order);

} // namespace orchidlead::gateway
