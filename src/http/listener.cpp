#include "http/listener.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <utility>

namespace orchidlead::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Connections that wait to be accepted. A dropped opening packet costs the client a second, so the
// queue holds more than any burst seen.
constexpr int Backlog = 1024;
// After an accept that failed for want of descriptors.
constexpr milliseconds AcceptPause{50};
constexpr std::size_t SweepAt = 64;

} // namespace

class listener::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(io_loop &loop, std::shared_ptr<inbound_shared> shared)
        : m_loop(loop)
        , m_acceptor(loop.context())
        , m_shared(std::move(shared))
    { }

    std::optional<listen_error> open(const socket_address &at)
    {
        error_code error;
        const auto ip = asio::ip::make_address(at.ip, error);
        const tcp::endpoint endpoint(ip, at.port);
        if (!error)
            m_acceptor.open(endpoint.protocol(), error);
        if (!error)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(endpoint, error);
        if (!error)
            m_acceptor.listen(Backlog, error);
        if (error)
            return listen_error{"can't listen on " + at.ip + ":" + std::to_string(at.port) + ": "
                                + error.message()};
        return std::nullopt;
    }

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](const error_code &error, tcp::socket socket) {
                if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
                    return;
                if (error) {
                    self->m_loop.callAfter(AcceptPause, [self] { self->accept(); });
                    return;
                }
                self->take(std::move(socket));
                self->accept();
            });
    }

    void closeIdle()
    {
        const auto connections = m_connections;
        for (const auto &weak : connections) {
            if (const auto each = weak.lock())
                each->closeIfIdle();
        }
    }

    void stop()
    {
        error_code ignored; // released whatever the kernel answers
        m_acceptor.close(ignored);
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void take(tcp::socket socket)
    {
        if (m_shared->connections >= m_shared->limits.maxConnections)
            return;
        if (m_connections.size() >= m_sweepAt) {
            std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
            m_sweepAt = std::max(SweepAt, 2 * m_connections.size());
        }
        const auto made = std::make_shared<inbound_connection>(
            m_loop, std::make_shared<stream_socket>(m_loop, std::move(socket)), m_shared);
        m_connections.push_back(made);
        made->start();
    }

    io_loop &m_loop;
    tcp::acceptor m_acceptor;
    std::shared_ptr<inbound_shared> m_shared;
    std::vector<std::weak_ptr<inbound_connection>> m_connections;
    std::size_t m_sweepAt = SweepAt;
};

listener::listener(std::shared_ptr<implementation> made)
    : m_implementation(std::move(made))
{ }

listener::~listener()
{
    m_implementation->stop();
}

result<std::unique_ptr<listener>, listen_error>
listener::create(io_loop &loop, const socket_address &at, std::shared_ptr<inbound_shared> shared)
{
    auto made = std::make_shared<implementation>(loop, std::move(shared));
    if (auto error = made->open(at))
        return std::move(*error);
    made->accept();
    return std::unique_ptr<listener>(new listener(std::move(made)));
}

std::uint16_t listener::port() const
{
    return m_implementation->port();
}

void listener::closeIdle()
{
    m_implementation->closeIdle();
}

void listener::stop()
{
    m_implementation->stop();
}

} // namespace orchidlead::http
