#pragma once

#include "core/requests/caller_request.h"

#include <orchidlead/outcome.h>
#include <orchidlead/result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace orchidlead::daemon {

/// Says which field of a caller's request can't be taken, and why.
struct caller_error
{
    refusal_reason reason = refusal_reason::InvalidRequest;
    std::string detail; ///< for people; begins with the field's name where one is at fault
};

/// Bounds on a caller's request.
struct caller_bounds
{
    std::size_t maxBodyBytes = 16U << 20U;
    int maxDepth = 64; ///< nested arrays and objects
};

inline constexpr std::size_t MaxNameBytes = 256;
inline constexpr std::size_t MaxTicketBytes = 512;
inline constexpr std::size_t MaxIdempotencyKeyBytes = 128;
inline constexpr milliseconds MaxDeadline{3'600'000};

/// Reads the body of `POST /v1/requests`.
[[nodiscard]] result<caller_request, caller_error>
parseCallerRequest(std::string_view body, const caller_bounds &bounds = {});

} // namespace orchidlead::daemon
