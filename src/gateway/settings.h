#pragma once

#include "core/settings/configuration_error.h"
#include "core/settings/settings.h"
#include "gateway/policy.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <cstdint>
#include <map>
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
    /// From the store's word on a configuration or a leaving server until nodes act on it.
    milliseconds publicationApply{2000};
    double retryShare = 0.2; ///< of requests, that may reach a server again
    double retryReserve = 50.0; ///< beside the share
    milliseconds retryWindow{10'000};
};

/// Whose pieces go together into the calls of stage pools.
enum class stage_sharing {
    Shared, ///< those of all nodes
    Alone, ///< each node's own: the baseline that shared calls are measured against
};

/// Everything that a gateway process reads from its own file.
struct gateway_settings
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    std::map<data_center_id, region_id> regions; ///< of all data centres
    double capacity = 0; ///< cores that the node may use; 0: not known
    gateway_listen listen;
    socket_address store;
    std::vector<socket_address> firstContacts; ///< peers to ask first; may be away
    platform_bounds bounds;
    log_settings log;
    /// Log lines in a second about the decisions on requests that went well; those on requests that
    /// didn't are always written. A request has about ten: 100 show one in a few at the base load
    /// of the nodes served so far.
    std::uint32_t requestLines = 100;
    stage_sharing stageCalls = stage_sharing::Shared;
    policies_left_out without;
};

/// Reads and checks a settings file; gives every error found, up to a bound.
[[nodiscard]] result<gateway_settings, std::vector<configuration_error>>
parseGatewaySettings(std::string_view yaml, std::string_view fileName);

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::stage_sharing>{
    orchidlead::enum_name<orchidlead::gateway::stage_sharing>{
        orchidlead::gateway::stage_sharing::Shared, "shared"},
    orchidlead::enum_name<orchidlead::gateway::stage_sharing>{
        orchidlead::gateway::stage_sharing::Alone, "alone"},
};
