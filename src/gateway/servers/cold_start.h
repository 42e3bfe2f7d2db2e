#pragma once

#include <orchidlead/clock.h>

namespace orchidlead::gateway {

/// What a service says of servers that have just started.
struct cold_start
{
    milliseconds time{0}; ///< a server is cold for so long
    double rate = 0.0; ///< requests a second that it bears while it is; 0: not bounded
};

} // namespace orchidlead::gateway
