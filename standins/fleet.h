#pragma once

#include "core/configuration/pipeline.h"

#include <orchidlead/ids.h>

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

/// Describes a whole fleet on one machine, and writes the documents that its processes read.
namespace orchidlead::standins {

/// One entry VM.
struct fleet_vm
{
    std::string name;
    std::string dataCenter;
    std::string region;
    socket_address caller;
    socket_address operators;
    socket_address peer; ///< as the VM list gives it
    socket_address peerListen; ///< differs from `peer` where a relay stands between
    bool leaving = false; ///< in the VM list
};

/// One backend server.
struct fleet_server
{
    std::string name;
    std::string dataCenter;
    socket_address address;
};

/// A pool of backend servers and how their stand-ins behave.
struct fleet_service
{
    std::string name;
    service_kind kind = service_kind::Plain;
    bool repeatable = true;
    std::vector<std::string> models; ///< engines only
    std::vector<fleet_server> servers;
    double baseMs = 5.0; ///< service time; for engines of one decoding step
    double perKibMs = 0.1;
    std::uint32_t capacity = 8;
};

/// A data centre of the fleet.
struct fleet_data_center
{
    std::string name;
    std::string region;
};

/// Everything that runs.
struct fleet_layout
{
    std::vector<fleet_data_center> dataCenters;
    std::vector<fleet_vm> vms;
    std::vector<fleet_service> services;
};

/// Addresses of the platform's stand-in.
struct fleet_platform
{
    socket_address configuration;
    socket_address vms;
};

/// Writes the published configuration, from the layout and from the YAML of templates and
/// customers, which ends with the end mark of the document.
[[nodiscard]] std::string configurationYaml(const fleet_layout &layout,
                                            const std::string &templatesAndCustomers);

/// Writes the VM list.
[[nodiscard]] Json::Value vmListJson(const fleet_layout &layout);

/// Writes the settings of one entry VM; `more` is added as it is.
[[nodiscard]] std::string settingsYaml(const fleet_vm &vm, const fleet_platform &platform,
                                       const std::string &more = "");

/// Writes the description of the process that takes the place of all backend servers.
[[nodiscard]] std::string backendProcessYaml(const fleet_layout &layout, std::uint64_t seed);

/// Takes a server out of its service, as a configuration without it would.
void removeServer(const std::string &name, fleet_layout &layout);

} // namespace orchidlead::standins
