#pragma once

#include "http/message_reader.h"
#include "http/stream_socket.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::http {

/// Size and time limits of client connections.
struct inbound_limits
{
    std::size_t maxHeadBytes = 16U << 10U; ///< status if exceeded: 431
    std::size_t maxBodyBytes = 4U << 20U; ///< status if exceeded: 413
    /// From the first byte of a head to its last. Status if exceeded: 408.
    milliseconds headTimeout{3000};
    /// Without a request, or without progress of a body.
    milliseconds idleTimeout{15'000};
    /// Total of all request bodies held by the listener. Status if exceeded: 503.
    std::size_t maxBufferedBytes = 64U << 20U;
    /// Further connections are closed when they are accepted.
    std::size_t maxConnections = 3000;
};

class inbound_connection;
using inbound_ptr = std::shared_ptr<inbound_connection>;

/// State shared by a listener and its connections.
struct inbound_shared
{
    inbound_limits limits;
    /// Bytes of bodies being received and of requests being answered.
    std::size_t bufferedBytes = 0;
    std::size_t connections = 0;
    /// Connections whose current request has no complete answer yet.
    std::size_t answering = 0;
    bool closing = false; ///< answers carry `Connection: close`
    /// Called for each completely received request.
    std::function<void(const inbound_ptr &, request_head &&, std::string &&body)> onRequest;
};

/// Client connection: reads one request at a time and sends one answer to each.
///
/// An answer is sent either at once (`respond`) or in parts (`begin`, `write`, `finish`).
class inbound_connection final
    : public std::enable_shared_from_this<inbound_connection>
    , private stream_events
    , private request_sink
{
public:
    inbound_connection(io_loop &loop, std::shared_ptr<stream_socket> socket,
                       std::shared_ptr<inbound_shared> shared);
    ~inbound_connection() override;

    void start();

    /// Sends a complete answer. Adds the framing fields, which `fields` must not contain.
    void respond(int status, const field_list &fields, std::string_view body);
    /// Starts an answer in parts. Without a length it is sent chunked, or to an HTTP/1.0 client up
    /// to the close of the connection.
    void begin(const response_head &head);
    void write(std::string_view bytes);
    void finish();
    /// Closes the connection, so that the client detects that the answer is incomplete.
    void abort();

    [[nodiscard]] bool open() const { return m_socket != nullptr; }
    [[nodiscard]] bool answerStarted() const { return m_answerStarted; }
    [[nodiscard]] std::size_t queuedBytes() const;
    /// Sets the handler of a client's disconnect before its answer is complete.
    void onClientGone(std::function<void()> handler) { m_onClientGone = std::move(handler); }
    /// Sets the handler called whenever all queued bytes have been passed to the kernel.
    void onDrained(std::function<void()> handler) { m_onDrained = std::move(handler); }
    /// Closes the connection if it has been idle for at least this long.
    void closeIfIdle(milliseconds minIdleTime);
    /// Answers a request that has not arrived completely with 503 and these fields.
    void refuseUnread(const field_list &fields);

private:
    enum class phase {
        Reading,
        Answering,
        /// The last answer was sent; further bytes of the client are discarded.
        Lingering,
        Closed,
    };

    void onConnected() override { }
    void onBytes(std::string_view bytes) override;
    void onEnd(bool orderly) override;
    void onDrained() override;
    void onHead(request_head head) override { m_head = std::move(head); }
    void onBody(std::string_view bytes) override;
    void onComplete() override { m_requestComplete = true; }

    void parse(std::string_view bytes);
    void parseUnparsed();
    void waitForRequest();
    void sendContinue();
    void dispatch();
    void refuse(int status, const field_list &fields = {});
    /// Returns whether a part of a request has arrived.
    [[nodiscard]] bool isRequestUnread() const;
    void writeHead(const response_head &head);
    void endAnswer();
    void linger();
    void close();
    void setTimer(milliseconds delay);
    void onTimer();
    void releaseBody();

    io_loop &m_loop;
    std::shared_ptr<stream_socket> m_socket;
    std::shared_ptr<inbound_shared> m_shared;
    inbound_ptr m_self; ///< keeps this object alive until closed
    phase m_phase = phase::Reading;
    std::optional<request_reader> m_reader;
    request_head m_head;
    std::string m_body;
    std::size_t m_countedBodyBytes = 0;
    bool m_requestComplete = false;
    bool m_bufferLimitExceeded = false;
    std::string m_unparsed; ///< received bytes that are not parsed yet
    bool m_answerStarted = false;
    bool m_chunked = false;
    bool m_endsWithConnection = false; ///< the answer's body ends where the connection is closed
    bool m_isHeadRequest = false; ///< the answer has no body
    bool m_noBody = false; ///< the status allows no body
    bool m_closeAfterAnswer = false;
    bool m_http10 = false;
    bool m_parsing = false;
    std::function<void()> m_onClientGone;
    std::function<void()> m_onDrained;
    timer_id m_timer = 0;
    steady_time m_idleSince;
};

} // namespace orchidlead::http
