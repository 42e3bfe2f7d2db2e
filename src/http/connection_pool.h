#pragma once

#include "http/outbound_connection.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::http {

/// Identifies a call of a pool.
using pool_call = std::uint64_t;

/// Pool of connections to servers, each reused by successive calls.
class connection_pool
{
public:
    /// `open` opens the TCP connections.
    explicit connection_pool(io_loop &loop, connect_function open = &stream_socket::connect);
    /// Closes all connections; reports no further events of its calls.
    ~connection_pool();
    connection_pool(const connection_pool &) = delete;
    connection_pool &operator=(const connection_pool &) = delete;

    /// Starts a call on an idle connection, or on a new one. Reports no event before `start`
    /// returns.
    pool_call start(const socket_address &to, outbound_call call);
    /// Opens a connection and keeps it for later calls. Calls `onOutcome` once, after `connect`
    /// returns.
    void connect(const socket_address &to, std::function<void(connect_outcome)> onOutcome);
    /// Closes the idle connections to a server, so that the next call opens a new one.
    void closeIdle(const socket_address &to);
    /// Closes the call's connection; reports no further events of the call.
    void abandon(pool_call call);
    /// Pauses or resumes reading a call's answer.
    void setReading(pool_call call, bool reading);

    /// Number of connections opened so far.
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    struct idle_connection
    {
        std::shared_ptr<outbound_connection> connection;
        steady_time usableUntil;
    };

    std::shared_ptr<outbound_connection> takeIdle(const socket_address &to);
    std::shared_ptr<outbound_connection> makeConnection(const socket_address &to);
    void removeIdle(const socket_address &to, outbound_connection &closed);

    io_loop &m_loop;
    connect_function m_open;
    std::map<socket_address, std::vector<idle_connection>> m_idle;
    std::unordered_map<pool_call, std::shared_ptr<outbound_connection>> m_calls;
    pool_call m_lastCall = 0;
    std::uint64_t m_opened = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orchidlead::http
