#pragma once

#include "core/requests/engine_types.h"
#include "wire/json_text.h"

#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::wire {

/// Why the bytes of an answer aren't one.
enum class wire_error {
    Malformed,
    Foreign, ///< names another attempt than the one that was sent
    TooLarge,
    Incomplete, ///< ended before it said so
};

/// What a backend server says of its load; `backend_server_id` is added by the reader.
struct wire_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool leaving = false;
};

/// A whole answer, decoded.
struct wire_answer
{
    attempt_key echoed;
    std::string output; ///< JSON value
    std::uint64_t tokens = 0;
    milliseconds busy{0};
    std::optional<wire_load> load;
};

/// What a part of an answer brought.
struct wire_progress
{
    std::vector<std::string> chunks; ///< texts to hand on at once
    bool whole = false; ///< nothing that may still come belongs to the answer
};

/// Bounds on answers.
struct wire_bounds
{
    json_bounds json;
    std::size_t maxEventBytes = 256U << 10U;
    std::size_t maxTextBytes = 4U << 20U; ///< generated text, all chunks together
};

/// The wire protocol of one kind of backend server: how an attempt is written and an answer read.
template <class Wire>
concept stage_wire = requires(const send_attempt &attempt, milliseconds remaining,
                              typename Wire::decoder decoder, std::string_view bytes)
{
    {
        Wire::composeBody(attempt, remaining)
        } -> std::same_as<std::string>;
    requires std::constructible_from<typename Wire::decoder, const send_attempt &,
                                     const wire_bounds &>;
    {
        decoder.feed(bytes)
        } -> std::same_as<result<wire_progress, wire_error>>;
    {
        decoder.finish()
        } -> std::same_as<result<wire_answer, wire_error>>;
};

/// Reads `{"running", "queued", "leaving"}`; nothing where it isn't of that form.
[[nodiscard]] std::optional<wire_load> parseLoad(const Json::Value &value);

} // namespace orchidlead::wire

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::wire::wire_error>{
    orchidlead::enum_name<orchidlead::wire::wire_error>{orchidlead::wire::wire_error::Malformed,
                                                        "malformed"},
    orchidlead::enum_name<orchidlead::wire::wire_error>{orchidlead::wire::wire_error::Foreign,
                                                        "foreign"},
    orchidlead::enum_name<orchidlead::wire::wire_error>{orchidlead::wire::wire_error::TooLarge,
                                                        "too_large"},
    orchidlead::enum_name<orchidlead::wire::wire_error>{orchidlead::wire::wire_error::Incomplete,
                                                        "incomplete"},
};
