#pragma once

#include "ctl/command.h"

#include <orchidlead/result.h>

#include <json/value.h>

#include <string>
#include <string_view>

namespace orchidlead::ctl {

/// Why a node's answer can't be used.
struct operator_error
{
    exit_code code = exit_code::Unreachable;
    std::string message;
};

/// Asks the operator API and reads the answer as JSON.
[[nodiscard]] result<Json::Value, operator_error>
askNode(const command_context &context, std::string_view method, const std::string &path);

/// Asks for a list page by page until its end or the `--limit`. Gives the last page's object, with
/// all rows under `listName`.
[[nodiscard]] result<Json::Value, operator_error>
askList(const command_context &context, const std::string &path, const std::string &listName);

/// Writes the error and gives the exit status that goes with it.
[[nodiscard]] exit_code report(const command_context &context, const operator_error &error);

/// Writes what has a meaning of its own in a URL as `%XX`.
[[nodiscard]] std::string urlEncoded(std::string_view text);

} // namespace orchidlead::ctl
