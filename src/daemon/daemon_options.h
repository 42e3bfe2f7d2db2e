#pragma once

#include "core/node/planned_stop.h"
#include "core/settings/settings.h"
#include "daemon/caller_api.h"
#include "daemon/control_shell.h"
#include "daemon/node_shell.h"
#include "net/http_server.h"

/// Turns the settings of the process into the options of its parts.
namespace orchidlead::daemon {

[[nodiscard]] node_shell_options nodeOptions(const process_settings &settings, incarnation start);
[[nodiscard]] control_shell_options controlOptions(const process_settings &settings,
                                                   incarnation start);
[[nodiscard]] caller_api_options callerOptions(const process_settings &settings);
[[nodiscard]] planned_stop_options stopOptions(const process_settings &settings);
[[nodiscard]] net::http_server_options callerServerOptions(const process_settings &settings);
[[nodiscard]] net::http_server_options peerServerOptions(const process_settings &settings);
[[nodiscard]] net::http_server_options operatorServerOptions(const process_settings &settings);

} // namespace orchidlead::daemon
