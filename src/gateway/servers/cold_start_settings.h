#pragma once

#include <orchidlead/clock.h>

namespace orchidlead::gateway {

/// Cold-start settings of a service: how its servers are treated right after they start.
struct cold_start_settings
{
    milliseconds time{0}; ///< duration of the cold phase
    double rate = 0.0; ///< requests per second that a cold server can handle; 0: not limited
};

} // namespace orchidlead::gateway
