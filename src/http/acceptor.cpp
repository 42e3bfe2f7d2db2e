#include "http/acceptor.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace orchidlead::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Connections waiting to be accepted. A dropped SYN costs the client 1 s until it is retransmitted,
// so the queue is longer than any observed burst.
constexpr int Backlog = 1024;
// Delay before the next accept after one that failed for lack of file descriptors.
constexpr milliseconds AcceptRetryDelay{50};

} // namespace

class acceptor::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(io_loop &loop, handler onAccept)
        : m_loop(loop)
        , m_acceptor(loop.context())
        , m_onAccept(std::move(onAccept))
    { }

    [[nodiscard]] std::optional<listen_error> open(const socket_address &at)
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
                    self->m_loop.callAfter(AcceptRetryDelay, [self] { self->accept(); });
                    return;
                }
                self->m_onAccept(std::make_shared<stream_socket>(std::move(socket)));
                self->accept();
            });
    }

    void close()
    {
        error_code ignored; // the descriptor is released even on an error
        m_acceptor.close(ignored);
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    io_loop &m_loop;
    tcp::acceptor m_acceptor;
    handler m_onAccept;
};

acceptor::acceptor(std::shared_ptr<implementation> created)
    : m_implementation(std::move(created))
{ }

acceptor::~acceptor()
{
    m_implementation->close();
}

result<std::unique_ptr<acceptor>, listen_error>
acceptor::create(io_loop &loop, const socket_address &at, handler onAccept)
{
    auto created = std::make_shared<implementation>(loop, std::move(onAccept));
    if (auto error = created->open(at))
        return std::move(*error);
    created->accept();
    return std::unique_ptr<acceptor>(new acceptor(std::move(created)));
}

std::uint16_t acceptor::port() const
{
    return m_implementation->port();
}

} // namespace orchidlead::http
