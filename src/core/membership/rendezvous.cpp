#include <orchidlead/rendezvous.h>

#include <xxhash.h>

#include <algorithm>

namespace orchidlead {

namespace {

struct weighted_member
{
    std::uint64_t weight = 0;
    const vm_id *vm = nullptr;
};

// Equal weights are told apart by name, so that the order never depends on the caller's.
bool heavier(const weighted_member &left, const weighted_member &right)
{
    if (left.weight != right.weight)
        return left.weight > right.weight;
    return *left.vm < *right.vm;
}

} // namespace

// The key seeds the hash of the member: one pass over each, and no way for a key's end to be taken
// for a member's beginning.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return XXH64(member.data(), member.size(), XXH64(key.data(), key.size(), 0));
}

std::vector<vm_id> rendezvousPick(std::string_view key, std::span<const vm_id> members,
                                  std::size_t count)
{
    std::vector<weighted_member> weighted;
    weighted.reserve(members.size());
    for (const vm_id &vm : members)
        weighted.push_back({rendezvousWeight(key, vm.value), &vm});
    const std::size_t kept = std::min(count, weighted.size());
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(weighted.begin(), end, weighted.end(), heavier);

    std::vector<vm_id> picked;
    picked.reserve(kept);
    for (auto it = weighted.begin(); it != end; ++it)
        picked.push_back(*it->vm);
    return picked;
}

} // namespace orchidlead
