#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// A refusal that the server sends without calling the handler.
struct refusal
{
    int status;
    std::string_view reason;
    std::string_view detail;
};

inline constexpr refusal Malformed{400, "invalid_request", "the request is not well-formed HTTP"};
inline constexpr refusal PipelinedBody{400, "invalid_request",
                                       "a request with a body may not be sent ahead"};
inline constexpr refusal RequestTimeout{408, "invalid_request",
                                        "the request did not arrive in time"};
inline constexpr refusal LengthRequired{411, "invalid_request",
                                        "a request body needs a content-length"};
inline constexpr refusal BodyTooLarge{413, "too_large", "the request body is too large"};
inline constexpr refusal HeadTooLarge{431, "too_large", "the request head is too large"};
inline constexpr refusal NoUpgrade{501, "invalid_request", "upgrades are not served"};
inline constexpr refusal TooManyBytes{503, "overloaded", "too many request bodies are arriving"};
inline constexpr refusal TooManyConnections{503, "overloaded", "too many connections"};

/// How long a refused connection or stream discards further input before it is closed. Closing it
/// at once would reset it, and the client might lose the response with the reason.
inline constexpr std::chrono::milliseconds LingerTime{1000};

/// The response body of a refusal, in JSON.
[[nodiscard]] std::string refusalBody(const refusal &cause);

/// The `retry-after` value in seconds; empty if a retry would not help.
[[nodiscard]] std::string_view refusalRetryAfter(const refusal &cause);

/// The whole HTTP/1.1 response of a refusal, which closes the connection.
[[nodiscard]] std::string refusalResponse(const refusal &cause);

} // namespace orchidlead::net
