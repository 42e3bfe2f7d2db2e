#include "daemon/answer_json.h"

#include "wire/json_text.h"

#include <orchidlead/enum_names.h>

namespace orchidlead::daemon {

namespace {

constexpr int StatusAnswered = 200;
constexpr int StatusFailed = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusExpired = 504;
// In no registry: balancers send 502 to 504 again on their own, which an unknown fate forbids.
constexpr int StatusUnknown = 520;

int notRunStatus(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::InvalidRequest:
        return 400;
    case refusal_reason::KeyInUse:
        return 409;
    case refusal_reason::KeyExpired:
        return 410;
    case refusal_reason::TooLarge:
        return 413;
    case refusal_reason::Overloaded:
        return 429;
    default:
        return StatusUnavailable;
    }
}

/// Appends `"name":` and the value, with a comma before all but the first member.
class object_writer
{
public:
    explicit object_writer(std::string &out)
        : m_out(out)
    {
        m_out += '{';
    }

    void text(std::string_view name, std::string_view value)
    {
        start(name);
        wire::appendJsonString(m_out, value);
    }
    void number(std::string_view name, std::int64_t value) { raw(name, std::to_string(value)); }
    void flag(std::string_view name, bool value) { raw(name, value ? "true" : "false"); }
    void raw(std::string_view name, std::string_view json)
    {
        start(name);
        m_out += json;
    }
    void end() { m_out += '}'; }

private:
    void start(std::string_view name)
    {
        if (!m_first)
            m_out += ',';
        m_first = false;
        m_out += '"';
        m_out += name;
        m_out += "\":";
    }

    std::string &m_out;
    bool m_first = true;
};

void appendStage(std::string &out, const stage_report &stage)
{
    object_writer object(out);
    object.text("stage", stage.stage.value);
    object.text("server", stage.server.value);
    object.number("attempts", stage.attempts);
    object.number("hedges", stage.hedges);
    object.number("queued_ms", stage.queued.count());
    object.number("elapsed_ms", stage.elapsed.count());
    object.number("busy_ms", stage.busy.count());
    object.number("tokens", static_cast<std::int64_t>(stage.tokens));
    object.flag("finished", stage.finished);
    object.end();
}

milliseconds timeMember(const Json::Value &object, std::string_view name)
{
    return milliseconds{
        static_cast<std::int64_t>(wire::unsigned32Member(object, name).value_or(0))};
}

stage_report readStage(const Json::Value &object)
{
    stage_report stage;
    stage.stage = stage_id{wire::stringMember(object, "stage").value_or("")};
    stage.server = backend_server_id{wire::stringMember(object, "server").value_or("")};
    stage.attempts = wire::unsigned32Member(object, "attempts").value_or(0);
    stage.hedges = wire::unsigned32Member(object, "hedges").value_or(0);
    stage.queued = timeMember(object, "queued_ms");
    stage.elapsed = timeMember(object, "elapsed_ms");
    stage.busy = timeMember(object, "busy_ms");
    stage.tokens = wire::unsignedMember(object, "tokens").value_or(0);
    stage.finished = wire::boolMember(object, "finished").value_or(false);
    return stage;
}

std::int64_t wholeSeconds(milliseconds time)
{
    return std::chrono::ceil<std::chrono::seconds>(time).count();
}

} // namespace

int httpStatus(outcome end, refusal_reason reason)
{
    switch (end) {
    case outcome::Answered:
        return StatusAnswered;
    case outcome::NotRun:
        return notRunStatus(reason);
    case outcome::Failed:
        return StatusFailed;
    case outcome::Expired:
        return StatusExpired;
    case outcome::Unknown:
        break;
    }
    return StatusUnknown;
}

std::string writeStages(const std::vector<stage_report> &stages)
{
    std::string out = "[";
    for (const auto &stage : stages) {
        if (out.size() > 1)
            out += ',';
        appendStage(out, stage);
    }
    out += ']';
    return out;
}

std::string writeAnswer(const final_answer &answer)
{
    const bool hasOutput = answer.outcome == outcome::Answered && answer.output != nullptr;
    std::string out;
    object_writer object(out);
    object.text("request", answer.request.value);
    object.text("outcome", toName(answer.outcome));
    object.text("reason", toName(answer.reason));
    object.text("detail", answer.detail);
    object.raw("output", hasOutput ? std::string_view(*answer.output) : "null");
    object.raw("retry_after_ms",
               answer.retryAfter ? std::to_string(answer.retryAfter->count()) : "null");
    object.raw("stages", writeStages(answer.stages));
    object.end();
    return out;
}

std::optional<final_answer> readAnswer(std::string_view text)
{
    const auto parsed = wire::parseJson(text, {text.size()});
    if (!parsed)
        return std::nullopt;
    const Json::Value &root = parsed.value();
    const auto end = fromName<outcome>(wire::stringMember(root, "outcome").value_or(""));
    const auto reason = fromName<refusal_reason>(wire::stringMember(root, "reason").value_or(""));
    const Json::Value *output = wire::findMember(root, "output");
    if (!end || !reason || output == nullptr)
        return std::nullopt;
    final_answer answer;
    answer.outcome = *end;
    answer.reason = *reason;
    answer.detail = wire::stringMember(root, "detail").value_or("");
    if (*end == outcome::Answered)
        answer.output = std::make_shared<const std::string>(wire::sourceText(text, *output));
    if (wire::unsigned32Member(root, "retry_after_ms"))
        answer.retryAfter = timeMember(root, "retry_after_ms");
    if (const Json::Value *stages = wire::findMember(root, "stages"); stages && stages->isArray()) {
        for (const auto &stage : *stages)
            answer.stages.push_back(readStage(stage));
    }
    return answer;
}

net::header_list answerHeaders(const final_answer &answer)
{
    net::header_list headers{{"content-type", "application/json"}};
    if (answer.retryAfter)
        headers.push_back({"retry-after", std::to_string(wholeSeconds(*answer.retryAfter))});
    return headers;
}

final_answer refusal(refusal_reason reason, std::string detail,
                     std::optional<milliseconds> retryAfter)
{
    final_answer answer;
    answer.reason = reason;
    answer.detail = std::move(detail);
    answer.retryAfter = retryAfter;
    return answer;
}

std::string writeEvent(std::string_view type, std::string_view data)
{
    std::string out = "event: ";
    out += type;
    out += "\ndata: ";
    // A line break in the data would end its line; between JSON tokens it may stand anywhere.
    for (const char byte : data) {
        if (byte == '\n' || byte == '\r')
            out += "\ndata: ";
        else
            out += byte;
    }
    out += "\n\n";
    return out;
}

std::string writeToken(std::string_view text)
{
    std::string out;
    object_writer object(out);
    object.text("text", text);
    object.end();
    return out;
}

} // namespace orchidlead::daemon
