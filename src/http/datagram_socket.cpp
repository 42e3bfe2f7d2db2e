#include "http/datagram_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <utility>

namespace orchidlead::http {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Larger than any datagram of the membership protocol.
constexpr std::size_t MaxDatagramBytes = 4096;

} // namespace

class datagram_socket::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(io_loop &loop, receiver onDatagram)
        : m_socket(loop.context())
        , m_onDatagram(std::move(onDatagram))
    { }

    [[nodiscard]] std::optional<datagram_error> open(const socket_address &at)
    {
        error_code error;
        const udp::endpoint endpoint(asio::ip::make_address(at.ip, error), at.port);
        if (!error)
            m_socket.open(endpoint.protocol(), error);
        if (!error)
            m_socket.non_blocking(true, error);
        if (!error)
            m_socket.bind(endpoint, error);
        if (error)
            return datagram_error{"can't receive datagrams on " + at.ip + ":"
                                  + std::to_string(at.port) + ": " + error.message()};
        return std::nullopt;
    }

    // An error here belongs to a datagram sent earlier, for example to a peer that does not exist.
    // Receiving continues.
    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_from,
            [self = shared_from_this()](const error_code &error, std::size_t count) {
                if (error == asio::error::operation_aborted || !self->m_socket.is_open())
                    return;
                if (!error)
                    self->m_onDatagram({self->m_from.address().to_string(), self->m_from.port()},
                                       {self->m_buffer.data(), count});
                self->receive();
            });
    }

    void send(const socket_address &to, std::string_view bytes)
    {
        error_code ignored; // treated like a lost datagram
        const udp::endpoint endpoint(asio::ip::make_address(to.ip, ignored), to.port);
        m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), endpoint, 0, ignored);
    }

    void close()
    {
        error_code ignored; // the descriptor is released even on an error
        m_socket.close(ignored);
    }

private:
    udp::socket m_socket;
    receiver m_onDatagram;
    udp::endpoint m_from;
    std::array<char, MaxDatagramBytes> m_buffer{};
};

datagram_socket::datagram_socket(std::shared_ptr<implementation> created)
    : m_implementation(std::move(created))
{ }

datagram_socket::~datagram_socket()
{
    m_implementation->close();
}

result<std::unique_ptr<datagram_socket>, datagram_error>
datagram_socket::create(io_loop &loop, const socket_address &at, receiver onDatagram)
{
    auto created = std::make_shared<implementation>(loop, std::move(onDatagram));
    if (auto error = created->open(at))
        return std::move(*error);
    created->receive();
    return std::unique_ptr<datagram_socket>(new datagram_socket(std::move(created)));
}

void datagram_socket::send(const socket_address &to, std::string_view bytes)
{
    m_implementation->send(to, bytes);
}

} // namespace orchidlead::http
