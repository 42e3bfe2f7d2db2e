#pragma once

#include "daemon/caller_request_json.h"
#include "daemon/node_shell.h"
#include "net/http_server.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace orchidlead::daemon {

/// Bounds of the caller API.
struct caller_api_options
{
    caller_bounds bounds;
    milliseconds ticketWindow{600'000}; ///< how long a ticket may be used
    std::size_t maxStreamQueueBytes = 256U
        << 10U; ///< waiting for one caller; beyond, reading stops
};

/// Why this node shouldn't get requests now; absent: it is ready.
using readiness = std::function<std::optional<std::string>()>;

/// Serves docs/API.md's caller API: reads requests, hands them to the node, writes the answers.
class caller_api
{
public:
    caller_api(node_shell &shell, const caller_api_options &options, readiness notReady);

    void handle(net::http_request &&request, const net::response_ptr &response);

private:
    void runRequest(const net::http_request &request, const net::response_ptr &response);
    void mintTicket(const net::response_ptr &response);
    void reportReadiness(const net::response_ptr &response) const;

    node_shell &m_shell;
    caller_api_options m_options;
    readiness m_notReady;
};

} // namespace orchidlead::daemon
