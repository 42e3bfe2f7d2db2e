#include "daemon/query_text.h"

#include <charconv>

namespace orchidlead::daemon {

namespace {

std::optional<char> decodeEscape(std::string_view digits)
{
    constexpr int Base = 16;
    constexpr std::size_t Length = 2;
    unsigned char byte = 0;
    if (digits.size() < Length)
        return std::nullopt;
    const char *end = digits.data() + Length;
    const auto [stop, error] = std::from_chars(digits.data(), end, byte, Base);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return static_cast<char>(byte);
}

std::optional<std::string> decode(std::string_view text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            out += text[at] == '+' ? ' ' : text[at];
            continue;
        }
        const auto byte = decodeEscape(text.substr(at + 1));
        if (!byte)
            return std::nullopt;
        out += *byte;
        at += 2;
    }
    return out;
}

} // namespace

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return decode(equals == std::string_view::npos ? "" : pair.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace orchidlead::daemon
