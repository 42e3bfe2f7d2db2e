#pragma once

#include "http/head.h"
#include "http/inbound_connection.h"

#include <orchidlead/clock.h>

#include <string>
#include <vector>

namespace orchidlead::gateway {

/// A request as received from its client.
struct received_request
{
    http::inbound_ptr client;
    http::request_head head;
    std::string body;
    steady_time at;
};

/// Holds requests that arrive while a node is starting.
///
/// After all nodes of a data centre have stopped, clients are sent to restarting nodes whether or
/// not these are ready. A node knows its servers about one second after its start. If it refused
/// requests until then, most retries would arrive too early as well. Only requests with a long
/// enough timeout are held, and only a limited number of them.
class startup_queue
{
public:
    explicit startup_queue(const clock_source &clock);

    /// Holds a request whose client waits for `clientTimeout`. Returns false and leaves `request`
    /// unchanged if it cannot be held.
    [[nodiscard]] bool tryEnqueue(received_request &request, milliseconds clientTimeout);
    /// Removes and returns the requests to be served or refused now: all of them if
    /// `releaseAll` is set, else those whose time is up. Drops requests whose clients have
    /// disconnected.
    [[nodiscard]] std::vector<received_request> dequeueDue(bool releaseAll);

private:
    struct held_request
    {
        received_request request;
        steady_time until; ///< refused then if the node is still not ready
    };

    const clock_source &m_clock;
    steady_time m_startedAt;
    std::vector<held_request> m_heldRequests;
};

} // namespace orchidlead::gateway
