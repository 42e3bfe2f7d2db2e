#pragma once

#include "http/stream_socket.h"

#include <orchidlead/result.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace orchidlead::http {

/// Operating system error on opening the listening socket.
struct listen_error
{
    std::string what;
};

/// Accepts TCP connections on one address.
class acceptor
{
public:
    using handler = std::function<void(std::shared_ptr<stream_socket>)>;

    [[nodiscard]] static result<std::unique_ptr<acceptor>, listen_error>
    create(io_loop &loop, const socket_address &at, handler onAccept);
    /// Stops accepting; connections accepted before stay open.
    ~acceptor();
    acceptor(const acceptor &) = delete;
    acceptor &operator=(const acceptor &) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    class implementation;
    explicit acceptor(std::shared_ptr<implementation> created);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace orchidlead::http
