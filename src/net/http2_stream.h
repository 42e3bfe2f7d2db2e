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

/// One request of a connection of HTTP/2, and its answer.
class http2_stream final
    : public lws_endpoint
    , public answer_sink
    , public std::enable_shared_from_this<http2_stream>
{
public:
    http2_stream(lws_event_loop &loop, connection_owner &owner,
                 std::weak_ptr<server_connection> connection);

    /// libwebsockets has opened the stream.
    void start(lws *wsi);
    /// Reports nothing more; the owner is being destroyed and the whole connection closed.
    void detach();

    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override;

    void sendWhole(int status, const header_list &headers, std::string_view body) override;
    void sendHead(int status, const header_list &headers) override;
    void sendPart(std::string_view bytes) override;
    void sendEnd() override;
    void dropped() override;
    [[nodiscard]] std::size_t queuedBytes() const override { return m_out.size() - m_outBegin; }

private:
    /// What the stream is doing.
    enum class phase {
        Head,
        Body,
        Answering,
        Refusing,
        Lingering, ///< the refusal is out; drops what the caller still sends
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
    void onTick();
    void dispatch();
    void refuse(const refusal &why);
    void setHead(int status, const header_list &headers, std::optional<std::size_t> length);
    void queue(std::string_view bytes);
    void doom();
    void restartTick(std::chrono::milliseconds delay);
    void stopTick();
    void releaseBody();

    lws_event_loop &m_loop;
    connection_owner *m_owner; ///< null once that is destroyed
    std::weak_ptr<server_connection> m_connection;
    lws *m_wsi = nullptr;
    phase m_phase = phase::Head;
    bool m_bodyEnded = false; ///< the caller sends no more
    bool m_doomed = false; ///< to be closed without another word

    http_request m_request;
    std::size_t m_bodyBytes = 0; ///< length that the head declares
    std::size_t m_buffered = 0; ///< bytes of it that the owner counts

    std::weak_ptr<connection_response> m_response;
    std::optional<int> m_status; ///< of a head that is still to be sent
    header_list m_headers;
    std::string m_out; ///< bytes from `m_outBegin` wait to be sent
    std::size_t m_outBegin = 0;
    bool m_noBody = false; ///< the answer may have none: HEAD, 204, 304
    std::optional<std::size_t> m_promised; ///< bytes still owed of a declared length
    bool m_answerEnded = false;
    bool m_truncated = false; ///< to be closed without its end, once the rest is sent

    timer_id m_tick = 0;
    std::size_t m_sentTotal = 0;
    std::size_t m_sentAtTick = 0;
};

} // namespace orchidlead::net
