#pragma once

#include <orchidlead/ids.h>

#include <sys/socket.h>

#include <optional>
#include <string>

namespace orchidlead::net {

/// An address in the form that the kernel takes.
struct kernel_address
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    [[nodiscard]] const sockaddr *get() const
    {
        return reinterpret_cast<const sockaddr *>(&storage);
    }
    [[nodiscard]] sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
};

/// Empty when the text isn't an IPv4 or IPv6 number.
[[nodiscard]] std::optional<kernel_address> toKernelAddress(const socket_address &address);
[[nodiscard]] socket_address fromKernelAddress(const kernel_address &address);

/// `ip:port`, with brackets around an IPv6 number.
[[nodiscard]] std::string toHostField(const socket_address &address);

/// The address that a socket is bound to.
[[nodiscard]] socket_address localAddress(int fd);

/// What the last failed system call says.
[[nodiscard]] std::string lastSystemError(const std::string &doing);

} // namespace orchidlead::net
