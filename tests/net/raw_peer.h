#pragma once

#include "net/address.h"
#include "net_test_support.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// A TCP connection on which the test sends and receives raw bytes.
class raw_peer
{
public:
    /// Connects to a loopback port.
    explicit raw_peer(std::uint16_t port)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = toKernelAddress({"127.0.0.1", port});
        const int connected = ::connect(m_fd, address->get(), address->length);
        REQUIRE(connected == 0);
    }
    /// Takes ownership of an accepted connection.
    static raw_peer accepted(int fd) { return raw_peer(adopted{}, fd); }
    ~raw_peer() { disconnect(); }
    raw_peer(raw_peer &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
        , m_received(std::move(other.m_received))
        , m_ended(other.m_ended)
    { }
    raw_peer(const raw_peer &) = delete;
    raw_peer &operator=(const raw_peer &) = delete;

    void send(std::string_view bytes)
    {
        const auto sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        m_refused = sent < 0;
    }
    void disconnect()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    /// Closes the connection with a reset.
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        disconnect();
    }

    /// Returns all bytes received so far.
    const std::string &received()
    {
        std::array<char, 65536> buffer{};
        for (;;) {
            const auto n = ::recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (n > 0) {
                m_received.append(buffer.data(), static_cast<std::size_t>(n));
                continue;
            }
            if (n == 0 || errno != EAGAIN)
                m_ended = true;
            return m_received;
        }
    }
    /// Whether the peer has closed the connection.
    bool ended()
    {
        received();
        return m_ended;
    }

private:
    struct adopted
    { };
    raw_peer(adopted, int fd)
        : m_fd(fd)
    { }

    int m_fd;
    std::string m_received;
    bool m_ended = false;
    bool m_refused = false;
};

/// A listening socket whose connections are served by the test as raw bytes.
class raw_listener
{
public:
    raw_listener()
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const auto address = toKernelAddress({"127.0.0.1", 0});
        const int bound = ::bind(m_fd, address->get(), address->length);
        const int listening = ::listen(m_fd, 16);
        REQUIRE(bound == 0);
        REQUIRE(listening == 0);
    }
    ~raw_listener() { ::close(m_fd); }
    raw_listener(const raw_listener &) = delete;
    raw_listener &operator=(const raw_listener &) = delete;

    [[nodiscard]] std::uint16_t port() const { return localAddress(m_fd).port; }

    /// Accepts one connection, if one is pending.
    std::optional<raw_peer> accept()
    {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return std::nullopt;
        return raw_peer::accepted(fd);
    }

private:
    int m_fd;
};

} // namespace orchidlead::net
