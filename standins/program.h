#pragma once

#include "net/event_loop.h"

#include <json/json.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// What the stand-ins' main functions have in common.
namespace orchidlead::standins {

/// Reads a whole file; exits with a message where that fails.
[[nodiscard]] std::string readFileOrExit(const std::string &path);

/// Ends the program with a message on the error stream.
[[noreturn]] void exitWith(std::string_view message);

/// Makes the event loop, which SIGTERM and SIGINT end.
[[nodiscard]] std::unique_ptr<net::event_loop> makeLoopOrExit();

/// Writes the addresses as one line to standard output, and to a file where a path is given.
void announce(const Json::Value &addresses, const std::string &path);

} // namespace orchidlead::standins
