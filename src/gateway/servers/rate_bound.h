#pragma once

namespace orchidlead::gateway {

/// How many requests a server gets from all nodes together.
struct rate_bound
{
    double perSecond = 0.0; ///< above 0
    double burst = 1.0; ///< that may go at once where none went for a while; 1 or more
};

} // namespace orchidlead::gateway
