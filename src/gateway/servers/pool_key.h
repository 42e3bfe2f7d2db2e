#pragma once

#include <orchidlead/ids.h>

#include <compare>

namespace orchidlead::gateway {

/// Names a pool of servers whose work one node decides on: those of a service in one data centre,
/// or in one region, or, where neither is named, all of the service.
struct pool_key
{
    service_id service;
    data_center_id dataCenter = {}; ///< empty: all of the region
    region_id region = {}; ///< empty: the whole fleet, which is in one region

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const pool_key &, const pool_key &) = default;
};

} // namespace orchidlead::gateway
