#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/result.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace orchidlead {

/// Identifies one non-repeatable call. Chosen by the caller, and contains the time of issue.
///
/// Text form: `<unix milliseconds>-<random text>`. A node compares the time of issue with the
/// start of its lease, to prove that no earlier home of the key has run the call.
struct idempotency_key
{
    std::string text; ///< the whole key
    wall_time issued;

    friend auto operator<=>(const idempotency_key &, const idempotency_key &) = default;
};

/// Reason why a text is not a valid idempotency key.
enum class idempotency_key_error { TooLong, NoTime, BadTime, BadRandomText };

template <>
inline constexpr std::array enumNames<idempotency_key_error>{
    enum_name<idempotency_key_error>{idempotency_key_error::TooLong, "too_long"},
    enum_name<idempotency_key_error>{idempotency_key_error::NoTime, "no_time"},
    enum_name<idempotency_key_error>{idempotency_key_error::BadTime, "bad_time"},
    enum_name<idempotency_key_error>{idempotency_key_error::BadRandomText, "bad_random_text"},
};

inline constexpr std::size_t MaxIdempotencyKeyLength = 128; ///< bytes
inline constexpr std::size_t MinRandomTextLength = 8; ///< bytes; shorter texts may collide

/// Parses a key. The random text may hold letters, digits, `-`, `_` and `.`.
[[nodiscard]] result<idempotency_key, idempotency_key_error>
parseIdempotencyKey(std::string_view text);

} // namespace orchidlead
