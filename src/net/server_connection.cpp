#include "net/server_connection.h"

#include "net/header_fields.h"
#include "net/refusal.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace orchidlead::net {

namespace {

struct method_token
{
    lws_token_indexes token;
    std::string_view name;
    bool carriesBody; ///< libwebsockets expects a body even without a length
};

constexpr std::array MethodTokens{
    method_token{WSI_TOKEN_GET_URI, "GET", false},
    method_token{WSI_TOKEN_POST_URI, "POST", true},
    method_token{WSI_TOKEN_PUT_URI, "PUT", true},
    method_token{WSI_TOKEN_DELETE_URI, "DELETE", false},
    method_token{WSI_TOKEN_PATCH_URI, "PATCH", true},
    method_token{WSI_TOKEN_HEAD_URI, "HEAD", false},
    method_token{WSI_TOKEN_OPTIONS_URI, "OPTIONS", false},
};

const method_token *findMethod(lws *wsi)
{
    const auto *found = std::ranges::find_if(MethodTokens, [wsi](const method_token &m) {
        return lws_hdr_total_length(wsi, m.token) > 0;
    });
    return found == MethodTokens.end() ? nullptr : found;
}

// Whether libwebsockets has read input that it has not parsed yet. It has no function for this, but
// it keeps its header table after a request only in this case, and `lws_hdr_custom_copy` clears its
// destination only if there is a header table.
bool hasUnparsedInput(lws *wsi)
{
    char probe = 'x';
    constexpr std::string_view Name = "x:";
    lws_hdr_custom_copy(wsi, &probe, 1, Name.data(), Name.size());
    return probe == '\0';
}

std::optional<tcp_info> readTcpInfo(int fd)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return std::nullopt;
    return info;
}

// Header fields that `writeHead` writes.
bool isReservedField(std::string_view name)
{
    return name == "content-length" || name == "transfer-encoding" || name == "connection";
}

} // namespace

server_connection::server_connection(lws_event_loop &loop, connection_owner &owner,
                                     std::uint64_t id, int fd, bool tls)
    : m_loop(loop)
    , m_owner(&owner)
    , m_id(id)
    , m_fd(fd)
    , m_tls(tls)
{ }

void server_connection::start(lws *wsi)
{
    m_wsi = wsi;
    restartTimer(m_owner->options().requestTimeout);
}

void server_connection::detach()
{
    for (const auto &[key, stream] : std::exchange(m_streams, {}))
        stream->detach();
    m_owner = nullptr;
    m_phase = phase::Closed;
    stopTimer();
    if (auto *wsi = std::exchange(m_wsi, nullptr))
        detachAndClose(wsi, m_insideEvent);
}

// While a request without a body is being answered, libwebsockets does not read from its connection
// and cannot detect that the client has closed it. In the other phases it can.
void server_connection::onClientClosed()
{
    if (m_phase == phase::Responding && m_wsi)
        scheduleClose();
}

int server_connection::onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length)
{
    const auto self = shared_from_this();
    const bool outermost = !std::exchange(m_insideEvent, true);
    const auto *text = static_cast<const char *>(in);
    int result = 0;
    switch (reason) {
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        start(wsi);
        break;
    case LWS_CALLBACK_HTTP:
        m_request.path.assign(text, length);
        result = onHead();
        break;
    case LWS_CALLBACK_HTTP_BODY:
        result = onBody({text, length});
        break;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        result = onBodyComplete();
        break;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        result = onWriteable();
        break;
    case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
        refuseAndClose(NoUpgrade);
        result = -1;
        break;
    case LWS_CALLBACK_FILTER_HTTP_CONNECTION:
        m_headParsed = true;
        break;
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        onUnparsedClose();
        break;
    case LWS_CALLBACK_RAW_RX:
        refuseAndClose(Malformed);
        result = -1;
        break;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        onClose(wsi);
        break;
    default:
        break;
    }
    if (outermost)
        m_insideEvent = false;
    return m_wsi && !m_closeScheduled ? result : -1;
}

// libwebsockets cancels the scheduled close when it clears its own timeout, as it does at the end
// of a body. So `onEvent` returns -1 for every later event.
void server_connection::scheduleClose()
{
    m_closeScheduled = true;
    closeSoon(m_wsi);
}

lws_endpoint *server_connection::adoptStream(lws *stream)
{
    if (!m_owner || m_closeScheduled)
        return nullptr;
    m_http2 = true;
    const auto created = std::make_shared<http2_stream>(m_loop, *m_owner, weak_from_this());
    m_streams.emplace(created.get(), created);
    created->start(stream);
    return created.get();
}

void server_connection::removeStream(http2_stream &stream)
{
    m_streams.erase(&stream);
}

int server_connection::onHead()
{
    if (!m_owner)
        return -1;
    if (const auto cause = readHead()) {
        // libwebsockets would deliver the head of a pipelined request as its body.
        if (m_pipelined) {
            refuseAndClose(*cause);
            return -1;
        }
        refuse(*cause);
        return 0;
    }
    // Handlers have no time limit, but libwebsockets would apply its timeout for slow bodies.
    lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
    if (m_bodyBytes == 0) {
        dispatch();
        return 0;
    }
    m_phase = phase::Body;
    m_bodyUnread = true;
    if (m_servedBefore)
        restartTimer(m_owner->options().requestTimeout);
    if (equalsIgnoringCase(copyHeader(m_wsi, WSI_TOKEN_HTTP_EXPECT), "100-continue"))
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    return 0;
}

std::optional<refusal> server_connection::readHead()
{
    const auto *method = findMethod(m_wsi);
    const std::string version = copyHeader(m_wsi, WSI_TOKEN_HTTP);
    if (!method || !version.starts_with("HTTP/1."))
        return Malformed;
    m_request.method = method->name;
    m_request.query = copyQuery(m_wsi);
    m_request.headers = copyHeaders(m_wsi, m_owner->options().customHeaders);
    const std::size_t bytes =
        headerBytes(m_request.headers) + m_request.path.size() + m_request.query.size();
    if (bytes > m_owner->options().maxHeaderBytes)
        return HeadTooLarge;

    m_http10 = version == "HTTP/1.0";
    const auto connection = findHeader(m_request.headers, "connection");
    const bool wantsClose = connection && equalsIgnoringCase(*connection, "close");
    const bool wantsOpen = connection && equalsIgnoringCase(*connection, "keep-alive");
    m_closeAfter = wantsClose || (m_http10 && !wantsOpen);
    if (const auto cause = readFraming())
        return cause;
    if (headTooLarge())
        return HeadTooLarge;
    return std::nullopt;
}

// libwebsockets assumes a body of 100 MB for a POST without a length, and does not support chunked
// requests. The former is handled as a request without a body, and the connection is closed after
// the response. The latter is refused.
std::optional<refusal> server_connection::readFraming()
{
    if (findHeader(m_request.headers, "transfer-encoding"))
        return LengthRequired;
    const auto length = findHeader(m_request.headers, "content-length");
    if (!length) {
        if (findMethod(m_wsi)->carriesBody)
            m_closeAfter = m_bodyUnread = true;
        return std::nullopt;
    }
    const auto bytes = parseLength(*length);
    if (!bytes)
        return Malformed;
    if (*bytes > m_owner->options().maxBodyBytes) {
        m_bodyUnread = true;
        return BodyTooLarge;
    }
    m_bodyBytes = *bytes;
    if (m_pipelined && m_bodyBytes > 0)
        return PipelinedBody;
    m_request.body.reserve(std::min<std::size_t>(m_bodyBytes, TransferBytes));
    return std::nullopt;
}

// Header fields that are not kept cannot be counted. Instead, all bytes received since the last
// response are counted, and may exceed the declared body length by at most the limit of the head. A
// client that pipelines requests may be refused for the sum of their sizes.
bool server_connection::headTooLarge() const
{
    const std::size_t kept =
        headerBytes(m_request.headers) + m_request.path.size() + m_request.query.size();
    const std::size_t bound = m_owner->options().maxHeaderBytes;
    if (kept > bound || m_tls)
        return kept > bound;
    const auto info = readTcpInfo(m_fd);
    return info && info->tcpi_bytes_received > m_receivedBefore + m_bodyBytes + bound;
}

int server_connection::onBody(std::string_view bytes)
{
    if (m_phase != phase::Body || !m_owner)
        return 0;
    m_buffered += bytes.size();
    if (!m_owner->bufferBody(bytes.size())) {
        refuse(TooManyBytes);
        return 0;
    }
    m_request.body.append(bytes);
    return 0;
}

// Also called repeatedly while a pipelined request waits for the response to this one.
int server_connection::onBodyComplete()
{
    if (m_phase == phase::Lingering)
        return -1;
    if (m_phase != phase::Body || m_request.body.size() < m_bodyBytes) {
        m_loop.markIdleEvent();
        return 0;
    }
    m_bodyUnread = false;
    dispatch();
    return 0;
}

void server_connection::dispatch()
{
    m_phase = phase::Responding;
    stopTimer();
    const auto response = std::make_shared<connection_response>(weak_from_this());
    m_response = response;
    releaseBody();
    auto request = std::exchange(m_request, {});
    m_noBody = request.method == "HEAD";
    m_owner->handle(std::move(request), response);
}

void server_connection::releaseBody()
{
    if (const auto bytes = std::exchange(m_buffered, 0); m_owner && bytes > 0)
        m_owner->releaseBody(bytes);
}

void server_connection::refuse(const refusal &cause)
{
    m_phase = phase::Refusing;
    m_closeAfter = true;
    m_responseEnded = true;
    releaseBody();
    m_request = {};
    queue(refusalResponse(cause));
}

// For connections that libwebsockets does not or no longer treat as HTTP: the response is written
// to the socket directly. This is not possible over TLS.
void server_connection::refuseAndClose(const refusal &cause)
{
    m_phase = phase::Refusing;
    if (m_tls)
        return;
    const std::string text = refusalResponse(cause);
    static_cast<void>(::send(m_fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

// libwebsockets closes a connection without a response if it cannot parse the head; this is the
// last callback before that. If libwebsockets has sent a response itself, as for forbidden paths,
// the kernel counts more sent bytes than `m_sentTotal`.
void server_connection::onUnparsedClose()
{
    if (m_phase != phase::Head || m_headParsed || m_tls || !m_owner)
        return;
    const auto info = readTcpInfo(m_fd);
    if (!info || info->tcpi_bytes_received <= m_receivedBefore
        || info->tcpi_bytes_sent > m_sentTotal)
        return;
    const auto headBytes = info->tcpi_bytes_received - m_receivedBefore;
    refuseAndClose(headBytes > m_owner->options().maxHeaderBytes ? HeadTooLarge : Malformed);
}

// Unbinds the socket, because further events for it may follow after this object is destroyed.
void server_connection::onClose(lws *wsi)
{
    lws_set_opaque_user_data(wsi, nullptr);
    stopTimer();
    releaseBody();
    m_phase = phase::Closed;
    m_wsi = nullptr;
    if (const auto response = m_response.lock())
        response->onConnectionClosed();
    if (auto *owner = std::exchange(m_owner, nullptr))
        owner->removeConnection(*this);
}

void server_connection::sendWhole(int status, const header_list &headers, std::string_view body)
{
    if (m_phase != phase::Responding)
        return;
    writeHead(status, headers, body.size());
    m_declaredBytesLeft.reset();
    m_chunked = false;
    if (!m_noBody)
        m_out.append(body);
    m_responseEnded = true;
    queue({});
}

void server_connection::sendHead(int status, const header_list &headers)
{
    if (m_phase != phase::Responding)
        return;
    std::optional<std::size_t> length;
    if (const auto declared = findHeader(headers, "content-length"))
        length = parseLength(*declared);
    writeHead(status, headers, length);
    m_declaredBytesLeft = m_noBody ? std::nullopt : length;
    m_chunked = !m_noBody && !length && !m_http10;
    queue({});
}

void server_connection::writeHead(int status, const header_list &headers,
                                  std::optional<std::size_t> length)
{
    const bool withoutLength = status == 204 || status == 304;
    m_noBody = m_noBody || withoutLength;
    if (!m_owner || !m_owner->keepAlive() || (!length && m_http10))
        m_closeAfter = true;
    m_out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    m_out.append(statusText(status)).append("\r\n");
    for (const auto &header : headers) {
        if (isValidField(header) && !isReservedField(header.name))
            m_out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (length && !withoutLength)
        m_out.append("content-length: ").append(std::to_string(*length)).append("\r\n");
    else if (!m_noBody && !m_http10)
        m_out.append("transfer-encoding: chunked\r\n");
    if (m_closeAfter)
        m_out.append("connection: close\r\n");
    else if (m_http10)
        m_out.append("connection: keep-alive\r\n");
    m_out.append("\r\n");
}

void server_connection::sendPart(std::string_view bytes)
{
    if (m_phase != phase::Responding || m_responseEnded || m_noBody)
        return;
    if (m_declaredBytesLeft) {
        bytes = bytes.substr(0, *m_declaredBytesLeft);
        *m_declaredBytesLeft -= bytes.size();
    }
    if (!m_chunked) {
        queue(bytes);
        return;
    }
    constexpr int Hexadecimal = 16;
    std::array<char, 2 * sizeof(std::size_t)> size{};
    const auto end = std::to_chars(size.begin(), size.end(), bytes.size(), Hexadecimal).ptr;
    m_out.append(size.begin(), end).append("\r\n").append(bytes);
    queue("\r\n");
}

void server_connection::sendEnd()
{
    if (m_phase != phase::Responding || m_responseEnded)
        return;
    m_responseEnded = true;
    if (m_declaredBytesLeft && *m_declaredBytesLeft > 0)
        m_truncated = true;
    queue(m_chunked ? "0\r\n\r\n" : "");
}

void server_connection::onWriterReleased()
{
    if (m_phase != phase::Responding || m_responseEnded || !m_wsi)
        return;
    m_responseEnded = true;
    m_truncated = true;
    queue({});
}

// Disconnects a client that reads too slowly. A whole response may exceed the limit, since the
// handler determines its size.
void server_connection::queue(std::string_view bytes)
{
    m_out.append(bytes);
    if (!m_wsi || !m_owner)
        return;
    const auto &options = m_owner->options();
    if (!m_responseEnded && queuedBytes() > options.maxQueuedResponseBytes) {
        m_phase = phase::Refusing;
        scheduleClose();
        return;
    }
    if (m_phase == phase::Responding && m_timer == 0)
        restartTimer(options.idleTimeout);
    lws_callback_on_writable(m_wsi);
}

int server_connection::onWriteable()
{
    if (!m_wsi || m_phase == phase::Lingering)
        return 0;
    if (const std::size_t size = std::min(queuedBytes(), TransferBytes); size > 0) {
        const auto buffer = m_loop.scratch();
        std::memcpy(buffer.data(), m_out.data() + m_outBegin, size);
        if (lws_write(m_wsi, buffer.data(), size, LWS_WRITE_HTTP) < 0)
            return -1;
        m_outBegin += size;
        m_sentTotal += size;
    }
    // libwebsockets buffers the bytes that the kernel did not accept.
    if (queuedBytes() > 0 || lws_partial_buffered(m_wsi) != 0) {
        lws_callback_on_writable(m_wsi);
        return 0;
    }
    m_out.clear();
    m_outBegin = 0;
    if (m_phase == phase::Responding)
        stopTimer();
    if (m_responseEnded)
        return finishResponse();
    if (const auto response = m_response.lock())
        response->onQueueDrained();
    return 0;
}

int server_connection::finishResponse()
{
    if (m_truncated)
        return -1;
    if (const auto response = m_response.lock())
        response->onSent();
    m_response.reset();
    if (!m_wsi)
        return -1;
    if (m_closeAfter && !m_bodyUnread)
        return -1;
    if (m_closeAfter) {
        m_phase = phase::Lingering;
        restartTimer(LingerTime);
        if (!m_tls)
            ::shutdown(m_fd, SHUT_WR);
        return 0;
    }
    if (lws_http_transaction_completed(m_wsi) != 0)
        return -1;
    m_pipelined = hasUnparsedInput(m_wsi);
    prepareNextRequest();
    return 0;
}

void server_connection::prepareNextRequest()
{
    m_phase = phase::Head;
    m_headParsed = false;
    m_servedBefore = true;
    m_bodyBytes = 0;
    m_noBody = false;
    m_chunked = false;
    m_declaredBytesLeft.reset();
    m_responseEnded = false;
    m_partialHeadSeen = false;
    m_idleTime = {};
    const auto info = readTcpInfo(m_fd);
    m_receivedBefore = info ? info->tcpi_bytes_received : 0;
    const auto &options = m_owner->options();
    restartTimer(std::min(options.requestTimeout, options.idleTimeout));
}

void server_connection::restartTimer(std::chrono::milliseconds delay)
{
    stopTimer();
    m_sentAtTimerStart = m_sentTotal;
    m_timer = m_loop.callAfter(delay, [this] {
        m_timer = 0;
        onTimer(shared_from_this());
    });
}

void server_connection::stopTimer()
{
    if (m_timer != 0)
        m_loop.cancelTimer(std::exchange(m_timer, 0));
}

void server_connection::onTimer(const std::shared_ptr<server_connection> &self)
{
    if (!self->m_wsi || !self->m_owner)
        return;
    switch (m_phase) {
    case phase::Head:
        onHeadTimer();
        break;
    case phase::Body:
        refuse(RequestTimeout);
        break;
    case phase::Responding:
        if (m_sentTotal == m_sentAtTimerStart)
            scheduleClose();
        else
            restartTimer(m_owner->options().idleTimeout);
        break;
    case phase::Refusing:
    case phase::Lingering:
    case phase::Closed:
        scheduleClose();
        break;
    }
}

// For the first request of a connection, the time limit starts when the connection is accepted. For
// later requests the arrival time of the first byte is unknown, so a head times out if it is
// incomplete at two consecutive checks.
void server_connection::onHeadTimer()
{
    const auto &options = m_owner->options();
    if (m_http2) {
        m_idleTime = m_streams.empty() ? m_idleTime + options.requestTimeout : milliseconds{0};
        if (m_idleTime >= options.idleTimeout)
            scheduleClose();
        else
            restartTimer(options.requestTimeout);
        return;
    }
    const auto info = readTcpInfo(m_fd);
    const bool partial = info && info->tcpi_bytes_received > m_receivedBefore;
    if (partial && (!m_servedBefore || std::exchange(m_partialHeadSeen, true))) {
        refuseAndClose(RequestTimeout);
        scheduleClose();
        return;
    }
    const auto interval = std::min(options.requestTimeout, options.idleTimeout);
    m_idleTime += interval;
    if (!partial && (!m_servedBefore || m_idleTime >= options.idleTimeout)) {
        scheduleClose();
        return;
    }
    restartTimer(interval);
}

} // namespace orchidlead::net
