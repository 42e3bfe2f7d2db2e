#include "gateway/publication/text_compression.h"

#include <zlib.h>

#include <stdexcept>

namespace orchidlead::gateway {

compressed_text compress(std::string_view text)
{
    compressed_text compressed;
    compressed.length = text.size();
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    compressed.bytes.resize(size);
    // zlib takes unsigned bytes; the standard library uses char.
    const int status = compress2(reinterpret_cast<Bytef *>(compressed.bytes.data()), &size,
                                 reinterpret_cast<const Bytef *>(text.data()),
                                 static_cast<uLong>(text.size()), Z_BEST_SPEED);
    if (status != Z_OK)
        throw std::runtime_error("zlib compress2 failed: status " + std::to_string(status));
    compressed.bytes.resize(size);
    return compressed;
}

result<std::string, compression_error> decompress(const compressed_text &from, std::size_t maxBytes)
{
    if (from.length > maxBytes)
        return compression_error{"text of " + std::to_string(from.length)
                                 + " bytes exceeds the limit"};
    std::string text(from.length, '\0');
    uLongf size = static_cast<uLongf>(text.size());
    const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  reinterpret_cast<const Bytef *>(from.bytes.data()),
                                  static_cast<uLong>(from.bytes.size()));
    if (status != Z_OK || size != from.length)
        return compression_error{"corrupt compressed text: zlib status " + std::to_string(status)};
    return text;
}

} // namespace orchidlead::gateway
