#pragma once

#include "gateway/servers/server_directory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace orchidlead::gateway {

/// Into how many parts a list of servers is divided to be compared. A thousand servers have one
/// that differs in a 64th of what the whole list takes.
inline constexpr std::size_t ListParts = 64;

/// A hash of each part of a list of servers; equal where the parts are, on all nodes.
using list_digest = std::array<std::uint32_t, ListParts>;

/// Gives the part that a server belongs to.
[[nodiscard]] std::size_t partOf(const backend_server_id &id);
[[nodiscard]] list_digest digestOf(const std::vector<server_ptr> &servers);
/// Gives the parts in which two lists differ, in order.
[[nodiscard]] std::vector<std::uint32_t> differingParts(const list_digest &left,
                                                        const list_digest &right);

} // namespace orchidlead::gateway
