#include "wire/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace orchidlead::wire {

std::optional<milliseconds> parseRetryAfter(const net::header_list &headers)
{
    const auto text = net::findHeader(headers, "retry-after");
    if (!text)
        return std::nullopt;
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc{} || end != text->data() + text->size())
        return std::nullopt;
    return std::min<milliseconds>(std::chrono::seconds{value}, MaxRetryAfter);
}

} // namespace orchidlead::wire
