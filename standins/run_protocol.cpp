#include "standins/run_protocol.h"

#include "standins/json_http.h"
#include "standins/proof_marker.h"

#include <algorithm>
#include <charconv>

namespace orchidlead::standins {

namespace {

constexpr std::size_t BytesOfToken = 4;
constexpr std::uint32_t DefaultTokens = 16;
constexpr std::uint32_t MaxTokens = 65536;

std::optional<std::uint32_t> takeLastNumber(std::string_view &text)
{
    const std::size_t slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(slash + 1);
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    text = text.substr(0, slash);
    return number;
}

result<run_call, run_protocol_error> parseHead(const net::http_request &request)
{
    const auto header = net::findHeader(request.headers, "x-request-id");
    if (!header)
        return run_protocol_error::BadRequestId;
    const auto key = parseAttemptId(*header);
    if (!key)
        return run_protocol_error::BadRequestId;
    run_call call;
    call.id = std::string(*header);
    call.key = *key;
    call.inputBytes = request.body.size();
    call.nonce = findNonce(request.body);
    return call;
}

void readDeadline(const Json::Value &body, run_call &call)
{
    if (body["deadline_ms"].isInt64())
        call.deadline = milliseconds{body["deadline_ms"].asInt64()};
}

proof_marker ownMarker(const run_call &call)
{
    return {call.stage, call.nonce, call.inputDigest};
}

// The text holds the stage's own marker and those of the stages whose outputs it was given.
std::string proofText(const run_call &call, std::string_view given)
{
    std::string text = toText(ownMarker(call));
    for (const proof_marker &marker : findMarkers(given))
        text += " " + toText(marker);
    return text;
}

// The length follows from the prompt, so that a second run gives the same answer.
std::size_t tokenCount(const run_call &call, std::uint32_t maxTokens)
{
    const std::uint32_t least = maxTokens / 2;
    const auto drawn = static_cast<std::uint32_t>(std::stoull(call.inputDigest, nullptr, 16));
    return least + drawn % (maxTokens - least + 1);
}

std::vector<std::string> generate(const run_call &call, std::uint32_t maxTokens)
{
    std::vector<std::string> tokens{toText(ownMarker(call))};
    for (const proof_marker &marker : findMarkers(call.prompt))
        tokens.push_back(" " + toText(marker));
    for (std::size_t i = tokens.size(); i < tokenCount(call, maxTokens); ++i)
        tokens.push_back(" w" + std::to_string(i));
    return tokens;
}

bool namesCall(const Json::Value &body, const run_call &call)
{
    return body["request"].isString() && body["request"].asString() == call.key.request.value
        && body["stage_index"].isUInt() && body["stage_index"].asUInt() == call.key.stage
        && body["attempt"].isUInt() && body["attempt"].asUInt() == call.key.attempt;
}

Json::Value usage(const run_call &call)
{
    Json::Value json;
    json["prompt_tokens"] = Json::UInt64{call.prompt.size() / BytesOfToken};
    json["completion_tokens"] = Json::UInt64{call.tokens.size()};
    return json;
}

Json::Value completion(const run_call &call, const std::string &id, const std::string &text,
                       bool finished)
{
    Json::Value choice;
    choice["index"] = 0;
    choice["text"] = text;
    choice["finish_reason"] = finished ? Json::Value("stop") : Json::Value();
    Json::Value json;
    json["id"] = id;
    json["object"] = "text_completion";
    json["model"] = call.stage;
    json["choices"].append(choice);
    if (finished)
        json["usage"] = usage(call);
    return json;
}

} // namespace

std::optional<attempt_key> parseAttemptId(std::string_view text)
{
    const auto attempt = takeLastNumber(text);
    if (!attempt)
        return std::nullopt;
    const auto stage = takeLastNumber(text);
    if (!stage || text.empty() || text.find('/') != std::string_view::npos)
        return std::nullopt;
    return attempt_key{request_id{std::string(text)}, *stage, *attempt};
}

result<run_call, run_protocol_error> parseStageCall(const net::http_request &request)
{
    auto head = parseHead(request);
    if (!head)
        return head;
    run_call &call = head.value();
    const auto body = parseJson(request.body);
    if (!body || !body->isObject() || !(*body)["stage"].isString())
        return run_protocol_error::BadBody;
    if (!namesCall(*body, call))
        return run_protocol_error::IdMismatch;
    call.stage = (*body)["stage"].asString();
    if ((*body)["customer"].isString())
        call.customer = (*body)["customer"].asString();
    readDeadline(*body, call);
    call.inputDigest = contentDigest(toCompactJson((*body)["input"]));
    call.output["text"] = proofText(call, toCompactJson((*body)["previous"]));
    return head;
}

result<run_call, run_protocol_error> parseCompletionCall(const net::http_request &request)
{
    auto head = parseHead(request);
    if (!head)
        return head;
    run_call &call = head.value();
    const auto body = parseJson(request.body);
    if (!body || !body->isObject() || !(*body)["prompt"].isString() || !(*body)["model"].isString())
        return run_protocol_error::BadBody;
    call.stage = (*body)["model"].asString();
    call.prompt = (*body)["prompt"].asString();
    call.stream = (*body)["stream"].isBool() && (*body)["stream"].asBool();
    readDeadline(*body, call);
    const Json::Value &order = (*body)["priority"];
    const int high = static_cast<int>(priority::High);
    const int low = static_cast<int>(priority::Low);
    if (order.isInt())
        call.priority = static_cast<priority>(std::clamp(order.asInt(), high, low));
    call.inputDigest = contentDigest(call.prompt);
    const Json::Value &most = (*body)["max_tokens"];
    call.tokens =
        generate(call, most.isUInt() ? std::clamp(most.asUInt(), 1U, MaxTokens) : DefaultTokens);
    return head;
}

Json::Value stageAnswer(const run_call &call, const attempt_key &named, milliseconds busy,
                        const Json::Value &load)
{
    Json::Value json;
    json["request"] = named.request.value;
    json["stage_index"] = named.stage;
    json["attempt"] = named.attempt;
    json["output"] = call.output;
    json["busy_ms"] = Json::Int64{busy.count()};
    json["load"] = load;
    return json;
}

Json::Value completionAnswer(const run_call &call, const std::string &id, milliseconds busy)
{
    std::string text;
    for (const std::string &token : call.tokens)
        text += token;
    Json::Value json = completion(call, id, text, true);
    json["busy_ms"] = Json::Int64{busy.count()};
    return json;
}

std::string completionEvent(const run_call &call, const std::string &id, std::size_t token)
{
    const bool last = token + 1 == call.tokens.size();
    return "data: " + toCompactJson(completion(call, id, call.tokens[token], last)) + "\n\n";
}

} // namespace orchidlead::standins
