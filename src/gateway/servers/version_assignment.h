#pragma once

#include "gateway/quarantine/request_digest.h"

#include <orchidlead/ids.h>

#include <cstdint>
#include <map>
#include <optional>

namespace orchidlead::gateway {

/// How many servers of each software version of a service are published as ready.
struct version_shares
{
    std::map<software_version, std::uint32_t> servers;
    std::uint32_t unknown = 0; ///< further servers that may have served, of any version

    [[nodiscard]] std::uint32_t total() const;
    bool operator==(const version_shares &) const = default;
};

/// Returns the version on which the work of a request begins. Each version gets a share of all
/// requests that is proportional to its number of servers. The result depends on the arguments
/// alone, so that each node computes the same one, also after it has lost its memory. Empty if no
/// server is ready, or if the result depends on the versions of the unknown servers.
[[nodiscard]] std::optional<software_version> assignedVersion(const request_digest &subject,
                                                              const version_shares &shares);

} // namespace orchidlead::gateway
