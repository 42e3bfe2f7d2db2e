#include "core/settings/socket_address_text.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace orchidlead {

namespace {

constexpr std::size_t MaxIpLength = 45;

bool isIpAddress(const std::string &ip, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return ip.size() <= MaxIpLength && inet_pton(family, ip.c_str(), parsed.data()) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc{} || end != text.data() + text.size() || port == 0)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<socket_address> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parsePort(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    const std::string ip{host};
    // `inet_pton` would treat a zero byte as the end of the text and ignore the rest.
    const bool hasZeroByte = host.find('\0') != std::string_view::npos;
    if (!port || hasZeroByte || !isIpAddress(ip, bracketed ? AF_INET6 : AF_INET))
        return std::nullopt;
    return socket_address{ip, *port};
}

std::string toText(const socket_address &address)
{
    const bool bracketed = address.ip.find(':') != std::string::npos;
    const std::string host = bracketed ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace orchidlead
