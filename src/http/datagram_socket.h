#pragma once

#include "http/io_loop.h"

#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace orchidlead::http {

/// Operating system error on opening the socket.
struct datagram_error
{
    std::string what;
};

/// Sends and receives datagrams on one address.
class datagram_socket
{
public:
    using receiver = std::function<void(const socket_address &from, std::string_view bytes)>;

    [[nodiscard]] static result<std::unique_ptr<datagram_socket>, datagram_error>
    create(io_loop &loop, const socket_address &at, receiver onDatagram);
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    /// Sends immediately or drops the datagram. Datagrams may be lost in any case.
    void send(const socket_address &to, std::string_view bytes);

private:
    class implementation;
    explicit datagram_socket(std::shared_ptr<implementation> created);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace orchidlead::http
