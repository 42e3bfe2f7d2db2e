#pragma once

#include "net/connection_owner.h"
#include "net/connection_response.h"
#include "net/lws_event_loop.h"
#include "net/refusal.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::net {

class server_connection;

/// One request on an HTTP/2 connection, and its response.
class http2_stream final
    : public lws_endpoint
    , public response_sink
    , public std::enable_shared_from_this<http2_stream>
{
public:
    http2_stream(lws_event_loop &loop, connection_owner &owner,
                 std::weak_ptr<server_connection> connection);

    /// Binds this object to a stream that libwebsockets has opened.
    void start(lws *wsi);
    /// Stops all events; called when the owner is destroyed, which closes the whole connection.
    void detach();

    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override;

    void sendWhole(int status, const header_list &headers, std::string_view body) override;
    void sendHead(int status, const header_list &headers) override;
    void sendPart(std::string_view bytes) override;
    void sendEnd() override;
    void onWriterReleased() override;
    [[nodiscard]] std::size_t queuedBytes() const override { return m_out.size() - m_outBegin; }

private:
    enum class phase {
        Head,
        Body,
        Responding,
        Refusing,
        Lingering, ///< the refusal was sent; discards further input
        Closed,
    };

    [[nodiscard]] int onHead(std::string_view path);
    [[nodiscard]] std::optional<refusal> readHead();
    [[nodiscard]] int onBody(std::string_view bytes);
    void onBodyComplete();
    [[nodiscard]] int endStream();
    [[nodiscard]] int onWriteable();
    [[nodiscard]] bool writeHead();
    [[nodiscard]] bool writePart(std::size_t size, bool last);
    void onClose(lws *wsi);
    void onTimer();
    void dispatch();
    void refuse(const refusal &cause);
    void setHead(int status, const header_list &headers, std::optional<std::size_t> length);
    void queue(std::string_view bytes);
    void scheduleClose();
    void restartTimer(std::chrono::milliseconds delay);
    void stopTimer();
    void releaseBody();

    lws_event_loop &m_loop;
    connection_owner *m_owner; ///< null once destroyed
    std::weak_ptr<server_connection> m_connection;
    lws *m_wsi = nullptr;
    phase m_phase = phase::Head;
    bool m_bodyEnded = false; ///< the whole body was received
    bool m_closeScheduled = false; ///< nothing more is sent

    http_request m_request;
    std::size_t m_bodyBytes = 0; ///< declared content length
    std::size_t m_buffered = 0; ///< body bytes counted by the owner

    std::weak_ptr<connection_response> m_response;
    std::optional<int> m_status; ///< of a head not sent yet
    header_list m_headers;
    std::string m_out; ///< send queue, from `m_outBegin` on
    std::size_t m_outBegin = 0;
    bool m_noBody = false; ///< HEAD, 204 or 304
    /// Bytes of the declared response length that are not written yet.
    std::optional<std::size_t> m_declaredBytesLeft;
    bool m_responseEnded = false;
    /// The response is incomplete: the stream is closed without END_STREAM after the queued bytes.
    bool m_truncated = false;

    timer_id m_timer = 0;
    std::size_t m_sentTotal = 0;
    std::size_t m_sentAtTimerStart = 0;
};

} // namespace orchidlead::net
