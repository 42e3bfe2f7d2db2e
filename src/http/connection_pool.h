#pragma once

#include "http/outbound_connection.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::http {

/// Names a call of a pool, to give it up.
using pool_call = std::uint64_t;

/// What became of a new connection.
enum class connect_outcome : std::uint8_t {
    Connected,
    Refused, ///< nobody listens there, or the host says that it can't be reached
    Silent, ///< nothing came back in time
};

/// Keeps connections to servers for use by one call after the other.
class connection_pool
{
public:
    explicit connection_pool(io_loop &loop);
    /// Closes all its connections; nothing more is reported of its calls.
    ~connection_pool();
    connection_pool(const connection_pool &) = delete;
    connection_pool &operator=(const connection_pool &) = delete;

    /// Makes a call on a free connection, or on a new one. No event is reported before it returns.
    pool_call start(const socket_address &to, outbound_call call);
    /// Opens a connection, which is free for calls then. `onOutcome` is called once, later.
    void connect(const socket_address &to, std::function<void(connect_outcome)> onOutcome);
    /// Closes the call's connection; none of its events is reported any more.
    void abandon(pool_call call);
    /// Stops or goes on reading a call's answer.
    void setReading(pool_call call, bool reading);

    /// Connections opened since the start.
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    struct free_connection
    {
        std::shared_ptr<outbound_connection> connection;
        steady_time until;
    };

    std::shared_ptr<outbound_connection> takeFree(const socket_address &to);
    std::shared_ptr<outbound_connection> makeConnection(const socket_address &to);
    void forget(const socket_address &to, outbound_connection &closed);

    io_loop &m_loop;
    std::map<socket_address, std::vector<free_connection>> m_free;
    std::unordered_map<pool_call, std::shared_ptr<outbound_connection>> m_calls;
    pool_call m_lastCall = 0;
    std::uint64_t m_opened = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orchidlead::http

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::http::connect_outcome>{
    orchidlead::enum_name<orchidlead::http::connect_outcome>{
        orchidlead::http::connect_outcome::Connected, "connected"},
    orchidlead::enum_name<orchidlead::http::connect_outcome>{
        orchidlead::http::connect_outcome::Refused, "refused"},
    orchidlead::enum_name<orchidlead::http::connect_outcome>{
        orchidlead::http::connect_outcome::Silent, "silent"},
};
