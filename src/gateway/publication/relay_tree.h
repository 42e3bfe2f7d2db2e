#pragma once

#include <orchidlead/ids.h>

#include <cstddef>
#include <span>
#include <vector>

namespace orchidlead::gateway {

/// Number of nodes that read the store in each data centre: while one of them fails, followers
/// receive changes from the other.
inline constexpr std::size_t ReadersPerDataCenter = 2;

/// The position of a node in the distribution tree of its data centre.
struct relay_position
{
    std::size_t level = 0; ///< hops from the readers; 0: the node is a reader
    std::vector<vm_id> sources; ///< two if available; for a reader, the other readers
};

/// Returns the position of `self` in the distribution tree of its data centre. The first nodes of
/// `order` read the store. Each further level is several times as wide as the previous one, and
/// each node has two sources in the previous level. So the number of followers of a node stays
/// small whatever the number of nodes, and the followers of a node that stops have a second source.
[[nodiscard]] relay_position positionInTree(const vm_id &self, std::span<const vm_id> order);

} // namespace orchidlead::gateway
