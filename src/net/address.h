#pragma once

#include <orchidlead/ids.h>

#include <sys/socket.h>

#include <optional>
#include <string>

namespace orchidlead::net {

/// A socket address as system calls take it.
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

/// Returns nothing if the text is not a numeric IPv4 or IPv6 address.
[[nodiscard]] std::optional<kernel_address> toKernelAddress(const socket_address &address);
[[nodiscard]] socket_address fromKernelAddress(const kernel_address &address);

/// Formats `ip:port`, with brackets around an IPv6 address.
[[nodiscard]] std::string toHostField(const socket_address &address);

/// The address that a socket is bound to.
[[nodiscard]] socket_address localAddress(int fd);

/// Describes the failed operation with the text of `errno`.
[[nodiscard]] std::string lastSystemError(const std::string &operation);

} // namespace orchidlead::net
