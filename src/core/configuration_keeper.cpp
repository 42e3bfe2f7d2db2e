#include <orchidlead/configuration_keeper.h>
#include <orchidlead/rendezvous.h>

#include <xxhash.h>

namespace orchidlead {

std::uint64_t configurationHash(std::string_view content)
{
    return XXH64(content.data(), content.size(), 0);
}

// A suspected reader is replaced at once: a needless watch costs one call, a missing one costs the
// data centre its news.
bool isConfigurationReader(const listed_vm &self, std::span<const member> members,
                           std::size_t count)
{
    std::vector<vm_id> candidates{self.vm};
    for (const member &candidate : members) {
        const bool here = candidate.vm.dataCenter == self.dataCenter;
        if (here && candidate.state == member_state::Alive && candidate.vm.vm != self.vm)
            candidates.push_back(candidate.vm.vm);
    }
    const auto readers = rendezvousPick("configuration-reader", candidates, count);
    return std::find(readers.begin(), readers.end(), self.vm) != readers.end();
}

} // namespace orchidlead
