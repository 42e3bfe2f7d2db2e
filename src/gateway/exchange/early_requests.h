#pragma once

#include "http/head.h"
#include "http/inbound_connection.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// A request that came before its node knew what it needs to serve it.
struct early_request
{
    http::inbound_ptr client;
    http::request_head head;
    std::string body;
    steady_time arrival;
    steady_time until; ///< is refused then, if the node still isn't prepared
};

/// Holds requests that come to a node that has just started.
///
/// After all nodes of a data centre have ended clients are sent to those that start, ready or not.
/// A node knows its servers a second later: refused at once, a client's second try would mostly
/// come too early, too. Only those are held that have time for it, and only so many.
class early_requests
{
public:
    explicit early_requests(const clock_source &clock);

    /// How long a request with that patience may be held from now on; empty: not at all.
    [[nodiscard]] std::optional<steady_time> holdUntil(milliseconds patience) const;
    void hold(early_request request) { m_held.push_back(std::move(request)); }
    /// Gives the requests that are to be served or refused now: all if the node is `prepared`.
    /// Those whose clients have left aren't among them.
    [[nodiscard]] std::vector<early_request> takeDue(bool prepared);

private:
    const clock_source &m_clock;
    steady_time m_startedAt;
    std::vector<early_request> m_held;
};

} // namespace orchidlead::gateway
