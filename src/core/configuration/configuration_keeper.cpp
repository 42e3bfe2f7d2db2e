#include <orchidlead/configuration_keeper.h>
#include <orchidlead/rendezvous.h>

#include <xxhash.h>

namespace orchidlead {

std::uint64_t configurationHash(std::string_view content)
{
    return XXH64(content.data(), content.size(), 0);
}

namespace {

std::vector<vm_id> aliveHere(const listed_vm &self, std::span<const member> members)
{
    std::vector<vm_id> alive{self.vm};
    for (const member &candidate : members) {
        const bool here = candidate.vm.dataCenter == self.dataCenter;
        if (here && candidate.state == member_state::Alive && candidate.vm.vm != self.vm)
            alive.push_back(candidate.vm.vm);
    }
    return alive;
}

std::vector<vm_id> pickReaders(std::span<const vm_id> alive, std::size_t count)
{
    return rendezvousPick("configuration-reader", alive, count);
}

bool contains(const std::vector<vm_id> &vms, const vm_id &vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

} // namespace

// A suspected reader is replaced at once: a needless watch costs one call, a missing one costs the
// data centre its news.
bool isConfigurationReader(const listed_vm &self, std::span<const member> members,
                           std::size_t count)
{
    return contains(pickReaders(aliveHere(self, members), count), self.vm);
}

// The readers and then the others, in an order that all nodes work out alike, form a heap: the
// children of the node at place p are at readers + p * fanout and the places after it.
fetch_position fetchPosition(const listed_vm &self, std::span<const member> members,
                             std::size_t readers, std::size_t fanout, std::uint64_t version)
{
    auto alive = aliveHere(self, members);
    auto order = pickReaders(alive, readers);
    const std::size_t roots = order.size();
    std::erase_if(alive, [&order](const vm_id &vm) { return contains(order, vm); });
    const auto key = "configuration-fetch/" + std::to_string(version);
    for (auto &vm : rendezvousPick(key, alive, alive.size()))
        order.push_back(std::move(vm));
    auto place =
        static_cast<std::size_t>(std::find(order.begin(), order.end(), self.vm) - order.begin());
    fetch_position position;
    if (place < roots || fanout == 0)
        return position;
    place = (place - roots) / fanout;
    position.parent = order[place];
    while (place >= roots) {
        place = (place - roots) / fanout;
        position.depth++;
    }
    return position;
}

} // namespace orchidlead
