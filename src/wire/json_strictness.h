#pragma once

#include <optional>
#include <string_view>

namespace orchidlead::wire {

/// Finds what jsoncpp lets pass although JSON forbids it: comments, numbers such as `01`, `1.` and
/// `+1`, raw control characters in strings, half a surrogate pair, a byte order mark, bytes that
/// aren't UTF-8.
///
/// Returns what is wrong; nothing where it finds none. Only together with jsoncpp's own checks does
/// it prove that a text is JSON.
[[nodiscard]] std::optional<std::string_view> findLenientJson(std::string_view text);

} // namespace orchidlead::wire
