#pragma once

#include "gateway/servers/server_directory.h"

#include <orchidlead/clock.h>

#include <map>

namespace orchidlead::gateway {

/// Paces what this node lets go to servers that bear only so many requests, each for itself.
///
/// A bound counts the requests of all nodes, and no node sees what the others send. So the node
/// that decides for a server's pool paces all of them, by its share of the bound (`peer_view`).
class rate_pace
{
public:
    explicit rate_pace(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Whether a request may go to the server now, by a node that has this share of its bound.
    [[nodiscard]] bool allows(const server &which, double share) const;
    /// When one may go there, not before now; `share` is above 0 or the server isn't bounded.
    [[nodiscard]] steady_time nextAt(const server &which, double share) const;
    /// A request goes there, now or in its turn.
    void onSent(const server &which, double share);

private:
    /// What a server was sent and hasn't worked off yet, at the pace of its bound.
    struct backlog
    {
        double requests = 0.0;
        steady_time at;
    };
    [[nodiscard]] double backlogOf(const server &which, double perSecond, steady_time now) const;
    /// How long until one may go there; none where the server isn't bounded.
    [[nodiscard]] std::chrono::duration<double> waitFor(const server &which, double share,
                                                        steady_time now) const;

    const clock_source &m_clock;
    std::map<server_start, backlog> m_backlogs; ///< of servers that are bounded
};

} // namespace orchidlead::gateway
