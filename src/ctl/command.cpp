#include "ctl/command.h"

#include "ctl/check_command.h"
#include "ctl/explain_command.h"
#include "ctl/node_commands.h"
#include "ctl/render_command.h"
#include "ctl/send_command.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace orchidlead::ctl {

namespace {

using namespace std::string_view_literals;

constexpr std::size_t AnyNumber = std::numeric_limits<std::size_t>::max();
constexpr std::string_view HelpCommand = "help";

constexpr std::array CheckFlags{"kind"sv};
constexpr std::array RenderFlags{"file"sv, "customer"sv, "pipeline"sv};
constexpr std::array NodeFlags{"operator"sv, "timeout"sv};
constexpr std::array ListFlags{"operator"sv, "timeout"sv, "limit"sv};
constexpr std::array ConfigFlags{"operator"sv, "timeout"sv, "content"sv};
constexpr std::array SendFlags{"caller"sv, "timeout"sv,  "customer"sv, "pipeline"sv,
                               "input"sv,  "deadline"sv, "ticket"sv,   "idempotency_key"sv,
                               "once"sv,   "stream"sv};

constexpr std::array Commands{
    command{.name = "check",
            .arguments = "FILE…",
            .count = {1, AnyNumber},
            .summary = "check settings or published configurations, as the daemon does",
            .example = "orchidctl check examples/settings.yaml examples/vilistlasvork.yaml",
            .flags = CheckFlags,
            .run = runCheck},
    command{.name = "render",
            .arguments = "",
            .count = {},
            .summary = "render a customer's pipeline from a published configuration",
            .example = "orchidctl render --file examples/vilistlasvork.yaml --customer "
                       "tartu-alumni --pipeline chat",
            .flags = RenderFlags,
            .run = runRender},
    command{.name = "explain",
            .arguments = "REQUEST [FILE…]",
            .count = {1, AnyNumber},
            .summary =
                "tell what happened to a request, from the log lines of any number of gateways",
            .example = "orchidctl explain f84f9f8a68a38d5c edge-*.log",
            .flags = {},
            .run = runExplain},
    command{.name = "status",
            .arguments = "",
            .count = {},
            .summary = "show a node's state, configuration version and request counts",
            .example = "orchidctl status --operator 127.0.0.1:7201",
            .flags = NodeFlags,
            .run = runStatus},
    command{.name = "vms",
            .arguments = "",
            .count = {},
            .summary = "show the VMs as the node sees them",
            .example = "orchidctl vms",
            .flags = ListFlags,
            .run = runVms},
    command{.name = "servers",
            .arguments = "",
            .count = {},
            .summary = "show backend servers with state, load and limit",
            .example = "orchidctl servers",
            .flags = ListFlags,
            .run = runServers},
    command{.name = "stages",
            .arguments = "",
            .count = {},
            .summary = "show services with queue and latency, and stages with their cost",
            .example = "orchidctl stages",
            .flags = ListFlags,
            .run = runStages},
    command{.name = "customers",
            .arguments = "",
            .count = {},
            .summary = "show customers with what became of their requests",
            .example = "orchidctl customers --limit 20",
            .flags = ListFlags,
            .run = runCustomers},
    command{.name = "pipelines",
            .arguments = "CUSTOMER",
            .count = {1, 1},
            .summary = "show a customer's pipelines as the node renders them",
            .example = "orchidctl pipelines tartu-alumni",
            .flags = NodeFlags,
            .run = runPipelines},
    command{.name = "config",
            .arguments = "",
            .count = {},
            .summary = "show the configuration in force, or with --content the document itself",
            .example = "orchidctl config --content > current.yaml",
            .flags = ConfigFlags,
            .run = runConfig},
    command{.name = "trace",
            .arguments = "REQUEST",
            .count = {1, 1},
            .summary = "follow one of the node's last requests through its stages",
            .example = "orchidctl trace vm-1-5f3a9c0e11d2b3a4-17",
            .flags = NodeFlags,
            .run = runTrace},
    command{.name = "drain",
            .arguments = "",
            .count = {},
            .summary = "start the planned stop of a node",
            .example = "orchidctl drain --operator 127.0.0.1:7201",
            .flags = NodeFlags,
            .run = runDrain},
    command{.name = "send",
            .arguments = "",
            .count = {},
            .summary = "send a request and show how it ended; the exit status tells the outcome",
            .example = "orchidctl send --customer tartu-alumni --pipeline chat --input "
                       "'{\"text\": \"Hello\"}'",
            .flags = SendFlags,
            .run = runSend},
};

const command *findCommand(std::string_view name)
{
    const auto all = commands();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const command &each) { return each.name == name; });
    return found == all.end() ? nullptr : &*found;
}

void writeFlag(std::ostream &out, std::string_view name)
{
    constexpr std::size_t Width = 18;
    std::string shown = "--" + std::string(name);
    shown.resize(std::max(shown.size(), Width), ' ');
    out << "  " << shown << "  " << flagHelp(name) << '\n';
}

void writeOverview(std::ostream &out)
{
    constexpr std::size_t Width = 11;
    out << "Usage: orchidctl COMMAND [FLAG…] [ARGUMENT…]\n\nCommands:\n";
    for (const auto &each : commands()) {
        std::string shown(each.name);
        shown.resize(Width, ' ');
        out << "  " << shown << each.summary << '\n';
    }
    out << "\nFlags of all commands:\n";
    writeFlag(out, "json");
    writeFlag(out, "color");
    out << "\n`orchidctl help COMMAND` shows a command's flags and an example.\n"
           "Exit status: 0 done, 1 a file is wrong, 2 usage, 3 no answer from the node, 4 the "
           "node\n"
           "refused; of `send`: 10 not run, 11 failed, 12 unknown, 13 expired.\n";
}

void writeHelp(std::ostream &out, const command &shown)
{
    out << "Usage: orchidctl " << shown.name << " [FLAG…]";
    if (!shown.arguments.empty())
        out << ' ' << shown.arguments;
    out << "\n\nTo " << shown.summary << ".\n\nFlags:\n";
    for (const std::string_view flag : shown.flags)
        writeFlag(out, flag);
    writeFlag(out, "json");
    writeFlag(out, "color");
    out << "\nExample:\n  " << shown.example << '\n';
}

bool takesFlag(const command &asked, std::string_view flag)
{
    return flag == "json" || flag == "color"
        || std::find(asked.flags.begin(), asked.flags.end(), flag) != asked.flags.end();
}

/// Finds what is wrong with the use of a command; nothing where it is right.
std::optional<std::string> usageFault(const command &asked, const command_line &line)
{
    for (const auto &flag : line.flagsGiven) {
        if (!takesFlag(asked, flag))
            return "`" + std::string(asked.name) + "` takes no --" + flag;
    }
    if (line.arguments.size() < asked.count.minimum || line.arguments.size() > asked.count.maximum)
        return "`" + std::string(asked.name) + "` takes "
            + (asked.count.maximum == 0 ? "no arguments" : std::string(asked.arguments));
    const flag_values &flags = line.flags;
    const bool renders = asked.run == runRender;
    const bool sends = asked.run == runSend;
    if (renders && flags.file.empty())
        return "--file is needed";
    if ((renders || sends) && (flags.customer.empty() || flags.pipeline.empty()))
        return "--customer and --pipeline are needed";
    if (sends && flags.input.empty())
        return "--input is needed";
    if (sends && !flags.ticket.empty() && !flags.idempotencyKey.empty())
        return "--ticket and --idempotency_key exclude each other";
    return std::nullopt;
}

exit_code refuseUsage(std::ostream &error, const std::string &message)
{
    error << "orchidctl: " << message << "\nTry `orchidctl help`.\n";
    return exit_code::Usage;
}

exit_code runHelp(const command_line &line, std::ostream &out, std::ostream &error)
{
    const bool forHelp = line.command.empty() || line.command == HelpCommand;
    const std::string name =
        forHelp ? (line.arguments.empty() ? "" : line.arguments.front()) : line.command;
    if (name.empty()) {
        writeOverview(out);
        return exit_code::Success;
    }
    const command *shown = findCommand(name);
    if (shown == nullptr)
        return refuseUsage(error, "unknown command " + name);
    writeHelp(out, *shown);
    return exit_code::Success;
}

bool useColor(color_mode mode, bool terminal)
{
    return mode == color_mode::Always || (mode == color_mode::Auto && terminal);
}

} // namespace

std::span<const command> commands()
{
    return Commands;
}

exit_code runCommandLine(const std::vector<std::string> &arguments, std::istream &in,
                         std::ostream &out, std::ostream &error, bool terminal,
                         const api_call &call)
{
    const auto parsed = parseCommandLine(arguments);
    if (!parsed)
        return refuseUsage(error, parsed.error().message);
    const command_line &line = parsed.value();
    if (line.help || line.command == HelpCommand)
        return runHelp(line, out, error);
    if (line.command.empty())
        return refuseUsage(error, "a command is missing");
    const command *asked = findCommand(line.command);
    if (asked == nullptr)
        return refuseUsage(error, "unknown command " + line.command);
    if (const auto fault = usageFault(*asked, line))
        return refuseUsage(error, *fault);
    const console to{out, error, useColor(line.flags.color, terminal)};
    return asked->run({line, to, in, call});
}

} // namespace orchidlead::ctl
