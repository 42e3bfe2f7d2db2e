#pragma once

#include <cstddef>
#include <string_view>

namespace orchidlead {

/// Returns the length of the well-formed UTF-8 sequence at the start of `text`, or 0 if there is
/// none. `text` must not be empty.
[[nodiscard]] std::size_t utf8Length(std::string_view text);

/// Returns whether all of `text` is well-formed UTF-8.
[[nodiscard]] bool isUtf8(std::string_view text);

} // namespace orchidlead
