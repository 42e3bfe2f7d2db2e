#include "ctl/command_line.h"

#include "core/settings/socket_address_text.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/time/time.h>

#include <algorithm>
#include <optional>

ABSL_FLAG(std::string, operator, "127.0.0.1:7201", "operator address of the node, IP:PORT");
ABSL_FLAG(std::string, caller, "127.0.0.1:7001", "caller address of the node, IP:PORT");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(5), "longest wait for an answer, such as 5s");
ABSL_FLAG(bool, json, false, "write JSON for machines");
ABSL_FLAG(std::string, color, "auto", "auto (on a terminal), always or never");
ABSL_FLAG(std::string, kind, "auto", "auto, settings or published");
ABSL_FLAG(std::string, file, "", "published configuration, - for standard input");
ABSL_FLAG(std::string, customer, "", "name of the customer");
ABSL_FLAG(std::string, pipeline, "", "name of the pipeline");
ABSL_FLAG(std::string, input, "", "JSON value, @FILE, or - for standard input");
ABSL_FLAG(std::string, ticket, "", "ticket from the node, for a request that may not be repeated");
ABSL_FLAG(std::string, idempotency_key, "", "the caller's own key, MILLISECONDS-TEXT");
ABSL_FLAG(absl::Duration, deadline, absl::ZeroDuration(),
          "time for the whole answer, such as 4s; without it, the pipeline's own");
ABSL_FLAG(bool, stream, false, "write the tokens as they come");
ABSL_FLAG(bool, once, false, "mark the request as one that may not be repeated");
ABSL_FLAG(bool, content, false, "write the configuration in force as well");
ABSL_FLAG(std::uint32_t, limit, 0, "at most that many rows; 0: all");

namespace orchidlead::ctl {

namespace {

constexpr std::string_view FlagStart = "--";
constexpr std::string_view Negation = "no";
constexpr std::string_view TrueText = "true";
constexpr std::string_view FalseText = "false";

/// Finds one of the flags above. Abseil brings flags of its own, which aren't part of the tool.
absl::CommandLineFlag *findFlag(std::string_view name)
{
    absl::CommandLineFlag *flag = absl::FindCommandLineFlag({name.data(), name.size()});
    const bool ours =
        flag != nullptr && flag->Filename().find("ctl/command_line") != std::string::npos;
    return ours ? flag : nullptr;
}

// absl::FlagSaver would do this too, but writes a line of log for each flag.
void restoreDefaults()
{
    for (const auto &[name, flag] : absl::GetAllFlags()) {
        std::string error;
        if (findFlag({name.data(), name.size()}) != nullptr)
            flag->ParseFrom(flag->DefaultValue(), &error);
    }
}

/// Takes the arguments one by one.
///
/// Flags are set through Abseil's own parsers of values. absl::ParseCommandLine isn't used, since
/// it ends the process with status 1 where a flag is wrong, and 1 means an invalid file here.
class argument_reader
{
public:
    explicit argument_reader(const std::vector<std::string> &arguments)
        : m_arguments(arguments)
    { }

    result<void, usage_error> read(command_line &line)
    {
        bool flagsEnded = false;
        while (m_next < m_arguments.size()) {
            const std::string &argument = m_arguments[m_next++];
            if (!flagsEnded && argument == FlagStart)
                flagsEnded = true;
            else if (!flagsEnded && (argument == "--help" || argument == "-h"))
                line.help = true;
            else if (!flagsEnded && argument.size() > 1 && argument.front() == '-') {
                BOOST_OUTCOME_TRYV(readFlag(argument, line));
            } else if (line.command.empty())
                line.command = argument;
            else
                line.arguments.push_back(argument);
        }
        return success();
    }

private:
    result<void, usage_error> readFlag(const std::string &argument, command_line &line)
    {
        if (!argument.starts_with(FlagStart))
            return usage_error{"unknown flag " + argument};
        std::string name = argument.substr(FlagStart.size());
        std::optional<std::string> value;
        const auto equals = name.find('=');
        if (equals != std::string::npos) {
            value = name.substr(equals + 1);
            name.resize(equals);
        }
        absl::CommandLineFlag *flag = findFlag(name);
        if (flag == nullptr && name.starts_with(Negation) && !value) {
            flag = findFlag(name.substr(Negation.size()));
            value = FalseText;
            if (flag != nullptr && !flag->IsOfType<bool>())
                flag = nullptr;
        }
        if (flag == nullptr)
            return usage_error{"unknown flag --" + name};
        line.flagsGiven.emplace_back(flag->Name());
        return setFlag(*flag, value);
    }

    result<void, usage_error> setFlag(absl::CommandLineFlag &flag, std::optional<std::string> value)
    {
        const std::string name(flag.Name());
        if (!value && flag.IsOfType<bool>())
            value = TrueText;
        if (!value) {
            if (m_next == m_arguments.size())
                return usage_error{"--" + name + " needs a value: " + flag.Help()};
            value = m_arguments[m_next++];
        }
        std::string error;
        if (!flag.ParseFrom(*value, &error))
            return usage_error{"--" + name + "=" + *value + ": expected " + flag.Help()};
        return success();
    }

    const std::vector<std::string> &m_arguments;
    std::size_t m_next = 0;
};

result<socket_address, usage_error> addressFlag(std::string_view name, const std::string &text)
{
    const auto address = parseSocketAddress(text);
    if (!address)
        return usage_error{"--" + std::string(name) + "=" + text + ": expected " + flagHelp(name)};
    return *address;
}

template <class Enum>
result<Enum, usage_error> enumFlag(std::string_view name, const std::string &text)
{
    const auto value = fromName<Enum>(text);
    if (!value)
        return usage_error{"--" + std::string(name) + "=" + text + ": expected " + flagHelp(name)};
    return *value;
}

result<milliseconds, usage_error> durationFlag(std::string_view name, absl::Duration duration)
{
    constexpr auto Longest = std::chrono::hours{1};
    const milliseconds read = absl::ToChronoMilliseconds(duration);
    if (read < milliseconds{0} || read > Longest)
        return usage_error{"--" + std::string(name) + "=" + absl::FormatDuration(duration)
                           + ": expected 0 to 1h"};
    return read;
}

result<flag_values, usage_error> readFlagValues()
{
    flag_values values;
    BOOST_OUTCOME_TRY(operators, addressFlag("operator", absl::GetFlag(FLAGS_operator)));
    BOOST_OUTCOME_TRY(caller, addressFlag("caller", absl::GetFlag(FLAGS_caller)));
    BOOST_OUTCOME_TRY(timeout, durationFlag("timeout", absl::GetFlag(FLAGS_timeout)));
    BOOST_OUTCOME_TRY(deadline, durationFlag("deadline", absl::GetFlag(FLAGS_deadline)));
    BOOST_OUTCOME_TRY(color, enumFlag<color_mode>("color", absl::GetFlag(FLAGS_color)));
    BOOST_OUTCOME_TRY(kind, enumFlag<document_kind>("kind", absl::GetFlag(FLAGS_kind)));
    values.operators = std::move(operators);
    values.caller = std::move(caller);
    values.timeout = timeout;
    values.deadline = deadline;
    values.color = color;
    values.kind = kind;
    values.json = absl::GetFlag(FLAGS_json);
    values.file = absl::GetFlag(FLAGS_file);
    values.customer = absl::GetFlag(FLAGS_customer);
    values.pipeline = absl::GetFlag(FLAGS_pipeline);
    values.input = absl::GetFlag(FLAGS_input);
    values.ticket = absl::GetFlag(FLAGS_ticket);
    values.idempotencyKey = absl::GetFlag(FLAGS_idempotency_key);
    values.stream = absl::GetFlag(FLAGS_stream);
    values.once = absl::GetFlag(FLAGS_once);
    values.content = absl::GetFlag(FLAGS_content);
    values.limit = absl::GetFlag(FLAGS_limit);
    return values;
}

} // namespace

result<command_line, usage_error> parseCommandLine(const std::vector<std::string> &arguments)
{
    restoreDefaults();
    command_line line;
    BOOST_OUTCOME_TRYV(argument_reader(arguments).read(line));
    BOOST_OUTCOME_TRY(values, readFlagValues());
    line.flags = std::move(values);
    return line;
}

std::string flagHelp(std::string_view name)
{
    const absl::CommandLineFlag *flag = findFlag(name);
    return flag == nullptr ? "" : flag->Help();
}

} // namespace orchidlead::ctl
