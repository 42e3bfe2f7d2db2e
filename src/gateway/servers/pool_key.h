#pragma once

#include <orchidlead/ids.h>

#include <compare>

namespace orchidlead::gateway {

/// Identifies a pool of servers whose requests are scheduled by one node: the servers of a service
/// in one data centre or in one region, or all servers of the service if neither is set.
struct pool_key
{
    service_id service;
    data_center_id dataCenter = {}; ///< empty: the whole region
    region_id region = {}; ///< empty: all servers; the deployment has a single region

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const pool_key &, const pool_key &) = default;
};

} // namespace orchidlead::gateway
