#include "gateway/publication/relay_tree.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// By how much a level is wider than the one before: with two sources each, a node has about twice
// as many followers. A hundred nodes are three steps from the readers.
constexpr std::size_t Widening = 4;
constexpr std::size_t SourcesOfANode = 2;

} // namespace

// Sources are drawn by hashes of both names: where a node ends, or one comes, few others change
// theirs, and nodes that disagree for a moment about the order still follow nodes before them.
relay_place placeInTree(const vm_id &self, std::span<const vm_id> order)
{
    relay_place found;
    const auto place = static_cast<std::size_t>(std::ranges::find(order, self) - order.begin());
    std::size_t begin = 0;
    std::size_t width = std::min(ReadersPerDataCenter, order.size());
    std::span<const vm_id> before = order.first(width);
    while (place >= begin + width && begin + width < order.size()) {
        before = order.subspan(begin, width);
        begin += width;
        width = std::min(width * Widening, order.size() - begin);
        ++found.level;
    }
    if (place == order.size())
        found.level = std::max<std::size_t>(found.level, 1); // it leaves, and reads for nobody
    std::vector<vm_id> candidates(before.begin(), before.end());
    std::erase(candidates, self);
    found.sources = rendezvousPick(self.value, candidates, SourcesOfANode);
    return found;
}

} // namespace orchidlead::gateway
