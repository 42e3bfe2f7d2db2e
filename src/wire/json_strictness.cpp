#include "wire/json_strictness.h"

#include "wire/json_text.h"

#include <charconv>
#include <cstddef>
#include <cstdint>

namespace orchidlead::wire {

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

/// Reads `\uXXXX` at the start of `text`.
std::optional<std::uint32_t> escapedUnit(std::string_view text)
{
    constexpr std::size_t Length = 6;
    constexpr int Hexadecimal = 16;
    if (!text.starts_with("\\u") || text.size() < Length)
        return std::nullopt;
    std::uint32_t unit = 0;
    const auto *last = text.data() + Length;
    const auto [end, error] = std::from_chars(text.data() + 2, last, unit, Hexadecimal);
    if (error != std::errc{} || end != last)
        return std::nullopt;
    return unit;
}

bool isHighSurrogate(std::uint32_t unit)
{
    return unit >= 0xd800 && unit <= 0xdbff;
}

bool isLowSurrogate(std::uint32_t unit)
{
    return unit >= 0xdc00 && unit <= 0xdfff;
}

/// Gives the length of the escape at the start of `text`; nothing for half a surrogate pair, which
/// jsoncpp would turn into bytes that aren't UTF-8.
std::optional<std::size_t> escapeLength(std::string_view text)
{
    constexpr std::size_t ShortLength = 2;
    constexpr std::size_t UnitLength = 6;
    const auto unit = escapedUnit(text);
    if (!unit)
        return ShortLength;
    if (isLowSurrogate(*unit))
        return std::nullopt;
    if (!isHighSurrogate(*unit))
        return UnitLength;
    const auto second = escapedUnit(text.substr(UnitLength));
    if (!second || !isLowSurrogate(*second))
        return std::nullopt;
    return 2 * UnitLength;
}

/// Gives the length of the string literal at the start of `text`; nothing where a raw control
/// character or half a surrogate pair is in it.
std::optional<std::size_t> stringLength(std::string_view text)
{
    std::size_t at = 1;
    while (at < text.size()) {
        if (static_cast<unsigned char>(text[at]) < ' ')
            return std::nullopt;
        if (text[at] == '"')
            return at + 1;
        const auto length =
            text[at] == '\\' ? escapeLength(text.substr(at)) : std::optional<std::size_t>{1};
        if (!length)
            return std::nullopt;
        at += *length;
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
            return "control character or half a surrogate pair in a string";
        return text.front() == '/' ? "comment" : "malformed number";
    }
    return std::nullopt;
}

} // namespace orchidlead::wire
