#pragma once

#include "http/head.h"
#include "http/inbound_connection.h"

#include <orchidlead/clock.h>

#include <string>
#include <vector>

namespace orchidlead::gateway {

/// A request as it came from its client.
struct arrived_request
{
    http::inbound_ptr client;
    http::request_head head;
    std::string body;
    steady_time at;
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

    /// Takes a request with that patience; false, and `request` as it was, where it can't wait.
    [[nodiscard]] bool hold(arrived_request &request, milliseconds patience);
    /// Gives the requests that are to be served or refused now: all if the node is `prepared`.
    /// Those whose clients have left aren't among them.
    [[nodiscard]] std::vector<arrived_request> takeDue(bool prepared);

private:
    struct held_request
    {
        arrived_request request;
        steady_time until; ///< is refused then, if the node still isn't prepared
    };

    const clock_source &m_clock;
    steady_time m_startedAt;
    std::vector<held_request> m_held;
};

} // namespace orchidlead::gateway
