#pragma once

#include "gateway/quarantine/request_digest.h"
#include "http/connection_pool.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// A request that was at a server when the server ended.
struct interrupted_request
{
    request_digest digest;
    steady_time sentAt;
};

/// A server ended while requests were at it.
struct server_end
{
    backend_server_id server;
    steady_time at; ///< when the first connection broke off
    std::vector<interrupted_request> requests; ///< each once
};

/// Adds a request that was at the server; of several copies the first that was sent counts.
/// False where that is known.
bool addInterrupted(server_end &end, const interrupted_request &request);

/// Tells servers that ended from connections that did: where a connection broke off amid an answer,
/// a new one to the server is refused once nobody listens there. No I/O.
class server_end_observer
{
public:
    explicit server_end_observer(const clock_source &clock);

    /// A connection broke off while the request was at the server. Tells whether a new connection
    /// to it is to be tried now, whose outcome is then told by `onConnectOutcome`.
    [[nodiscard]] bool onBroken(const backend_server_id &server,
                                const interrupted_request &request);
    /// Gives what was at the server when its connections broke off; empty where nothing did.
    [[nodiscard]] std::optional<server_end> onConnectOutcome(const backend_server_id &server);

private:
    const clock_source &m_clock;
    std::map<backend_server_id, server_end> m_open; ///< connections being tried
};

} // namespace orchidlead::gateway
