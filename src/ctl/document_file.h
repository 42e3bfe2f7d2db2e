#pragma once

#include "ctl/command_line.h"

#include <orchidlead/result.h>

#include <istream>
#include <string>
#include <string_view>

namespace orchidlead::ctl {

/// Says why a file couldn't be read.
struct file_error
{
    std::string reason;
};

/// Reads a file whole, or standard input for `-`. Stops soon after `maxBytes`.
[[nodiscard]] result<std::string, file_error> readFile(const std::string &name, std::istream &in,
                                                       std::size_t maxBytes);

/// Tells settings from a published configuration by their keys; `Auto` where neither fits.
[[nodiscard]] document_kind detectKind(std::string_view yaml);

} // namespace orchidlead::ctl
