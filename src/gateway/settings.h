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
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::gateway {

/// Addresses that a gateway listens on.
struct gateway_listen
{
    socket_address clients;
    socket_address readiness; ///< readiness and metrics
    socket_address peers;
    /// Where peers send calls that this node relays to servers; the port is the same on all nodes.
    std::optional<socket_address> relay;
};

/// Guarantees and requirements of the platform, named as in its documentation.
struct platform_bounds
{
    milliseconds stopGrace{8000}; ///< from the stop signal until the process is killed
    /// Longest time from the publication of a configuration or a leaving server in the store until
    /// nodes act on it.
    milliseconds publicationApply{2000};
    /// How long the store keeps the history of its changes, unless it drops them earlier.
    milliseconds historyKept{20'000};
    double retryShare = 0.2; ///< share of requests that may be sent to a server again
    double retryReserve = 50.0; ///< number of retries allowed in addition to the share
    milliseconds retryWindow{10'000};
};

/// Whose pieces are batched into one call of a stage pool.
enum class stage_sharing {
    Shared, ///< pieces of all nodes
    Alone, ///< pieces of one node only: the baseline that shared calls are measured against
};

/// Settings of a gateway process, read from its settings file.
struct gateway_settings
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    std::map<data_center_id, region_id> regions; ///< of all data centres
    double capacity = 0; ///< cores that the node may use; 0: unknown
    gateway_listen listen;
    socket_address store;
    std::vector<socket_address> firstContacts; ///< peers to contact at the start; may be down
    bool firstStart = false; ///< the whole system starts for the first time
    platform_bounds bounds;
    log_settings log;
    /// Limit of log lines per second about decisions on successful requests. Lines about failed
    /// requests are always written. A request has about ten lines, so at the base load of the nodes
    /// served so far, 100 lines show one request in a few.
    std::uint32_t requestLines = 100;
    stage_sharing stageCallSharing = stage_sharing::Shared;
    disabled_policies disabledPolicies;
};

/// Parses and validates a settings file; returns all errors found, up to a limit.
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
