#pragma once

#include <orchidlead/ids.h>

#include <optional>
#include <string>
#include <string_view>

namespace orchidlead {

/// Parses `a.b.c.d:port` or `[ipv6]:port`. Host names and port 0 are not accepted.
[[nodiscard]] std::optional<socket_address> parseSocketAddress(std::string_view text);

/// Formats an address in the form that `parseSocketAddress` parses.
[[nodiscard]] std::string toText(const socket_address &address);

} // namespace orchidlead
