#pragma once

#include <orchidlead/clock.h>

#include <cstdint>
#include <optional>

namespace orchidlead::gateway {

/// A server's own account of its work.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What an answer says of the rate that its server bears.
struct told_rate_limit
{
    std::optional<double> perSecond; ///< requests that it takes from all nodes together; empty: any
    bool readable = true; ///< else the answer says nothing of it
};

/// What an answer says of the server that gave it, beside what it says to the request.
struct server_signals
{
    told_rate_limit rateLimit{};
    bool leaving = false; ///< it ends soon, and takes nothing new
    bool refused = false; ///< it hasn't run the request, for reasons of its own
    bool taken = false; ///< it took up the request and hasn't failed it
    std::optional<milliseconds> retryAfter{}; ///< it wants no request of this node for so long
    std::optional<server_load> load{};
};

/// Of an answer that says nothing of the server that was asked.
inline constexpr server_signals NoSignals{{std::nullopt, false}, false,       false, false,
                                          std::nullopt,          std::nullopt};

} // namespace orchidlead::gateway
