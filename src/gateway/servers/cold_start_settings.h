#pragma once

#include <orchidlead/clock.h>

namespace orchidlead::gateway {

/// Cold-start settings of a service: how its servers are treated right after they start.
struct cold_start_settings
{
    milliseconds coldDuration{0}; ///< duration of the cold phase
    double requestsPerSecond = 0.0; ///< that a cold server can handle; 0: not limited
};

} // namespace orchidlead::gateway
