#include "wire/json_stage_wire.h"

namespace orchidlead::wire {

namespace {

constexpr std::size_t EnvelopeBytes = 512;

std::size_t payloadBytes(const payload &text)
{
    return text ? text->size() : 0;
}

std::size_t bodyBytes(const send_attempt &attempt)
{
    std::size_t bytes = EnvelopeBytes + payloadBytes(attempt.input);
    for (const auto &previous : attempt.previous)
        bytes += previous.stage.value.size() + payloadBytes(previous.output) + 4;
    return bytes;
}

void appendPayload(std::string &out, const payload &text)
{
    out += text && !text->empty() ? std::string_view{*text} : std::string_view{"null"};
}

void appendStringMember(std::string &out, std::string_view name, std::string_view value)
{
    out += '"';
    out += name;
    out += "\":";
    appendJsonString(out, value);
    out += ',';
}

void appendNumberMember(std::string &out, std::string_view name, std::int64_t value)
{
    out += '"';
    out += name;
    out += "\":";
    out += std::to_string(value);
    out += ',';
}

std::optional<attempt_key> parseEcho(const Json::Value &answer)
{
    auto request = stringMember(answer, "request");
    const auto stage = unsigned32Member(answer, "stage_index");
    const auto attempt = unsigned32Member(answer, "attempt");
    if (!request || !stage || !attempt)
        return std::nullopt;
    return attempt_key{request_id{std::move(*request)}, *stage, *attempt};
}

} // namespace

std::string json_stage_wire::composeBody(const send_attempt &attempt, milliseconds remaining)
{
    std::string body;
    body.reserve(bodyBytes(attempt));
    body += '{';
    appendStringMember(body, "request", attempt.key.request.value);
    appendStringMember(body, "stage", attempt.stage.id.value);
    appendNumberMember(body, "stage_index", attempt.key.stage);
    appendNumberMember(body, "attempt", attempt.key.attempt);
    appendStringMember(body, "customer", attempt.customer.value);
    appendStringMember(body, "priority", toName(attempt.priority));
    appendNumberMember(body, "deadline_ms", remaining.count());
    body += "\"input\":";
    appendPayload(body, attempt.input);
    body += ",\"previous\":{";
    bool first = true;
    for (const auto &previous : attempt.previous) {
        if (!first)
            body += ',';
        first = false;
        appendJsonString(body, previous.stage.value);
        body += ':';
        appendPayload(body, previous.output);
    }
    body += "}}";
    return body;
}

json_stage_wire::decoder::decoder(const send_attempt & /*attempt*/, const wire_bounds &bounds)
    : m_bounds(bounds)
{ }

result<wire_progress, wire_error> json_stage_wire::decoder::feed(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > m_bounds.json.maxBytes)
        return failure(wire_error::TooLarge);
    m_body += bytes;
    return wire_progress{};
}

result<wire_answer, wire_error> json_stage_wire::decoder::finish()
{
    const auto parsed = parseJson(m_body, m_bounds.json);
    if (!parsed)
        return failure(wire_error::Malformed);
    const Json::Value &answer = parsed.value();
    auto echoed = parseEcho(answer);
    const Json::Value *output = findMember(answer, "output");
    if (!echoed || output == nullptr)
        return failure(wire_error::Malformed);
    wire_answer decoded;
    decoded.echoed = std::move(*echoed);
    decoded.output = sourceText(m_body, *output);
    decoded.busy = milliseconds{unsigned32Member(answer, "busy_ms").value_or(0)};
    if (const Json::Value *load = findMember(answer, "load"))
        decoded.load = parseLoad(*load);
    return decoded;
}

} // namespace orchidlead::wire
