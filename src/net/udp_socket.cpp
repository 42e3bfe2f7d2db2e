#include "net/udp_socket.h"

#include "net/address.h"
#include "net/lws_event_loop.h"

#include <sys/socket.h>
#include <unistd.h>

namespace orchidlead::net {

namespace {

// Datagrams received per event, so that a flood does not starve the other sockets.
constexpr int MaxDatagramsPerEvent = 64;

// UDP sockets of libwebsockets receive one datagram per loop iteration and support only IPv4
// addresses. So this class owns the socket, and libwebsockets only reports when it is readable.
class udp_socket_impl final
    : public udp_socket
    , private lws_endpoint
{
public:
    udp_socket_impl(lws_event_loop &loop, int fd, handler onDatagram)
        : m_loop(loop)
        , m_fd(fd)
        , m_handler(std::make_shared<handler>(std::move(onDatagram)))
    { }

    ~udp_socket_impl() override
    {
        if (m_wsi)
            detachAndClose(m_wsi, m_insideEvent);
    }

    bool adopt()
    {
        m_wsi = m_loop.adoptFile(m_fd, *this);
        return m_wsi != nullptr;
    }

    [[nodiscard]] std::uint16_t port() const override { return localAddress(m_fd).port; }

    void send(const socket_address &to, std::string_view bytes) override
    {
        const auto address = toKernelAddress(to);
        if (!address || !m_wsi)
            return;
        static_cast<void>(::sendto(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                                   address->get(), address->length));
    }

private:
    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override
    {
        static_cast<void>(wsi);
        static_cast<void>(in);
        static_cast<void>(length);
        if (reason == LWS_CALLBACK_RAW_CLOSE_FILE || reason == LWS_CALLBACK_WSI_DESTROY)
            m_wsi = nullptr;
        if (reason == LWS_CALLBACK_RAW_RX_FILE)
            receive();
        return 0;
    }

    // The handler may destroy this object, which leaves `handlerOwner` as the only owner of the
    // handler.
    void receive()
    {
        const auto handlerOwner = m_handler;
        auto &loop = m_loop;
        const int fd = m_fd;
        m_insideEvent = true;
        for (int i = 0; i < MaxDatagramsPerEvent && handlerOwner.use_count() > 1; ++i) {
            if (!receiveOne(loop, fd, *handlerOwner))
                break;
        }
        if (handlerOwner.use_count() > 1)
            m_insideEvent = false;
    }

    static bool receiveOne(lws_event_loop &loop, int fd, const handler &onDatagram)
    {
        const auto buffer = loop.scratch();
        kernel_address from;
        from.length = sizeof(from.storage);
        const auto length = ::recvfrom(fd, buffer.data(), buffer.size(), MSG_DONTWAIT | MSG_TRUNC,
                                       from.get(), &from.length);
        if (length < 0)
            return false;
        if (static_cast<std::size_t>(length) > buffer.size())
            return true; // longer than any datagram of this system
        const std::string bytes(reinterpret_cast<const char *>(buffer.data()),
                                static_cast<std::size_t>(length));
        onDatagram(fromKernelAddress(from), bytes);
        return true;
    }

    lws_event_loop &m_loop;
    int m_fd;
    std::shared_ptr<handler> m_handler;
    lws *m_wsi = nullptr;
    bool m_insideEvent = false;
};

result<int, net_error> bindUdp(const socket_address &bind)
{
    const auto address = toKernelAddress(bind);
    if (!address)
        return failure(net_error{"not an IP address: " + bind.ip});
    const int fd =
        ::socket(address->storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return failure(net_error{lastSystemError("socket")});
    if (::bind(fd, address->get(), address->length) == 0)
        return success(fd);
    auto error = net_error{lastSystemError("bind to " + toHostField(bind))};
    ::close(fd);
    return failure(std::move(error));
}

} // namespace

result<std::unique_ptr<udp_socket>, net_error>
udp_socket::create(event_loop &loop, const socket_address &bind, handler onDatagram)
{
    const auto fd = bindUdp(bind);
    if (!fd)
        return failure(fd.error());
    auto socket = std::make_unique<udp_socket_impl>(implementationOf(loop), fd.value(),
                                                    std::move(onDatagram));
    if (!socket->adopt()) {
        ::close(fd.value());
        return failure(net_error{"libwebsockets could not adopt the UDP socket"});
    }
    return success(std::unique_ptr<udp_socket>(std::move(socket)));
}

} // namespace orchidlead::net
