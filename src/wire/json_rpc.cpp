#include "wire/json_rpc.h"

namespace orchidlead::wire {

namespace {

constexpr std::string_view Version = "2.0";
constexpr std::size_t MaxMessageBytes = 500;

rpc_error malformed(std::string why)
{
    return {0, std::move(why)};
}

rpc_error readError(const Json::Value &error)
{
    const Json::Value *code = findMember(error, "code");
    auto message = stringMember(error, "message");
    if (code == nullptr || !code->isInt() || code->asInt() == 0 || !message)
        return malformed("error: expected code and message");
    message->resize(std::min(message->size(), MaxMessageBytes));
    return {code->asInt(), std::move(*message)};
}

} // namespace

std::string composeRpcCall(rpc_id id, std::string_view method, const Json::Value &parameters)
{
    Json::Value call;
    call["jsonrpc"] = std::string{Version};
    call["id"] = Json::Value::UInt64{id};
    call["method"] = std::string{method};
    call["params"] = parameters;
    return writeJson(call);
}

result<Json::Value, rpc_error> parseRpcAnswer(rpc_id id, std::string_view text)
{
    auto parsed = parseJson(text);
    if (!parsed)
        return failure(malformed(parsed.error().what));
    const Json::Value &answer = parsed.value();
    if (stringMember(answer, "jsonrpc") != Version)
        return failure(malformed("jsonrpc: expected 2.0"));
    const Json::Value *error = findMember(answer, "error");
    const Json::Value *value = findMember(answer, "result");
    if ((error == nullptr) == (value == nullptr))
        return failure(malformed("expected one of result and error"));
    // An error in reading the call has no id to give back.
    if (unsignedMember(answer, "id") != id && error == nullptr)
        return failure(malformed("id: of another call"));
    if (error != nullptr)
        return failure(readError(*error));
    return *value;
}

} // namespace orchidlead::wire
