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

// Equal weights are ordered by name, so that the result does not depend on the input order.
bool ranksBefore(const weighted_member &left, const weighted_member &right)
{
    if (left.weight != right.weight)
        return left.weight > right.weight;
    return *left.vm < *right.vm;
}

} // namespace

// The hash of the key seeds the hash of the member. This takes one pass over each, and unlike a
// hash of the concatenation it distinguishes (ab, c) from (a, bc).
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
    const std::size_t pickedCount = std::min(count, weighted.size());
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(pickedCount);
    std::partial_sort(weighted.begin(), end, weighted.end(), ranksBefore);

    std::vector<vm_id> picked;
    picked.reserve(pickedCount);
    for (auto it = weighted.begin(); it != end; ++it)
        picked.push_back(*it->vm);
    return picked;
}

} // namespace orchidlead
