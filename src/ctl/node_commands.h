#pragma once

#include "ctl/command.h"

/// Commands that ask a node through its operator API.
namespace orchidlead::ctl {

[[nodiscard]] exit_code runStatus(const command_context &context);
[[nodiscard]] exit_code runVms(const command_context &context);
[[nodiscard]] exit_code runServers(const command_context &context);
[[nodiscard]] exit_code runStages(const command_context &context);
[[nodiscard]] exit_code runCustomers(const command_context &context);
[[nodiscard]] exit_code runPipelines(const command_context &context);
[[nodiscard]] exit_code runConfig(const command_context &context);
[[nodiscard]] exit_code runTrace(const command_context &context);
[[nodiscard]] exit_code runDrain(const command_context &context);

} // namespace orchidlead::ctl
