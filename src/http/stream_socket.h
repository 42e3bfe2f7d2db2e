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

/// What a TCP connection reports. The socket lives at least until the call returns.
class stream_events
{
public:
    virtual ~stream_events() = default;
    virtual void onConnected() = 0; ///< of a connection that this process opened
    virtual void onBytes(std::string_view bytes) = 0;
    /// The peer sends nothing more; `inOrder` is false after a reset or a failure. The last event.
    virtual void onEnd(bool inOrder) = 0;
    virtual void onDrained() { } ///< everything written has gone to the kernel
};

/// One TCP connection without blocking: bytes in as they come, bytes out through a queue.
class stream_socket : public std::enable_shared_from_this<stream_socket>
{
public:
    explicit stream_socket(boost::asio::ip::tcp::socket socket);

    /// Opens a connection; `onConnected` or `onEnd` follows. `events` must live until `close`.
    static std::shared_ptr<stream_socket> connect(io_loop &loop, const socket_address &to,
                                                  stream_events &events);
    /// Begins to report the bytes of an accepted connection.
    void start(stream_events &events);

    /// Queues bytes. False when the kernel refused them all because the connection had ended: then
    /// nothing of `bytes` has left.
    bool write(std::string_view bytes);
    /// Bytes that wait to be handed to the kernel.
    [[nodiscard]] std::size_t queuedBytes() const { return m_out.size() - m_outBegin; }
    /// Stops or goes on reading, for backpressure.
    void setReading(bool reading);
    /// Tells the peer that nothing more follows, once what is queued has gone.
    void finishWriting();
    /// Closes at once; nothing is reported any more.
    void close();

private:
    static constexpr std::size_t ReadBytes = 16U << 10U;

    void configure();
    void read();
    void flush();
    void waitToWrite();
    void fail(bool inOrder);

    boost::asio::ip::tcp::socket m_socket;
    stream_events *m_events = nullptr; ///< null: closed
    std::unique_ptr<std::array<char, ReadBytes>> m_buffer;
    std::string m_out; ///< bytes from `m_outBegin` wait to be sent
    std::size_t m_outBegin = 0;
    bool m_reading = true;
    bool m_readPending = false;
    bool m_writePending = false;
    bool m_finishAfterFlush = false;
    bool m_ended = false; ///< the peer's end was reported
};

} // namespace orchidlead::http
