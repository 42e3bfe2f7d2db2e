#pragma once

#include "ctl/command.h"

namespace orchidlead::ctl {

/// Tells what happened to one request, from the log lines of any number of gateways.
exit_code runExplain(const command_context &context);

} // namespace orchidlead::ctl
