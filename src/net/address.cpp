#include "net/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>

namespace orchidlead::net {

std::optional<kernel_address> toKernelAddress(const socket_address &address)
{
    kernel_address result;
    sockaddr_in v4{};
    if (inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(address.port);
        std::memcpy(&result.storage, &v4, sizeof(v4));
        result.length = sizeof(v4);
        return result;
    }
    sockaddr_in6 v6{};
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(address.port);
        std::memcpy(&result.storage, &v6, sizeof(v6));
        result.length = sizeof(v6);
        return result;
    }
    return std::nullopt;
}

socket_address fromKernelAddress(const kernel_address &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.storage.ss_family == AF_INET) {
        sockaddr_in v4{};
        std::memcpy(&v4, &address.storage, sizeof(v4));
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return {text.data(), ntohs(v4.sin_port)};
    }
    sockaddr_in6 v6{};
    std::memcpy(&v6, &address.storage, sizeof(v6));
    inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(v6.sin6_port)};
}

std::string toHostField(const socket_address &address)
{
    const bool v6 = address.ip.find(':') != std::string::npos;
    const std::string host = v6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

socket_address localAddress(int fd)
{
    kernel_address address;
    address.length = sizeof(address.storage);
    getsockname(fd, address.get(), &address.length);
    return fromKernelAddress(address);
}

std::string lastSystemError(const std::string &operation)
{
    return operation + ": " + std::generic_category().message(errno);
}

} // namespace orchidlead::net
