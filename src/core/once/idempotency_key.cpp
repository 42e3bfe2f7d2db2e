#include <orchidlead/idempotency_key.h>

#include <charconv>
#include <cstdint>

namespace orchidlead {

namespace {

// In the year 33658. Prevents overflow in arithmetic on time points.
constexpr std::int64_t MaxUnixMilliseconds = 1'000'000'000'000'000;

bool isRandomText(std::string_view text)
{
    for (const char c : text) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool digit = c >= '0' && c <= '9';
        if (!letter && !digit && c != '-' && c != '_' && c != '.')
            return false;
    }
    return text.size() >= MinRandomTextLength;
}

} // namespace

result<idempotency_key, idempotency_key_error> parseIdempotencyKey(std::string_view text)
{
    if (text.size() > MaxIdempotencyKeyLength)
        return idempotency_key_error::TooLong;
    const auto dash = text.find('-');
    if (dash == std::string_view::npos || dash == 0)
        return idempotency_key_error::NoTime;
    std::int64_t issued = 0;
    const char *end = text.data() + dash;
    const auto parsed = std::from_chars(text.data(), end, issued);
    const bool leadingZero = text.front() == '0';
    if (parsed.ec != std::errc{} || parsed.ptr != end || leadingZero || issued <= 0
        || issued > MaxUnixMilliseconds)
        return idempotency_key_error::BadTime;
    if (!isRandomText(text.substr(dash + 1)))
        return idempotency_key_error::BadRandomText;
    return idempotency_key{std::string{text}, wall_time{milliseconds{issued}}};
}

} // namespace orchidlead
