#include "gateway/publication/text_compression.h"

#include <zlib.h>

#include <stdexcept>

namespace orchidlead::gateway {

compressed_text compress(std::string_view text)
{
    compressed_text made;
    made.length = text.size();
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    made.bytes.resize(size);
    // zlib takes bytes where the standard library has characters.
    const int status = compress2(reinterpret_cast<Bytef *>(made.bytes.data()), &size,
                                 reinterpret_cast<const Bytef *>(text.data()),
                                 static_cast<uLong>(text.size()), Z_BEST_SPEED);
    if (status != Z_OK)
        throw std::runtime_error("zlib refused to compress: status " + std::to_string(status));
    made.bytes.resize(size);
    return made;
}

result<std::string, compression_error> decompress(const compressed_text &from, std::size_t most)
{
    if (from.length > most)
        return compression_error{"a text of " + std::to_string(from.length) + " bytes"};
    std::string text(from.length, '\0');
    uLongf size = static_cast<uLongf>(text.size());
    const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  reinterpret_cast<const Bytef *>(from.bytes.data()),
                                  static_cast<uLong>(from.bytes.size()));
    if (status != Z_OK || size != from.length)
        return compression_error{"damaged bytes, status " + std::to_string(status)};
    return text;
}

} // namespace orchidlead::gateway
