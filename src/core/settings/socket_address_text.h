#pragma once

#include <orchidlead/ids.h>

#include <optional>
#include <string>
#include <string_view>

namespace orchidlead {

/// Reads `a.b.c.d:port` or `[ipv6]:port`. Names and port 0 aren't accepted.
[[nodiscard]] std::optional<socket_address> parseSocketAddress(std::string_view text);

/// Writes the form that `parseSocketAddress` reads.
[[nodiscard]] std::string toText(const socket_address &address);

} // namespace orchidlead
