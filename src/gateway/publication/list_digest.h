#pragma once

#include "gateway/servers/server_directory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace orchidlead::gateway {

/// Number of parts into which a list of servers is divided for comparison. If one of a thousand
/// servers differs, only a 64th of the list has to be sent.
inline constexpr std::size_t DigestParts = 64;

/// A hash for each part of a list of servers. Equal parts have equal hashes on all nodes.
using list_digest = std::array<std::uint32_t, DigestParts>;

/// Returns the part to which a server belongs.
[[nodiscard]] std::size_t digestPartOf(const backend_server_id &id);
[[nodiscard]] list_digest digestOf(const std::vector<server_ptr> &servers);
/// Returns the parts in which two digests differ, in ascending order.
[[nodiscard]] std::vector<std::uint32_t> differingParts(const list_digest &left,
                                                        const list_digest &right);

} // namespace orchidlead::gateway
