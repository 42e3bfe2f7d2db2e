#pragma once

#include <cstddef>
#include <string_view>

namespace orchidlead {

/// Gives the length of the well-formed UTF-8 sequence at the start of `text`, which isn't empty;
/// 0: there is none.
[[nodiscard]] std::size_t utf8Length(std::string_view text);

/// Tells whether all of `text` is well-formed UTF-8.
[[nodiscard]] bool isUtf8(std::string_view text);

} // namespace orchidlead
