#pragma once

#include "ctl/command_line.h"
#include "ctl/console.h"
#include "ctl/exit_code.h"
#include "ctl/node_api.h"

#include <istream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::ctl {

/// What a command works with.
struct command_context
{
    const command_line &line;
    const console &to;
    std::istream &in;
    const api_call &call;
};

/// How many arguments a command takes.
struct argument_count
{
    std::size_t minimum = 0;
    std::size_t maximum = 0;
};

/// One subcommand.
struct command
{
    std::string_view name;
    std::string_view arguments; ///< for the usage line
    argument_count count;
    std::string_view summary;
    std::string_view example;
    std::span<const std::string_view> flags; ///< that it takes, besides --json and --color
    exit_code (*run)(const command_context &context) = nullptr;
};

/// Gives all commands, in the order of the help.
[[nodiscard]] std::span<const command> commands();

/// Runs one command line. `terminal` says whether `out` is one.
[[nodiscard]] exit_code runCommandLine(const std::vector<std::string> &arguments, std::istream &in,
                                       std::ostream &out, std::ostream &error, bool terminal,
                                       const api_call &call);

} // namespace orchidlead::ctl
