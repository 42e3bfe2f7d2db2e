#include "wire/attempt_header.h"

#include <charconv>
#include <cstdint>

namespace orchidlead::wire {

namespace {

std::optional<std::uint32_t> parseNumber(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Cuts the part after the last slash off `text` and reads it as a number.
std::optional<std::uint32_t> takeLastNumber(std::string_view &text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto value = parseNumber(text.substr(slash + 1));
    text = text.substr(0, slash);
    return value;
}

} // namespace

std::string formatAttemptKey(const attempt_key &key)
{
    return key.request.value + "/" + std::to_string(key.stage) + "/" + std::to_string(key.attempt);
}

std::optional<attempt_key> parseAttemptKey(std::string_view text)
{
    const auto attempt = takeLastNumber(text);
    if (!attempt)
        return std::nullopt;
    const auto stage = takeLastNumber(text);
    if (!stage || text.empty())
        return std::nullopt;
    return attempt_key{request_id{std::string{text}}, *stage, *attempt};
}

} // namespace orchidlead::wire
