#pragma once

#include "ctl/command.h"

namespace orchidlead::ctl {

/// Renders one customer's pipeline from a file.
[[nodiscard]] exit_code runRender(const command_context &context);

} // namespace orchidlead::ctl
