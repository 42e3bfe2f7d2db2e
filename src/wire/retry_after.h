#pragma once

#include "net/http_server.h"

#include <orchidlead/clock.h>

#include <optional>

namespace orchidlead::wire {

/// Longest wait that a server may ask for.
inline constexpr milliseconds MaxRetryAfter{3'600'000};

/// Reads a `Retry-After` header in whole seconds, cut to `MaxRetryAfter`; dates aren't read.
[[nodiscard]] std::optional<milliseconds> parseRetryAfter(const net::header_list &headers);

} // namespace orchidlead::wire
