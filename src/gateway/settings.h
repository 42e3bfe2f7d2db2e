#pragma once

#include "core/settings/configuration_error.h"
#include "core/settings/settings.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::gateway {

/// Addresses that a gateway listens on.
struct gateway_listen
{
    socket_address clients;
    socket_address readiness; ///< also metrics
    socket_address peers;
};

/// What the platform promises and demands, in the words of its own pages.
struct platform_bounds
{
    milliseconds stopGrace{8000}; ///< from the signal to stop until the process is killed
    double retryShare = 0.2; ///< of requests, that may reach a server again
    double retryReserve = 50.0; ///< beside the share
    milliseconds retryWindow{10'000};
};

/// Everything that a gateway process reads from its own file.
struct gateway_settings
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    gateway_listen listen;
    socket_address store;
    std::vector<socket_address> firstContacts; ///< peers to ask first; may be away
    platform_bounds bounds;
    log_settings log;
};

/// Reads and checks a settings file; gives every error found, up to a bound.
[[nodiscard]] result<gateway_settings, std::vector<configuration_error>>
parseGatewaySettings(std::string_view yaml, std::string_view fileName);

} // namespace orchidlead::gateway
