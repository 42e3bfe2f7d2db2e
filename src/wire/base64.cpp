#include "wire/base64.h"

#include <libwebsockets.h>

#include <cstddef>

namespace orchidlead::wire {

namespace {

std::size_t encodedSize(std::size_t bytes)
{
    return (bytes + 2) / 3 * 4;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > MaxBase64Input)
        return {};
    // The library ends the text with a zero and asks for one byte more than that.
    std::string text(encodedSize(bytes.size()) + 2, '\0');
    const int written = lws_b64_encode_string(bytes.data(), static_cast<int>(bytes.size()),
                                              text.data(), static_cast<int>(text.size()));
    text.resize(written > 0 ? static_cast<std::size_t>(written) : 0);
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() > encodedSize(MaxBase64Input) || text.size() % 4 != 0)
        return std::nullopt;
    if (text.empty())
        return std::string{};
    // Where the output has no room for a zero at its end, the library stops early and says nothing.
    std::string bytes(text.size() + 1, '\0');
    const int read = lws_b64_decode_string_len(text.data(), static_cast<int>(text.size()),
                                               bytes.data(), static_cast<int>(bytes.size()));
    if (read < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(read));
    // The library is lenient; only what this module writes is accepted.
    if (encodeBase64(bytes) != text)
        return std::nullopt;
    return bytes;
}

} // namespace orchidlead::wire
