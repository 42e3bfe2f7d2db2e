#pragma once

#include <orchidlead/result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace orchidlead::gateway {

/// A compressed text, as sent between nodes.
struct compressed_text
{
    std::string bytes; ///< in zlib format
    std::size_t length = 0; ///< of the uncompressed text, in bytes
};

/// The reason why a text could not be decompressed.
struct compression_error
{
    std::string what;
};

/// Compresses `text`, optimized for speed: a large configuration shrinks to an eighth, and a core
/// compresses about 100 MB per second.
[[nodiscard]] compressed_text compress(std::string_view text);
/// Returns the uncompressed text, or an error if the bytes are corrupt, or if the length of the
/// text differs from `from.length` or exceeds `maxBytes`.
[[nodiscard]] result<std::string, compression_error> decompress(const compressed_text &from,
                                                                std::size_t maxBytes);

} // namespace orchidlead::gateway
