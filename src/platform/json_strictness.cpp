#include "platform/json_strictness.h"

#include "platform/json_text.h"

#include <cstddef>

namespace orchidlead::platform {

namespace {

// Parts of a text are handed on as they were read, so that numbers keep their digits; what jsoncpp
// alone accepts would then reach a backend server as something that isn't JSON.

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view NumberBytes = "+-.0123456789eE";

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Takes digits off the front and tells whether there was one.
bool takeDigits(std::string_view &text)
{
    const std::size_t before = text.size();
    while (!text.empty() && isDigit(text.front()))
        text.remove_prefix(1);
    return text.size() != before;
}

bool takeByte(std::string_view &text, std::string_view wanted)
{
    if (text.empty() || wanted.find(text.front()) == std::string_view::npos)
        return false;
    text.remove_prefix(1);
    return true;
}

bool isNumber(std::string_view text)
{
    takeByte(text, "-");
    if (!takeByte(text, "0") && !takeDigits(text))
        return false;
    if (takeByte(text, ".") && !takeDigits(text))
        return false;
    if (takeByte(text, "eE")) {
        takeByte(text, "+-");
        if (!takeDigits(text))
            return false;
    }
    return text.empty();
}

/// Gives the length of the string literal at the start of `text`; nothing where a raw control
/// character is in it.
std::optional<std::size_t> stringLength(std::string_view text)
{
    for (std::size_t at = 1; at < text.size(); ++at) {
        if (static_cast<unsigned char>(text[at]) < ' ')
            return std::nullopt;
        if (text[at] == '"')
            return at + 1;
        if (text[at] == '\\')
            ++at;
    }
    return text.size();
}

/// Gives the length of the token at the start of `text`, a single byte where it has no name here;
/// nothing where it is at fault.
std::optional<std::size_t> tokenLength(std::string_view text)
{
    const char first = text.front();
    if (first == '"')
        return stringLength(text);
    if (first == '/')
        return std::nullopt;
    if (first != '+' && first != '-' && first != '.' && !isDigit(first))
        return 1;
    const std::size_t end = text.find_first_not_of(NumberBytes);
    const std::string_view number = text.substr(0, end);
    if (!isNumber(number))
        return std::nullopt;
    return number.size();
}

} // namespace

std::optional<std::string_view> findLenientJson(std::string_view text)
{
    if (text.starts_with(ByteOrderMark))
        return "begins with a byte order mark";
    if (!isUtf8(text))
        return "not UTF-8";
    while (!text.empty()) {
        const auto length = tokenLength(text);
        if (length) {
            text.remove_prefix(*length);
            continue;
        }
        if (text.front() == '"')
            return "control character in a string";
        return text.front() == '/' ? "comment" : "malformed number";
    }
    return std::nullopt;
}

} // namespace orchidlead::platform
