#pragma once

#include <orchidlead/clock.h>

#include <cstdint>
#include <optional>

namespace orchidlead::gateway {

/// Load reported by a server.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes on the server's machine now, in percent of the usual time; empty: not
    /// reported, or unreadable.
    std::optional<std::uint32_t> timePercent{};
};

/// The rate limit reported in a response.
struct reported_rate_limit
{
    /// Requests per second from all nodes together; empty: not limited.
    std::optional<double> perSecond;
    bool valid = true; ///< false: the response has no valid report of the limit
};

/// Whether a response reports that its server is brittle: one that has to refuse more requests in a
/// second than it reports, for want of room, falls over.
struct reported_brittleness
{
    std::optional<std::uint32_t> refusalsPerSecond; ///< empty: not brittle
    bool valid = true; ///< false: the response has no valid report
};

/// What a response reports about its server, apart from the result of the request.
struct server_signals
{
    reported_rate_limit rateLimit{};
    bool leaving = false; ///< the server shuts down soon and takes no new requests
    bool refused = false; ///< the server did not run the request, for a reason of its own
    bool accepted = false; ///< the server accepted the request and has not failed it
    /// Requested backoff: the server wants no request from this node for this time.
    std::optional<milliseconds> retryAfter{};
    std::optional<server_load> load{};
    reported_brittleness brittleness{};
};

/// Signals of a response that reports nothing about its server.
inline constexpr server_signals NoSignals{
    {std::nullopt, false}, false, false, false, std::nullopt, std::nullopt, {std::nullopt, false}};

} // namespace orchidlead::gateway
