#pragma once

#include "wire/json_text.h"

#include <orchidlead/result.h>

#include <cstdint>
#include <string>
#include <string_view>

/// The client's half of JSON-RPC 2.0. The library's own client blocks, and its headers can't be
/// compiled as C++20.
namespace orchidlead::wire {

using rpc_id = std::uint64_t;

/// The other side's error, or why its answer isn't one.
struct rpc_error
{
    int code = 0; ///< of JSON-RPC; 0: the answer is malformed or belongs to another call
    std::string message;
};

/// Writes a call with parameters by name.
[[nodiscard]] std::string composeRpcCall(rpc_id id, std::string_view method,
                                         const Json::Value &parameters);

/// Reads the answer to the call `id` and returns its result.
[[nodiscard]] result<Json::Value, rpc_error> parseRpcAnswer(rpc_id id, std::string_view text);

} // namespace orchidlead::wire
