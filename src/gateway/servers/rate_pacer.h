#pragma once

#include "gateway/servers/server_directory.h"

#include <orchidlead/clock.h>

#include <map>

namespace orchidlead::gateway {

/// Paces the requests that this node sends to rate-limited servers, separately for each server.
///
/// A rate limit covers the requests of all nodes, and no node sees the requests of the others. The
/// node that hosts a server's pool therefore paces all requests to the server, within its share of
/// the limit (`peer_view`).
class rate_pacer
{
public:
    explicit rate_pacer(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Returns whether a request may be sent to the server now by a node that has this share of the
    /// server's rate limit.
    [[nodiscard]] bool allows(const server &backend, double share) const;
    /// Returns the earliest time at which a request may be sent, at least the present time. `share`
    /// must be greater than 0 unless the server has no rate limit.
    [[nodiscard]] steady_time nextAllowedAt(const server &backend, double share) const;
    /// Counts a request that is sent now or at its scheduled time.
    void onSent(const server &backend, double share);

private:
    /// Requests sent to a server and not yet worked off at the rate of its limit.
    struct backlog
    {
        /// Value at `updatedAt`; includes the remaining fraction of a request partly worked off.
        double requests = 0.0;
        steady_time updatedAt;
    };
    [[nodiscard]] double backlogOf(const server &backend, double perSecond, steady_time now) const;
    /// Returns the time until a request may be sent; zero if the server has no rate limit.
    [[nodiscard]] std::chrono::duration<double>
    timeUntilAllowed(const server &backend, double share, steady_time now) const;

    const clock_source &m_clock;
    std::map<server_start, backlog> m_backlogs; ///< of rate-limited servers
};

} // namespace orchidlead::gateway
