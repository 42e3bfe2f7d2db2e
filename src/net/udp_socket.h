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

    /// The port that is bound; differs from the one asked for when that was 0.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// Hands one datagram to the kernel; a full buffer drops it, as the network may.
    virtual void send(const socket_address &to, std::string_view bytes) = 0;
};

} // namespace orchidlead::net
