#include "wire/completion_wire.h"

#include "wire/attempt_header.h"

namespace orchidlead::wire {

namespace {

constexpr std::string_view IdPrefix = "cmpl-";
constexpr std::string_view EndOfStream = "[DONE]";

int priorityNumber(priority value)
{
    switch (value) {
    case priority::High:
        return 0;
    case priority::Normal:
        return 1;
    case priority::Low:
        return 2;
    }
    return 1;
}

/// A JSON value that isn't an object or array is put into an array, the root that strict JSON asks
/// for.
std::string textOf(const payload &value)
{
    if (!value || value->empty())
        return {};
    const auto parsed = parseJson("[" + *value + "]");
    if (!parsed || parsed.value().size() != 1)
        return *value;
    const Json::Value &item = parsed.value()[0];
    if (item.isString())
        return item.asString();
    if (auto text = stringMember(item, "text"))
        return std::move(*text);
    return *value;
}

std::optional<attempt_key> parseCompletionId(const Json::Value &value)
{
    const auto id = stringMember(value, "id");
    if (!id || !id->starts_with(IdPrefix))
        return std::nullopt;
    return parseAttemptKey(std::string_view{*id}.substr(IdPrefix.size()));
}

const Json::Value *firstChoice(const Json::Value &value)
{
    const Json::Value *choices = findMember(value, "choices");
    if (choices == nullptr || !choices->isArray() || choices->size() != 1)
        return nullptr;
    return &(*choices)[0];
}

std::string composeOutput(std::string_view text, std::string_view finishReason)
{
    std::string output = "{\"text\":";
    appendJsonString(output, text);
    output += ",\"finish_reason\":";
    appendJsonString(output, finishReason);
    output += '}';
    return output;
}

} // namespace

std::string composePrompt(const send_attempt &attempt)
{
    std::string prompt = textOf(attempt.input);
    for (const auto &previous : attempt.previous) {
        prompt += '\n';
        prompt += textOf(previous.output);
    }
    return prompt;
}

std::string completion_wire::composeBody(const send_attempt &attempt, milliseconds remaining)
{
    std::string body = "{\"model\":";
    appendJsonString(body, attempt.stage.model);
    body += ",\"prompt\":";
    appendJsonString(body, composePrompt(attempt));
    if (attempt.stage.maxTokens > 0)
        body += ",\"max_tokens\":" + std::to_string(attempt.stage.maxTokens);
    body += attempt.stream ? ",\"stream\":true" : ",\"stream\":false";
    body += ",\"priority\":" + std::to_string(priorityNumber(attempt.priority));
    body += ",\"deadline_ms\":" + std::to_string(remaining.count());
    body += '}';
    return body;
}

completion_wire::decoder::decoder(const send_attempt &attempt, const wire_bounds &bounds)
    : m_bounds(bounds)
    , m_key(attempt.key)
    , m_stream(attempt.stream)
    , m_events(bounds.maxEventBytes)
{ }

result<wire_progress, wire_error> completion_wire::decoder::feed(std::string_view bytes)
{
    wire_progress progress;
    if (!m_stream) {
        if (m_body.size() + bytes.size() > m_bounds.json.maxBytes)
            return failure(wire_error::TooLarge);
        m_body += bytes;
        return progress;
    }
    const auto events = m_events.feed(bytes);
    if (!events)
        return failure(wire_error::TooLarge);
    for (const auto &event : events.value()) {
        if (m_done)
            break;
        BOOST_OUTCOME_TRYV(takeEvent(event.data, progress));
    }
    progress.whole = m_done;
    return progress;
}

result<void, wire_error> completion_wire::decoder::takeEvent(std::string_view data,
                                                             wire_progress &progress)
{
    if (data == EndOfStream) {
        if (m_finishReason.empty())
            return failure(wire_error::Malformed);
        m_done = true;
        return success();
    }
    const auto parsed = parseJson(data, m_bounds.json);
    if (!parsed)
        return failure(wire_error::Malformed);
    auto text = takeCompletion(parsed.value());
    if (!text)
        return failure(text.error());
    // A text of a foreign stream must not reach the caller, so the name is checked for each event
    // here; the whole answer's name is left to the receiver.
    if (m_answer.echoed != m_key)
        return failure(wire_error::Foreign);
    if (!text.value().empty())
        progress.chunks.push_back(std::move(text.value()));
    return success();
}

result<std::string, wire_error> completion_wire::decoder::takeCompletion(const Json::Value &value)
{
    auto echoed = parseCompletionId(value);
    const Json::Value *choice = firstChoice(value);
    if (!echoed || choice == nullptr)
        return failure(wire_error::Malformed);
    auto text = stringMember(*choice, "text");
    if (!text || !m_finishReason.empty())
        return failure(wire_error::Malformed);
    if (m_text.size() + text->size() > m_bounds.maxTextBytes)
        return failure(wire_error::TooLarge);
    m_text += *text;
    m_finishReason = stringMember(*choice, "finish_reason").value_or("");
    m_answer.echoed = std::move(*echoed);
    if (const Json::Value *usage = findMember(value, "usage"))
        m_answer.tokens = unsigned32Member(*usage, "completion_tokens").value_or(0);
    m_answer.busy = milliseconds{unsigned32Member(value, "busy_ms").value_or(0)};
    if (const Json::Value *load = findMember(value, "load"))
        m_answer.load = parseLoad(*load);
    return std::move(*text);
}

result<wire_answer, wire_error> completion_wire::decoder::finish()
{
    if (!m_stream) {
        const auto parsed = parseJson(m_body, m_bounds.json);
        if (!parsed)
            return failure(wire_error::Malformed);
        BOOST_OUTCOME_TRYV(takeCompletion(parsed.value()));
        if (m_finishReason.empty())
            return failure(wire_error::Malformed);
    } else if (!m_done) {
        return failure(wire_error::Incomplete);
    }
    m_answer.output = composeOutput(m_text, m_finishReason);
    return std::move(m_answer);
}

} // namespace orchidlead::wire
