#pragma once

#include "gateway/servers/server_directory.h"

#include <orchidlead/clock.h>

#include <map>

namespace orchidlead::gateway {

/// Paces what this node lets go to servers that are cold, each for itself.
///
/// A server that has just started crashes above a rate that its service publishes, and no node sees
/// what the others send. So only a share of that rate is this node's (`peer_view`). Requests go
/// at even distances, since a server counts what arrives within any second.
class cold_start_pace
{
public:
    explicit cold_start_pace(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Whether a request may go to the server now, by a node that has this share of what it bears.
    [[nodiscard]] bool allows(const server &which, double share) const;
    /// A request goes there.
    void onSent(const server &which);
    /// When a server that doesn't allow it now does so next.
    [[nodiscard]] steady_time nextAt(const server &which, double share) const;

private:
    const clock_source &m_clock;
    std::map<server_start, steady_time> m_sent; ///< the last one to each server that is cold
};

} // namespace orchidlead::gateway
