#pragma once

#include <orchidlead/ids.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace orchidlead {

/// Returns the weight of `member` for `key`; the same in every process and build.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Returns the `count` members with the highest weights for `key`, highest first, or all members if
/// there are fewer. Removing a member moves only the keys assigned to it.
[[nodiscard]] std::vector<vm_id> rendezvousPick(std::string_view key,
                                                std::span<const vm_id> members, std::size_t count);

} // namespace orchidlead
