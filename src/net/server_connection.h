#pragma once

#include "net/connection_owner.h"
#include "net/connection_response.h"
#include "net/http2_stream.h"
#include "net/http_server.h"
#include "net/lws_event_loop.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace orchidlead::net {

/// One accepted connection: reads requests one at a time and sends the responses in order.
class server_connection final
    : public lws_endpoint
    , public response_sink
    , public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(lws_event_loop &loop, connection_owner &owner, std::uint64_t id, int fd,
                      bool tls);

    [[nodiscard]] std::uint64_t id() const { return m_id; }

    /// Starts waiting for a request; called when libwebsockets has adopted the socket.
    void start(lws *wsi);
    /// Closes the socket; called when the owner is destroyed.
    void detach();
    /// Called when the client has closed its side of the connection.
    void onClientClosed();

    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override;
    /// Creates the endpoint of a stream that libwebsockets has opened on this connection.
    lws_endpoint *adoptStream(lws *stream) override;
    void removeStream(http2_stream &stream);

    void sendWhole(int status, const header_list &headers, std::string_view body) override;
    void sendHead(int status, const header_list &headers) override;
    void sendPart(std::string_view bytes) override;
    void sendEnd() override;
    void onWriterReleased() override;
    [[nodiscard]] std::size_t queuedBytes() const override { return m_out.size() - m_outBegin; }

private:
    enum class phase {
        Head, ///< waits for or reads a request head
        Body,
        Responding, ///< the handler was called
        Refusing, ///< sends a refusal, then closes
        Lingering, ///< the response was sent; discards further input
        Closed,
    };

    int onHead();
    int onBody(std::string_view bytes);
    int onBodyComplete();
    int onWriteable();
    void onUnparsedClose();
    void onClose(lws *wsi);
    void onTimer(const std::shared_ptr<server_connection> &self);
    void onHeadTimer();
    void scheduleClose();
    void releaseBody();
    void prepareNextRequest();

    [[nodiscard]] std::optional<refusal> readHead();
    [[nodiscard]] std::optional<refusal> readFraming();
    [[nodiscard]] bool headTooLarge() const;
    void dispatch();
    void refuse(const refusal &cause);
    void refuseAndClose(const refusal &cause);
    [[nodiscard]] int finishResponse();
    void queue(std::string_view bytes);
    void writeHead(int status, const header_list &headers, std::optional<std::size_t> length);
    void restartTimer(std::chrono::milliseconds delay);
    void stopTimer();

    lws_event_loop &m_loop;
    connection_owner *m_owner; ///< null once destroyed
    std::uint64_t m_id;
    int m_fd;
    bool m_tls;
    lws *m_wsi = nullptr;
    bool m_insideEvent = false;
    phase m_phase = phase::Head;
    bool m_closeScheduled = false; ///< nothing more is sent
    bool m_headParsed = false;
    bool m_servedBefore = false; ///< an earlier request was answered
    bool m_pipelined = false; ///< the current request was pipelined

    http_request m_request;
    std::size_t m_bodyBytes = 0; ///< declared content length
    std::size_t m_buffered = 0; ///< body bytes counted by the owner
    bool m_bodyUnread = false; ///< the client may still send the body
    bool m_http10 = false;
    bool m_closeAfter = false;

    std::weak_ptr<connection_response> m_response;
    std::string m_out; ///< send queue, from `m_outBegin` on
    std::size_t m_outBegin = 0;
    bool m_chunked = false;
    bool m_noBody = false; ///< HEAD, 204 or 304
    /// Bytes of the declared response length that are not written yet.
    std::optional<std::size_t> m_declaredBytesLeft;
    bool m_responseEnded = false;
    /// The response is incomplete: the connection is closed after the queued bytes.
    bool m_truncated = false;

    timer_id m_timer = 0;
    std::uint64_t m_receivedBefore = 0; ///< bytes received before this request
    std::unordered_map<http2_stream *, std::shared_ptr<http2_stream>> m_streams;
    bool m_http2 = false;

    std::uint64_t m_sentTotal = 0;
    std::uint64_t m_sentAtTimerStart = 0;
    bool m_partialHeadSeen = false; ///< a partial head was present at the last check
    std::chrono::milliseconds m_idleTime{0};
};

} // namespace orchidlead::net
