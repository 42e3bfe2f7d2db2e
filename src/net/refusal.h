#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// A refusal that the server makes by itself.
struct refusal
{
    int status;
    std::string_view reason;
    std::string_view detail;
};

inline constexpr refusal Malformed{400, "invalid_request", "the request is not well-formed HTTP"};
inline constexpr refusal SentAhead{400, "invalid_request",
                                   "a request with a body may not be sent ahead"};
inline constexpr refusal TooSlow{408, "invalid_request", "the request did not arrive in time"};
inline constexpr refusal NoLength{411, "invalid_request", "a request body needs a content-length"};
inline constexpr refusal BodyTooLarge{413, "too_large", "the request body is too large"};
inline constexpr refusal HeadTooLarge{431, "too_large", "the request head is too large"};
inline constexpr refusal NoUpgrade{501, "invalid_request", "upgrades are not served"};
inline constexpr refusal TooManyBytes{503, "overloaded", "too many request bodies are arriving"};
inline constexpr refusal TooManyConnections{503, "overloaded", "too many connections"};

/// How long a connection or stream that has been refused goes on dropping what its caller still
/// sends. Closing at once would reset it, and the caller might lose the answer that says why.
inline constexpr std::chrono::milliseconds LingerTime{1000};

/// The body that callers expect of a refusal.
[[nodiscard]] std::string refusalBody(const refusal &why);

/// When a refused caller may come back, in seconds; empty where coming back doesn't help.
[[nodiscard]] std::string_view refusalRetryAfter(const refusal &why);

/// A whole answer of HTTP/1.1 that refuses and closes.
[[nodiscard]] std::string refusalText(const refusal &why);

} // namespace orchidlead::net
