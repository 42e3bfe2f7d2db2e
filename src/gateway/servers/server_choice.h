#pragma once

#include "gateway/servers/server_directory.h"

#include <vector>

namespace orchidlead::gateway {

/// What the choice of a server depends on besides the query and the servers.
struct choice_context
{
    steady_time now;
    vm_id self; ///< this node; each node prefers different ones among servers of equal cost
    bool severalRegions = false; ///< there is more than one region
    region_id preferredRegion; ///< of the preferred data centre; empty: unknown
};

/// Chooses the server for a request among usable ones; never a rate-limited one. Returns null if
/// there is none.
[[nodiscard]] server_ptr chooseServer(const std::vector<server_ptr> &usable,
                                      const server_query &query, const choice_context &context);

} // namespace orchidlead::gateway
