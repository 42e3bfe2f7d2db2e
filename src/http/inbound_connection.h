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

/// What a client may send, and how long it may take.
struct inbound_limits
{
    std::size_t maxHeadBytes = 16U << 10U; ///< beyond: 431
    std::size_t maxBodyBytes = 4U << 20U; ///< beyond: 413
    milliseconds headTimeout{3000}; ///< from a head's first byte to its last; beyond: 408
    milliseconds idleTimeout{15'000}; ///< without a request, or without progress of a body
    std::size_t maxBufferedBytes = 64U << 20U; ///< of all bodies being received; beyond: 503
    std::size_t maxConnections = 3000; ///< beyond: closed as soon as they are accepted
};

class inbound_connection;
using inbound_ptr = std::shared_ptr<inbound_connection>;

/// What connections share with their listener.
struct inbound_shared
{
    inbound_limits limits;
    std::size_t bufferedBytes = 0; ///< of bodies being received and requests being answered
    std::size_t connections = 0;
    std::size_t answering = 0; ///< connections with a request that isn't answered yet
    bool closing = false; ///< answers carry `Connection: close`
    /// Takes a whole request.
    std::function<void(const inbound_ptr &, request_head &&, std::string &&body)> onRequest;
};

/// One client connection: reads requests one at a time and sends one answer to each.
///
/// An answer is either whole (`respond`) or written in parts (`begin`, `write`, `finish`).
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

    /// Sends a whole answer. `fields` holds no framing; it is added here.
    void respond(int status, const field_list &fields, std::string_view body);
    /// Starts an answer in parts. Without a length it is sent in chunks (to HTTP/1.0: until the
    /// connection's end).
    void begin(const response_head &head);
    void write(std::string_view bytes);
    void finish();
    /// Ends an answer that can't be made whole, so that the client sees that it isn't.
    void abort();

    [[nodiscard]] bool open() const { return m_socket != nullptr; }
    [[nodiscard]] bool begun() const { return m_begun; }
    [[nodiscard]] std::size_t queuedBytes() const;
    /// Called when the client leaves before its answer is finished.
    void onClientGone(std::function<void()> handler) { m_onGone = std::move(handler); }
    /// Called each time that all queued bytes have gone to the kernel.
    void onDrained(std::function<void()> handler) { m_drained = std::move(handler); }
    /// Closes the connection if it has had no request for so long.
    void closeIfIdle(milliseconds atLeast);

private:
    enum class phase {
        Reading,
        Answering,
        Lingering, ///< the answer is out; what the client still sends is dropped
        Closed,
    };

    void onConnected() override { }
    void onBytes(std::string_view bytes) override;
    void onEnd(bool inOrder) override;
    void onDrained() override;
    void onHead(request_head head) override { m_head = std::move(head); }
    void onBody(std::string_view bytes) override;
    void onComplete() override { m_complete = true; }

    void parse(std::string_view bytes);
    void parseKept();
    void expectRequest();
    void inviteBody();
    void dispatch();
    void refuse(int status);
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
    inbound_ptr m_self; ///< keeps the connection until it is closed
    phase m_phase = phase::Reading;
    std::optional<request_reader> m_reader;
    request_head m_head;
    std::string m_body;
    std::size_t m_countedBody = 0;
    bool m_complete = false;
    bool m_tooMuchBuffered = false;
    std::string m_kept; ///< received and not yet parsed
    bool m_begun = false;
    bool m_chunked = false;
    bool m_toHead = false; ///< the request was HEAD: no body follows
    bool m_noBody = false; ///< the status allows none
    bool m_closeAfter = false;
    bool m_http10 = false;
    bool m_insideParse = false;
    std::function<void()> m_onGone;
    std::function<void()> m_drained;
    timer_id m_timer = 0;
    steady_time m_idleSince;
};

} // namespace orchidlead::http
