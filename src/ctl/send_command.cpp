#include "ctl/send_command.h"

#include "core/settings/socket_address_text.h"
#include "ctl/document_file.h"
#include "ctl/table.h"
#include "wire/json_text.h"
#include "wire/sse_parser.h"

#include <orchidlead/outcome.h>

#include <json/value.h>

#include <optional>

namespace orchidlead::ctl {

namespace {

constexpr std::size_t MaxInputBytes = std::size_t{16} << 20;
constexpr std::size_t MaxEventBytes = std::size_t{64} << 20;
constexpr char FileMark = '@';
constexpr std::string_view StandardInput = "-";

exit_code fail(const command_context &context, exit_code code, const std::string &message)
{
    context.to.error << "orchidctl: " << printable(message) << '\n';
    return code;
}

exit_code exitCodeOf(outcome end)
{
    switch (end) {
    case outcome::Answered:
        return exit_code::Success;
    case outcome::NotRun:
        return exit_code::NotRun;
    case outcome::Failed:
        return exit_code::Failed;
    case outcome::Unknown:
        return exit_code::Unknown;
    case outcome::Expired:
        return exit_code::Expired;
    }
    return exit_code::Unreachable;
}

result<std::string, file_error> readInput(const command_context &context)
{
    const std::string &input = context.line.flags.input;
    if (input == StandardInput)
        return readFile(input, context.in, MaxInputBytes);
    if (!input.empty() && input.front() == FileMark)
        return readFile(input.substr(1), context.in, MaxInputBytes);
    return input;
}

std::string quoted(std::string_view text)
{
    std::string out;
    wire::appendJsonString(out, text);
    return out;
}

// The input is put in as it is: a number must not lose digits on its way through the tool. The
// node checks it; what isn't JSON gets its answer.
std::string requestBody(const flag_values &flags, const std::string &input)
{
    std::string body = "{\"customer\": " + quoted(flags.customer)
        + ", \"pipeline\": " + quoted(flags.pipeline) + ", \"input\": " + input;
    if (flags.deadline > milliseconds{0})
        body += ", \"deadline_ms\": " + std::to_string(flags.deadline.count());
    if (!flags.ticket.empty())
        body += ", \"ticket\": " + quoted(flags.ticket);
    if (!flags.idempotencyKey.empty())
        body += ", \"idempotency_key\": " + quoted(flags.idempotencyKey);
    if (flags.once)
        body += ", \"repeatable\": false";
    if (flags.stream)
        body += ", \"stream\": true";
    return body + "}";
}

/// Takes a streamed answer: writes the tokens, keeps the outcome.
class stream_reader
{
public:
    explicit stream_reader(const command_context &context)
        : m_context(context)
        , m_parser(MaxEventBytes)
    { }

    void feed(std::string_view bytes)
    {
        if (m_broken)
            return;
        const auto events = m_parser.feed(bytes);
        m_broken = !events;
        if (m_broken)
            return;
        for (const auto &event : events.value())
            take(event);
    }

    [[nodiscard]] const std::optional<std::string> &outcomeText() const { return m_outcome; }
    [[nodiscard]] bool hasTokens() const { return m_hasTokens; }

private:
    void take(const wire::sse_event &event)
    {
        if (event.type == "outcome") {
            m_outcome = event.data;
        } else if (event.type == "token" && !m_context.line.flags.json) {
            const auto value = wire::parseJson(event.data);
            if (!value)
                return;
            m_context.to.out << wire::stringMember(value.value(), "text").value_or("")
                             << std::flush;
            m_hasTokens = true;
        }
    }

    const command_context &m_context;
    wire::sse_parser m_parser;
    std::optional<std::string> m_outcome;
    bool m_hasTokens = false;
    bool m_broken = false;
};

void print(const Json::Value &answer, const std::string &text, const console &to, bool outputShown)
{
    const std::string end = wire::stringMember(answer, "outcome").value_or("");
    to.out << to.styled(printable(end), styleOf(end));
    const auto reason = wire::stringMember(answer, "reason");
    if (reason && *reason != toName(refusal_reason::None))
        to.out << " (" << printable(*reason) << ')';
    to.out << "  " << printable(wire::stringMember(answer, "request").value_or("")) << '\n';
    const auto detail = wire::stringMember(answer, "detail");
    if (detail && !detail->empty())
        to.out << printable(*detail) << '\n';
    if (const auto again = wire::unsignedMember(answer, "retry_after_ms"))
        to.out << "come back in " << *again << " ms\n";
    // As the node wrote it: a number must not lose digits on its way.
    if (!outputShown && !answer["output"].isNull())
        to.out << printable(wire::sourceText(text, answer["output"])) << '\n';
}

exit_code show(const command_context &context, const std::string &text, bool outputShown)
{
    const auto answer = wire::parseJson(text, {MaxEventBytes});
    const auto name =
        answer ? wire::stringMember(answer.value(), "outcome") : std::optional<std::string>();
    const auto end = name ? fromName<outcome>(*name) : std::nullopt;
    if (!end)
        return fail(context, exit_code::Unreachable,
                    "the answer has no outcome; whether the request ran isn't known");
    if (context.line.flags.json)
        context.to.out << text << '\n';
    else
        print(answer.value(), text, context.to, outputShown);
    return exitCodeOf(*end);
}

} // namespace

exit_code runSend(const command_context &context)
{
    const auto input = readInput(context);
    if (!input)
        return fail(context, exit_code::Usage, "--input: can't be read: " + input.error().reason);
    stream_reader reader(context);
    api_request request;
    request.address = context.line.flags.caller;
    request.method = "POST";
    request.path = "/v1/requests";
    request.body = requestBody(context.line.flags, input.value());
    request.timeout = context.line.flags.timeout + context.line.flags.deadline;
    request.onStream = [&](std::string_view bytes) { reader.feed(bytes); };
    const auto answer = context.call(request);
    if (reader.hasTokens())
        context.to.out << '\n';
    if (reader.outcomeText())
        return show(context, *reader.outcomeText(), true);
    if (!answer)
        return fail(context, exit_code::Unreachable,
                    toText(request.address) + ": " + answer.error().what);
    return show(context, answer.value().body, false);
}

} // namespace orchidlead::ctl
