#pragma once

#include "net/event_loop.h"

#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace orchidlead::net {

/// Sends and receives datagrams on one bound address.
class udp_socket
{
public:
    using handler = std::function<void(const socket_address &from, std::string_view bytes)>;

    [[nodiscard]] static result<std::unique_ptr<udp_socket>, net_error>
    create(event_loop &loop, const socket_address &bind, handler onDatagram);
    virtual ~udp_socket() = default;

    /// The bound port; chosen by the system if port 0 was requested.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// Passes one datagram to the kernel, which drops it if the send buffer is full.
    virtual void send(const socket_address &to, std::string_view bytes) = 0;
};

} // namespace orchidlead::net
