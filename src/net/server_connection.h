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

/// One accepted connection: reads requests one at a time and sends their answers in order.
class server_connection final
    : public lws_endpoint
    , public answer_sink
    , public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(lws_event_loop &loop, connection_owner &owner, std::uint64_t id, int fd,
                      bool tls);

    [[nodiscard]] std::uint64_t id() const { return m_id; }

    /// Starts to wait for a request; libwebsockets has taken the socket.
    void start(lws *wsi);
    /// Closes the socket; the owner is being destroyed.
    void detach();
    /// The kernel says that the caller closed its side.
    void callerGone();

    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override;
    /// Makes the endpoint of a stream that libwebsockets has opened on this connection.
    lws_endpoint *adoptStream(lws *stream) override;
    void forgetStream(http2_stream &stream);

    void sendWhole(int status, const header_list &headers, std::string_view body) override;
    void sendHead(int status, const header_list &headers) override;
    void sendPart(std::string_view bytes) override;
    void sendEnd() override;
    void dropped() override;
    [[nodiscard]] std::size_t queuedBytes() const override { return m_out.size() - m_outBegin; }

private:
    /// What the connection is doing.
    enum class phase {
        Head, ///< waits for or reads a request's head
        Body,
        Answering, ///< the handler has the request
        Refusing, ///< sends a refusal of its own, then closes
        Lingering, ///< the answer is out; drops what the caller still sends
        Closed,
    };

    int onHead();
    int onBody(std::string_view bytes);
    int onBodyComplete();
    int onWriteable();
    void onUnparsedClose();
    void onClose(lws *wsi);
    void onTick(const std::shared_ptr<server_connection> &self);
    void onHeadTick();
    void doom();
    void releaseBody();
    void prepareNextRequest();

    [[nodiscard]] std::optional<refusal> readHead();
    [[nodiscard]] std::optional<refusal> readFraming();
    [[nodiscard]] bool headTooLarge() const;
    void dispatch();
    void refuse(const refusal &why);
    void refuseAndClose(const refusal &why);
    [[nodiscard]] int finishAnswer();
    void queue(std::string_view bytes);
    void writeHead(int status, const header_list &headers, std::optional<std::size_t> length);
    void restartTick(std::chrono::milliseconds delay);
    void stopTick();

    lws_event_loop &m_loop;
    connection_owner *m_owner; ///< null once that is destroyed
    std::uint64_t m_id;
    int m_fd;
    bool m_tls;
    lws *m_wsi = nullptr;
    bool m_insideEvent = false;
    phase m_phase = phase::Head;
    bool m_doomed = false; ///< to be closed without another word
    bool m_headParsed = false;
    bool m_served = false; ///< has answered a request before
    bool m_sentAhead = false; ///< the next request came with the one before

    http_request m_request;
    std::size_t m_bodyBytes = 0; ///< length that the head declares
    std::size_t m_buffered = 0; ///< bytes of it that the owner counts
    bool m_bodyUnread = false; ///< the caller may still be sending the body
    bool m_http10 = false;
    bool m_closeAfter = false;

    std::weak_ptr<connection_response> m_response;
    std::string m_out; ///< bytes from `m_outBegin` wait to be sent
    std::size_t m_outBegin = 0;
    bool m_chunked = false;
    bool m_noBody = false; ///< the answer may have none: HEAD, 204, 304
    std::optional<std::size_t> m_promised; ///< bytes still owed of a declared length
    bool m_answerEnded = false;
    bool m_truncated = false; ///< to be closed without its end, once the rest is sent

    timer_id m_tick = 0;
    std::uint64_t m_receivedBefore = 0; ///< received when the last answer was finished
    std::unordered_map<http2_stream *, std::shared_ptr<http2_stream>> m_streams;
    bool m_http2 = false;

    std::uint64_t m_sentTotal = 0;
    std::uint64_t m_sentAtTick = 0;
    bool m_partialSeen = false; ///< at the last tick, a part of a head was here
    std::chrono::milliseconds m_idle{0};
};

} // namespace orchidlead::net
