#pragma once

#include "ctl/command.h"

namespace orchidlead::ctl {

/// Sends one request to the caller API and writes how it ended. Never sends it again.
[[nodiscard]] exit_code runSend(const command_context &context);

} // namespace orchidlead::ctl
