#pragma once

#include <orchidlead/ids.h>

#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::wire {

inline constexpr std::string_view AttemptHeaderName = "x-request-id";

/// Writes `<request>/<stage index>/<attempt>`.
[[nodiscard]] std::string formatAttemptKey(const attempt_key &key);

/// Reads what `formatAttemptKey` wrote; nothing else is accepted.
[[nodiscard]] std::optional<attempt_key> parseAttemptKey(std::string_view text);

} // namespace orchidlead::wire
