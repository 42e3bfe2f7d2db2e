#pragma once

#include "http/io_loop.h"

#include <orchidlead/ids.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace orchidlead::http {

/// Events of a TCP connection. The socket is not destroyed during a call.
class stream_events
{
public:
    virtual ~stream_events() = default;
    virtual void onConnected() = 0; ///< outgoing connections only
    virtual void onBytes(std::string_view bytes) = 0;
    /// The peer has closed its side; `orderly` is false after a reset or a failure. The last event.
    virtual void onEnd(bool orderly) = 0;
    virtual void onDrained() { } ///< the write queue is empty
};

/// Non-blocking TCP connection: reports bytes as they arrive, and writes through a queue.
class stream_socket : public std::enable_shared_from_this<stream_socket>
{
public:
    explicit stream_socket(boost::asio::ip::tcp::socket socket);

    /// Opens a connection; reports `onConnected` or `onEnd`. `events` must outlive `close`.
    static std::shared_ptr<stream_socket> connect(io_loop &loop, const socket_address &to,
                                                  stream_events &events);
    /// Starts reading an accepted connection.
    void start(stream_events &events);

    /// Sends or queues bytes. Returns false if the connection has ended and none of `bytes` was
    /// sent.
    bool write(std::string_view bytes);
    /// Whether the attempt to connect was refused: no process listens at the address.
    [[nodiscard]] bool wasRefused() const { return m_wasRefused; }
    /// Number of bytes not yet passed to the kernel.
    [[nodiscard]] std::size_t queuedBytes() const { return m_out.size() - m_outBegin; }
    /// Whether all written bytes have been received by the system of the peer.
    [[nodiscard]] bool allAcknowledged();
    /// Pauses or resumes reading, for backpressure.
    void setReading(bool reading);
    /// Shuts down the sending side once the queue is empty.
    void finishWriting();
    /// Closes immediately; reports no further events.
    void close();
    /// As `close`, but the peer sees a reset instead of an orderly end.
    void reset();

private:
    static constexpr std::size_t ReadBytes = 16U << 10U;

    void configure();
    void read();
    void flush();
    void waitToWrite();
    void onWriteFailed();
    void reportEnd(bool orderly);

    boost::asio::ip::tcp::socket m_socket;
    stream_events *m_events = nullptr; ///< null: closed
    std::unique_ptr<std::array<char, ReadBytes>> m_buffer;
    std::string m_out; ///< bytes from `m_outBegin` on are queued
    std::size_t m_outBegin = 0;
    bool m_reading = true;
    bool m_readPending = false;
    bool m_writePending = false;
    bool m_shutdownAfterFlush = false;
    bool m_writeFailed = false;
    bool m_endReported = false; ///< `onEnd` was called
    bool m_wasRefused = false;
};

/// Opens a TCP connection like `stream_socket::connect`.
using connect_function = std::function<std::shared_ptr<stream_socket>(
    io_loop &, const socket_address &, stream_events &)>;

} // namespace orchidlead::http
