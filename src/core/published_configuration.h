#pragma once

#include "core/pipeline.h"

#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// Says what is wrong with a YAML document and where.
struct configuration_error
{
    std::string file;
    int line = 0; ///< from 1; 0 where there is none
    int column = 0; ///< from 1
    std::string key; ///< path to the value, such as `services[2].servers[0].address`
    std::string value; ///< the offending text, shortened
    std::string expected; ///< what would have been accepted

    /// One line: `file:line:column: key: "value": expected …`.
    [[nodiscard]] std::string message() const;
};

/// One address at which a service runs.
struct backend_server
{
    backend_server_id id;
    socket_address address;
    data_center_id dataCenter;
};

/// A pool of backend servers that do the same work.
struct service
{
    service_id id;
    service_kind kind = service_kind::Plain;
    bool repeatable = true;
    std::vector<backend_server> servers;
};

/// Everything that the platform publishes for the system, at one version. Immutable once parsed.
///
/// Templates and customers' parameters are checked at parsing; plans are rendered on demand, since
/// 21,000 customers times their pipelines would not fit a node's memory budget. The parse module
/// adds the template and customer types.
struct published_configuration;

using configuration_ptr = std::shared_ptr<const published_configuration>;

} // namespace orchidlead
