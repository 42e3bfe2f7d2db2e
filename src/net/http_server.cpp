#include "net/http_server.h"

#include "net/address.h"
#include "net/lws_event_loop.h"
#include "net/refusal.h"
#include "net/server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <unordered_map>
#include <utility>

namespace orchidlead::net {

namespace {

constexpr int MaxAcceptsPerEvent = 64;
constexpr int MaxClientClosesPerEvent = 64;

/// Calls a function when a descriptor, watched by libwebsockets, is readable.
class readable_watch final : public lws_endpoint
{
public:
    explicit readable_watch(std::function<void()> onReadable)
        : m_onReadable(std::move(onReadable))
    { }
    ~readable_watch() override
    {
        if (m_wsi)
            detachAndClose(m_wsi, m_insideEvent);
    }
    readable_watch(const readable_watch &) = delete;
    readable_watch &operator=(const readable_watch &) = delete;

    bool adopt(lws_event_loop &loop, int fd)
    {
        m_wsi = loop.adoptFile(fd, *this);
        return m_wsi != nullptr;
    }

private:
    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override
    {
        static_cast<void>(wsi);
        static_cast<void>(in);
        static_cast<void>(length);
        if (reason == LWS_CALLBACK_RAW_CLOSE_FILE || reason == LWS_CALLBACK_WSI_DESTROY)
            m_wsi = nullptr;
        if (reason != LWS_CALLBACK_RAW_RX_FILE)
            return 0;
        m_insideEvent = true;
        m_onReadable();
        m_insideEvent = false;
        return 0;
    }

    std::function<void()> m_onReadable;
    lws *m_wsi = nullptr;
    bool m_insideEvent = false;
};

result<int, net_error> bindListener(const socket_address &listen)
{
    const auto address = toKernelAddress(listen);
    if (!address)
        return failure(net_error{"not an IP address: " + listen.ip});
    const int fd =
        ::socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return failure(net_error{lastSystemError("socket")});
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd, address->get(), address->length) == 0 && ::listen(fd, SOMAXCONN) == 0)
        return success(fd);
    auto error = net_error{lastSystemError("listen on " + toHostField(listen))};
    ::close(fd);
    return failure(std::move(error));
}

// The server owns the listening socket and passes accepted connections to libwebsockets. A listener
// of libwebsockets cannot be closed without its connections, and libwebsockets distinguishes
// servers only by port.
class http_server_impl final
    : public http_server
    , public connection_owner
{
public:
    http_server_impl(lws_event_loop &loop, http_server_options options, http_handler handler)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_listener(std::make_unique<readable_watch>([this] { acceptAll(); }))
        , m_clientCloseWatch([this] { onClientsClosed(); })
    { }

    ~http_server_impl() override
    {
        stopListening();
        const auto connections = std::exchange(m_connections, {});
        for (const auto &[id, connection] : connections)
            connection->detach();
    }
    http_server_impl(const http_server_impl &) = delete;
    http_server_impl &operator=(const http_server_impl &) = delete;

    [[nodiscard]] result<void, net_error> open();

    [[nodiscard]] std::uint16_t port() const override { return m_port; }
    [[nodiscard]] std::size_t connections() const override { return m_connections.size(); }
    void stopKeepAlive() override { m_keepAlive = false; }
    void stopListening() override;

    [[nodiscard]] const http_server_options &options() const override { return m_options; }
    [[nodiscard]] bool keepAlive() const override { return m_keepAlive; }
    [[nodiscard]] bool bufferBody(std::size_t bytes) override
    {
        m_bufferedBytes += bytes;
        return m_bufferedBytes <= m_options.maxBufferedBodyBytes;
    }
    void releaseBody(std::size_t bytes) override { m_bufferedBytes -= bytes; }
    void handle(http_request &&request, response_ptr response) override;
    void removeConnection(server_connection &connection) override;

private:
    void acceptAll();
    void admit(int fd);
    void onClientsClosed();

    lws_event_loop &m_loop;
    http_server_options m_options;
    http_handler m_handler;
    lws_vhost *m_vhost = nullptr;
    std::unique_ptr<readable_watch> m_listener;
    int m_listenFd = -1;
    std::uint16_t m_port = 0;
    bool m_keepAlive = true;

    /// Watches accepted sockets for clients that close their side.
    readable_watch m_clientCloseWatch;
    int m_clientCloseFd = -1;
    std::unordered_map<std::uint64_t, std::shared_ptr<server_connection>> m_connections;
    std::uint64_t m_lastId = 0;
    std::size_t m_bufferedBytes = 0; ///< of bodies being received
};

result<void, net_error> http_server_impl::open()
{
    if (m_options.maxHeaderBytes > MaxParsedHeaderBytes)
        return failure(net_error{"maxHeaderBytes exceeds the limit of "
                                 + std::to_string(MaxParsedHeaderBytes) + " bytes"});
    m_vhost = m_loop.plainVhost();
    if (!m_options.tlsCertificateFile.empty()) {
        auto vhost = m_loop.makeTlsVhost(m_options.tlsCertificateFile, m_options.tlsKeyFile,
                                         m_options.offerHttp2);
        if (!vhost)
            return failure(std::move(vhost).error());
        m_vhost = vhost.value();
    }
    const int epollFd = ::epoll_create1(EPOLL_CLOEXEC);
    if (epollFd < 0 || !m_clientCloseWatch.adopt(m_loop, epollFd))
        return failure(net_error{lastSystemError("epoll")});
    m_clientCloseFd = epollFd;
    const auto listener = bindListener(m_options.listen);
    if (!listener)
        return failure(listener.error());
    m_listenFd = listener.value();
    m_port = localAddress(m_listenFd).port;
    if (!m_listener->adopt(m_loop, m_listenFd))
        return failure(net_error{"libwebsockets could not adopt the listening socket"});
    return success();
}

// The shutdown takes effect at once, even if libwebsockets closes the descriptor later.
void http_server_impl::stopListening()
{
    if (m_listenFd < 0)
        return;
    ::shutdown(m_listenFd, SHUT_RDWR);
    m_listenFd = -1;
    m_listener.reset();
}

void http_server_impl::handle(http_request &&request, response_ptr response)
{
    m_handler(std::move(request), std::move(response));
}

void http_server_impl::removeConnection(server_connection &connection)
{
    m_connections.erase(connection.id());
}

void http_server_impl::acceptAll()
{
    for (int i = 0; i < MaxAcceptsPerEvent; ++i) {
        const int fd = ::accept4(m_listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (i == 0)
                m_loop.markIdleEvent(); // out of descriptors: the loop may sleep
            return;
        }
        admit(fd);
    }
}

void http_server_impl::admit(int fd)
{
    if (m_connections.size() >= m_options.maxConnections) {
        const std::string text = refusalResponse(TooManyConnections);
        static_cast<void>(::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
        ::close(fd);
        return;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto id = ++m_lastId;
    epoll_event watch{};
    watch.events = EPOLLRDHUP | EPOLLET;
    watch.data.u64 = id;
    ::epoll_ctl(m_clientCloseFd, EPOLL_CTL_ADD, fd, &watch);
    const bool tls = !m_options.tlsCertificateFile.empty();
    const auto connection = std::make_shared<server_connection>(m_loop, *this, id, fd, tls);
    m_connections.emplace(id, connection);
    if (!m_loop.adoptConnection(m_vhost, fd, *connection))
        m_connections.erase(id);
}

void http_server_impl::onClientsClosed()
{
    std::array<epoll_event, MaxClientClosesPerEvent> events{};
    const int count = ::epoll_wait(m_clientCloseFd, events.data(), MaxClientClosesPerEvent, 0);
    for (int i = 0; i < count; ++i) {
        const auto found = m_connections.find(events.at(static_cast<std::size_t>(i)).data.u64);
        if (found != m_connections.end())
            found->second->onClientClosed();
    }
}

} // namespace

result<std::unique_ptr<http_server>, net_error>
http_server::create(event_loop &loop, const http_server_options &options, http_handler handler)
{
    auto server =
        std::make_unique<http_server_impl>(implementationOf(loop), options, std::move(handler));
    if (auto opened = server->open(); !opened)
        return failure(std::move(opened).error());
    return success(std::unique_ptr<http_server>(std::move(server)));
}

} // namespace orchidlead::net
