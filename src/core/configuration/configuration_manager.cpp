#include <orchidlead/configuration_manager.h>
#include <orchidlead/rendezvous.h>

#include <xxhash.h>

namespace orchidlead {

std::uint64_t configurationHash(std::string_view content)
{
    return XXH64(content.data(), content.size(), 0);
}

namespace {

std::vector<vm_id> aliveInDataCenter(const listed_vm &self, std::span<const member> members)
{
    std::vector<vm_id> alive{self.vm};
    for (const member &candidate : members) {
        const bool sameDataCenter = candidate.vm.dataCenter == self.dataCenter;
        if (sameDataCenter && candidate.state == member_state::Alive && candidate.vm.vm != self.vm)
            alive.push_back(candidate.vm.vm);
    }
    return alive;
}

std::vector<vm_id> pickConfigurationReaders(std::span<const vm_id> alive, std::size_t count)
{
    return rendezvousPick("configuration-reader", alive, count);
}

bool contains(const std::vector<vm_id> &vms, const vm_id &vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

} // namespace

// A suspected configuration reader is replaced at once: an unnecessary watch costs one call,
// whereas without a configuration reader the data centre receives no new versions.
bool isConfigurationReader(const listed_vm &self, std::span<const member> members,
                           std::size_t count)
{
    return contains(pickConfigurationReaders(aliveInDataCenter(self, members), count), self.vm);
}

// All nodes compute the same order: first the configuration readers, then the others. The order is
// the layout of a heap: the `fanout` children of the node at index i begin at index
// readers + i * fanout.
fetch_position fetchPosition(const listed_vm &self, std::span<const member> members,
                             std::size_t readers, std::size_t fanout, std::uint64_t version)
{
    auto alive = aliveInDataCenter(self, members);
    auto order = pickConfigurationReaders(alive, readers);
    const std::size_t roots = order.size();
    std::erase_if(alive, [&order](const vm_id &vm) { return contains(order, vm); });
    const auto key = "configuration-fetch/" + std::to_string(version);
    for (auto &vm : rendezvousPick(key, alive, alive.size()))
        order.push_back(std::move(vm));
    auto index =
        static_cast<std::size_t>(std::find(order.begin(), order.end(), self.vm) - order.begin());
    fetch_position position;
    if (index < roots || fanout == 0)
        return position;
    index = (index - roots) / fanout;
    position.parent = order[index];
    while (index >= roots) {
        index = (index - roots) / fanout;
        position.depth++;
    }
    return position;
}

} // namespace orchidlead
