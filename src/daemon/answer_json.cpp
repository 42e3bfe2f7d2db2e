#include "daemon/answer_json.h"

#include "platform/json_text.h"

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
        platform::appendJsonString(m_out, value);
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
