#pragma once

#include "net/http_server.h"

#include <cstddef>
#include <cstdint>

namespace orchidlead::net {

class server_connection;

/// What connections need from their server.
class connection_owner
{
public:
    virtual ~connection_owner() = default;
    [[nodiscard]] virtual const http_server_options &options() const = 0;
    [[nodiscard]] virtual bool keepAlive() const = 0;
    /// Counts bytes of a body that is being received; false beyond the bound on all of them.
    [[nodiscard]] virtual bool bufferBody(std::size_t bytes) = 0;
    virtual void releaseBody(std::size_t bytes) = 0;
    virtual void handle(http_request &&request, response_ptr response) = 0;
    /// The socket is gone; the connection may be forgotten.
    virtual void forget(server_connection &connection) = 0;
};

} // namespace orchidlead::net
