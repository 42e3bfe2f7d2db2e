#pragma once

#include "core/requests/engine_types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead {

/// Encodes the final answer of a call for the next home of its key. Omits outputs larger than
/// `maxOutput` bytes and the stage reports.
[[nodiscard]] std::string encodeAnswer(const final_answer &answer, std::size_t maxOutput);

/// Decodes an answer written by `encodeAnswer`. Returns nothing if the bytes are malformed.
[[nodiscard]] std::optional<final_answer> decodeAnswer(std::string_view bytes);

} // namespace orchidlead
