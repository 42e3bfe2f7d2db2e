#pragma once

#include "core/configuration/pipeline.h"
#include "net/http_server.h"

#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The run protocols of docs/PROTOCOLS.md, from the backend server's side.
namespace orchidlead::standins {

enum class run_protocol_error { BadRequestId, BadBody, IdMismatch };

/// One attempt, as it arrived.
struct run_call
{
    std::string id; ///< `X-Request-Id`: `<request>/<stage index>/<attempt>`
    attempt_key key;
    std::string stage; ///< the model, for engines
    std::string customer;
    std::string nonce; ///< the caller's mark
    std::optional<milliseconds> deadline;
    orchidlead::priority priority = priority::Normal;
    std::size_t inputBytes = 0;
    std::string inputDigest;
    std::string prompt; ///< engines only
    bool stream = false; ///< engines only
    std::vector<std::string> tokens; ///< engines only: what will be generated
    Json::Value output; ///< all but engines
};

/// Reads `<request>/<stage index>/<attempt>`; the request itself may hold no slash.
[[nodiscard]] std::optional<attempt_key> parseAttemptId(std::string_view text);

[[nodiscard]] result<run_call, run_protocol_error> parseStageCall(const net::http_request &request);
[[nodiscard]] result<run_call, run_protocol_error>
parseCompletionCall(const net::http_request &request);

/// Makes the body of a stage's answer.
[[nodiscard]] Json::Value stageAnswer(const run_call &call, const attempt_key &named,
                                      milliseconds busy, const Json::Value &load);

/// Makes the body of a whole completion.
[[nodiscard]] Json::Value completionAnswer(const run_call &call, const std::string &id,
                                           milliseconds busy);

/// Makes one server-sent event of a streamed completion.
[[nodiscard]] std::string completionEvent(const run_call &call, const std::string &id,
                                          std::size_t token);

/// Ends a streamed completion.
inline constexpr std::string_view StreamEnd = "data: [DONE]\n\n";

} // namespace orchidlead::standins
