#include "http/stream_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <utility>

namespace orchidlead::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// How long sent bytes may stay unacknowledged before the kernel closes the connection. Without this
// limit, connections across a network partition would hang for minutes. It is long enough for the
// few consecutive packet losses of a lossy link.
constexpr int UnacknowledgedTimeoutMs = 4000;
// The memory of a larger queue is released when the queue is empty.
constexpr std::size_t MaxRetainedQueueBytes = 64U << 10U;

} // namespace

stream_socket::stream_socket(tcp::socket socket)
    : m_socket(std::move(socket))
{ }

std::shared_ptr<stream_socket> stream_socket::connect(io_loop &loop, const socket_address &to,
                                                      stream_events &events)
{
    auto created = std::make_shared<stream_socket>(tcp::socket(loop.context()));
    created->m_events = &events;
    error_code error;
    const auto ip = asio::ip::make_address(to.ip, error);
    if (!error)
        created->m_socket.open(ip.is_v6() ? tcp::v6() : tcp::v4(), error);
    if (error) {
        loop.post([created] { created->reportEnd(false); });
        return created;
    }
    created->m_socket.async_connect({ip, to.port}, [created](const error_code &failed) {
        if (!created->m_events)
            return;
        if (failed) {
            created->m_wasRefused = failed == asio::error::connection_refused;
            created->reportEnd(false);
            return;
        }
        created->configure();
        created->m_events->onConnected();
        created->read();
    });
    return created;
}

void stream_socket::start(stream_events &events)
{
    m_events = &events;
    configure();
    read();
}

// Errors are ignored: an option can't be set only if the connection has ended, which the next read
// reports.
void stream_socket::configure()
{
    error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(tcp::no_delay(true), ignored);
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(user_timeout(UnacknowledgedTimeoutMs), ignored);
}

void stream_socket::read()
{
    if (!m_events || !m_reading || m_readPending || m_endReported)
        return;
    if (!m_buffer)
        m_buffer = std::make_unique<std::array<char, ReadBytes>>();
    m_readPending = true;
    m_socket.async_read_some(
        asio::buffer(*m_buffer),
        [self = shared_from_this()](const error_code &error, std::size_t count) {
            self->m_readPending = false;
            if (!self->m_events)
                return;
            if (error) {
                self->reportEnd(error == asio::error::eof && !self->m_writeFailed);
                return;
            }
            self->m_events->onBytes({self->m_buffer->data(), count});
            self->read();
        });
}

bool stream_socket::write(std::string_view bytes)
{
    if (!m_events || m_writeFailed)
        return false;
    if (m_writePending || queuedBytes() > 0) {
        m_out.append(bytes);
        return true;
    }
    error_code error;
    const std::size_t sent = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != asio::error::would_block)
        return false;
    m_out.append(bytes.substr(sent));
    if (queuedBytes() > 0)
        waitToWrite();
    return true;
}

void stream_socket::waitToWrite()
{
    if (m_writePending)
        return;
    m_writePending = true;
    m_socket.async_wait(tcp::socket::wait_write,
                        [self = shared_from_this()](const error_code &error) {
                            self->m_writePending = false;
                            if (!self->m_events)
                                return;
                            if (error)
                                self->onWriteFailed();
                            else
                                self->flush();
                        });
}

void stream_socket::flush()
{
    error_code error;
    while (queuedBytes() > 0 && !error) {
        m_outBegin +=
            m_socket.write_some(asio::buffer(m_out.data() + m_outBegin, queuedBytes()), error);
    }
    if (error == asio::error::would_block) {
        waitToWrite();
        return;
    }
    if (error) {
        onWriteFailed();
        return;
    }
    m_outBegin = 0;
    m_out.clear();
    if (m_out.capacity() > MaxRetainedQueueBytes)
        m_out.shrink_to_fit();
    if (m_shutdownAfterFlush)
        finishWriting();
    if (m_events)
        m_events->onDrained();
}

// A server may answer and end the connection before it has read the request. What it sent is still
// read, up to the end of the connection, which then counts as a failure: the kernel reports an
// error once, so the next read may look like an orderly end.
void stream_socket::onWriteFailed()
{
    m_writeFailed = true;
    if (!m_reading)
        reportEnd(false);
}

bool stream_socket::allAcknowledged()
{
    int unacknowledged = 0;
    const bool known = ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    return !m_writeFailed && queuedBytes() == 0 && known && unacknowledged == 0;
}

void stream_socket::setReading(bool reading)
{
    m_reading = reading;
    read();
}

void stream_socket::finishWriting()
{
    if (queuedBytes() > 0) {
        m_shutdownAfterFlush = true;
        return;
    }
    error_code ignored; // fails only if the connection has already ended
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void stream_socket::reportEnd(bool orderly)
{
    if (m_endReported || !m_events)
        return;
    m_endReported = true;
    m_events->onEnd(orderly);
}

void stream_socket::reset()
{
    error_code ignored; // without the option the peer sees an orderly end
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void stream_socket::close()
{
    m_events = nullptr;
    error_code ignored; // the descriptor is released even on an error
    m_socket.close(ignored);
}

} // namespace orchidlead::http
