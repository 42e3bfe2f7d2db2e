#include "gateway/publication/relay_tree.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Ratio of the width of a level to that of the previous one. With two sources for each node, a node
// has about twice this number of followers. In a tree of 100 nodes, no node is more than three hops
// from the readers.
constexpr std::size_t LevelGrowthFactor = 4;
constexpr std::size_t SourcesPerNode = 2;

} // namespace

// Sources are chosen by rendezvous hashing of both names. When a node stops or joins, few other
// nodes change their sources, and nodes that temporarily disagree on the order still follow earlier
// nodes.
relay_position positionInTree(const vm_id &self, std::span<const vm_id> order)
{
    relay_position position;
    const auto index = static_cast<std::size_t>(std::ranges::find(order, self) - order.begin());
    std::size_t levelBegin = 0;
    std::size_t width = std::min(ReadersPerDataCenter, order.size());
    std::span<const vm_id> before = order.first(width);
    while (index >= levelBegin + width && levelBegin + width < order.size()) {
        before = order.subspan(levelBegin, width);
        levelBegin += width;
        width = std::min(width * LevelGrowthFactor, order.size() - levelBegin);
        ++position.level;
    }
    if (index == order.size())
        position.level = std::max<std::size_t>(position.level, 1); // a leaving node is no reader
    std::vector<vm_id> candidates(before.begin(), before.end());
    std::erase(candidates, self);
    position.sources = rendezvousPick(self.value, candidates, SourcesPerNode);
    return position;
}

} // namespace orchidlead::gateway
