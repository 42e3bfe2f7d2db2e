#pragma once

#include <orchidlead/result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace orchidlead::gateway {

/// A text as it travels between nodes.
struct compressed_text
{
    std::string bytes; ///< as zlib writes them
    std::size_t length = 0; ///< of the text, in bytes
};

/// Says why bytes are no compressed text.
struct compression_error
{
    std::string what;
};

/// Compresses for speed: an eighth of a large configuration is left, and a core compresses about
/// 100 MB a second.
[[nodiscard]] compressed_text compress(std::string_view text);
/// Gives the text back; an error where the bytes are damaged, or the text would have another length
/// or be longer than `most`.
[[nodiscard]] result<std::string, compression_error> decompress(const compressed_text &from,
                                                                std::size_t most);

} // namespace orchidlead::gateway
