#pragma once

#include "core/requests/engine_types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead {

/// Encodes how a call ended, for the next home of its key. Outputs above `maxOutput` bytes and the
/// stages' reports are left out.
[[nodiscard]] std::string encodeAnswer(const final_answer &answer, std::size_t maxOutput);

/// Reads what `encodeAnswer` wrote; nothing where the bytes are malformed.
[[nodiscard]] std::optional<final_answer> decodeAnswer(std::string_view bytes);

} // namespace orchidlead
