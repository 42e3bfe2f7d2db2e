#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::wire {

/// Most bytes that are encoded.
inline constexpr std::size_t MaxBase64Input = 16U << 20U;

/// Gives an empty text for more than `MaxBase64Input` bytes.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// Gives nothing for a text that isn't base64.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace orchidlead::wire
