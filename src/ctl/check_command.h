#pragma once

#include "ctl/command.h"

namespace orchidlead::ctl {

/// Checks files with the same code as the daemon.
[[nodiscard]] exit_code runCheck(const command_context &context);

} // namespace orchidlead::ctl
