#pragma once

#include "net/http_server.h"

#include <cstddef>
#include <cstdint>

namespace orchidlead::net {

class server_connection;

/// The interface of a server that its connections use.
class connection_owner
{
public:
    virtual ~connection_owner() = default;
    [[nodiscard]] virtual const http_server_options &options() const = 0;
    [[nodiscard]] virtual bool keepAlive() const = 0;
    /// Counts received bytes of a request body. Returns false if all bodies together exceed the
    /// limit.
    [[nodiscard]] virtual bool bufferBody(std::size_t bytes) = 0;
    virtual void releaseBody(std::size_t bytes) = 0;
    virtual void handle(http_request &&request, response_ptr response) = 0;
    /// Removes a connection whose socket has been closed.
    virtual void removeConnection(server_connection &connection) = 0;
};

} // namespace orchidlead::net
