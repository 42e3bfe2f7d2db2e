#pragma once

namespace orchidlead::gateway {

/// The rate limit of a server for the requests of all nodes together.
struct effective_rate_limit
{
    double perSecond = 0.0; ///< greater than 0
    double burst = 1.0; ///< requests that may be sent at once after an idle period; at least 1
};

} // namespace orchidlead::gateway
