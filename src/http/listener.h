#pragma once

#include "http/acceptor.h"
#include "http/inbound_connection.h"

#include <memory>
#include <vector>

namespace orchidlead::http {

/// Accepts client connections on one address and serves HTTP on them.
class listener
{
public:
    /// `shared` holds the limits and the handler; both may be changed while the listener runs.
    [[nodiscard]] static result<std::unique_ptr<listener>, listen_error>
    create(io_loop &loop, const socket_address &at, std::shared_ptr<inbound_shared> shared);

    /// Closes all connections; reports no further events of them.
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_acceptor->port(); }
    /// Closes the connections that have been idle for at least this long.
    void closeIdle(milliseconds minIdleTime);
    /// Answers the requests that have not arrived completely with 503 and these fields.
    void refuseUnread(const field_list &fields);

private:
    listener(io_loop &loop, std::shared_ptr<inbound_shared> shared);
    void addConnection(std::shared_ptr<stream_socket> socket);

    io_loop &m_loop;
    std::shared_ptr<inbound_shared> m_shared;
    std::unique_ptr<acceptor> m_acceptor;
    std::vector<std::weak_ptr<inbound_connection>> m_connections;
    std::size_t m_nextSweepSize;
};

} // namespace orchidlead::http
