#include "net/http2_stream.h"

#include "net/header_fields.h"
#include "net/server_connection.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace orchidlead::net {

namespace {

// The frame size that every HTTP/2 peer must accept.
constexpr std::size_t MaxFrameBytes = 16384;

bool takesBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

// Connection-specific header fields, which HTTP/2 forbids, and those that `setHead` writes.
bool isReservedField(std::string_view name)
{
    return name == "content-length" || name == "transfer-encoding" || name == "connection"
        || name == "keep-alive" || name == "upgrade";
}

} // namespace

http2_stream::http2_stream(lws_event_loop &loop, connection_owner &owner,
                           std::weak_ptr<server_connection> connection)
    : m_loop(loop)
    , m_owner(&owner)
    , m_connection(std::move(connection))
{ }

void http2_stream::start(lws *wsi)
{
    m_wsi = wsi;
    lws_set_opaque_user_data(wsi, static_cast<lws_endpoint *>(this));
    restartTimer(m_owner->options().requestTimeout);
}

void http2_stream::detach()
{
    stopTimer();
    m_owner = nullptr;
    m_phase = phase::Closed;
    if (auto *wsi = std::exchange(m_wsi, nullptr))
        lws_set_opaque_user_data(wsi, nullptr);
}

int http2_stream::onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length)
{
    const auto self = shared_from_this();
    const auto *text = static_cast<const char *>(in);
    int result = 0;
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        result = onHead({text, length});
        break;
    case LWS_CALLBACK_HTTP_BODY:
        result = onBody({text, length});
        break;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        onBodyComplete();
        break;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        result = onWriteable();
        break;
    case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
        return -1;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        onClose(wsi);
        break;
    default:
        break;
    }
    return m_wsi && !m_closeScheduled ? result : -1;
}

int http2_stream::onHead(std::string_view path)
{
    if (!m_owner)
        return -1;
    m_request.path = path;
    if (const auto cause = readHead()) {
        refuse(*cause);
        return 0;
    }
    lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
    m_bodyEnded = m_bodyBytes == 0;
    if (m_bodyEnded)
        dispatch();
    else
        m_phase = phase::Body;
    return 0;
}

std::optional<refusal> http2_stream::readHead()
{
    m_request.method = copyHeader(m_wsi, WSI_TOKEN_HTTP_COLON_METHOD);
    m_request.query = copyQuery(m_wsi);
    m_request.headers = copyHeaders(m_wsi, {});
    if (m_request.method.empty())
        return Malformed;
    const std::size_t kept =
        headerBytes(m_request.headers) + m_request.path.size() + m_request.query.size();
    if (kept > m_owner->options().maxHeaderBytes)
        return HeadTooLarge;
    const auto length = findHeader(m_request.headers, "content-length");
    if (!length && takesBody(m_request.method))
        return LengthRequired;
    if (!length)
        return std::nullopt;
    const auto bytes = parseLength(*length);
    if (!bytes)
        return Malformed;
    if (*bytes > m_owner->options().maxBodyBytes)
        return BodyTooLarge;
    m_bodyBytes = *bytes;
    return std::nullopt;
}

int http2_stream::onBody(std::string_view bytes)
{
    if (m_phase != phase::Body || !m_owner)
        return 0;
    if (m_request.body.size() + bytes.size() > m_bodyBytes) {
        refuse(Malformed);
        return 0;
    }
    m_buffered += bytes.size();
    if (!m_owner->bufferBody(bytes.size())) {
        refuse(TooManyBytes);
        return 0;
    }
    m_request.body.append(bytes);
    return 0;
}

void http2_stream::onBodyComplete()
{
    m_bodyEnded = true;
    if (m_phase == phase::Lingering)
        scheduleClose();
    if (m_phase != phase::Body)
        return;
    if (m_request.body.size() == m_bodyBytes)
        dispatch();
    else
        refuse(Malformed);
}

void http2_stream::dispatch()
{
    m_phase = phase::Responding;
    stopTimer();
    releaseBody();
    const auto response = std::make_shared<connection_response>(weak_from_this());
    m_response = response;
    auto request = std::exchange(m_request, {});
    m_noBody = request.method == "HEAD";
    m_owner->handle(std::move(request), response);
}

void http2_stream::refuse(const refusal &cause)
{
    m_phase = phase::Refusing;
    releaseBody();
    m_request = {};
    const std::string body = refusalBody(cause);
    header_list headers{{"content-type", "application/json"}};
    if (const auto retryAfter = refusalRetryAfter(cause); !retryAfter.empty())
        headers.push_back({"retry-after", std::string(retryAfter)});
    setHead(cause.status, headers, body.size());
    m_responseEnded = true;
    queue(body);
}

void http2_stream::releaseBody()
{
    if (const auto bytes = std::exchange(m_buffered, 0); m_owner && bytes > 0)
        m_owner->releaseBody(bytes);
}

void http2_stream::sendWhole(int status, const header_list &headers, std::string_view body)
{
    if (m_phase != phase::Responding)
        return;
    setHead(status, headers, body.size());
    m_responseEnded = true;
    queue(m_noBody ? "" : body);
}

void http2_stream::sendHead(int status, const header_list &headers)
{
    if (m_phase != phase::Responding)
        return;
    std::optional<std::size_t> length;
    if (const auto declared = findHeader(headers, "content-length"))
        length = parseLength(*declared);
    setHead(status, headers, length);
    m_declaredBytesLeft = m_noBody ? std::nullopt : length;
    queue({});
}

void http2_stream::setHead(int status, const header_list &headers,
                           std::optional<std::size_t> length)
{
    const bool withoutLength = status == 204 || status == 304;
    m_noBody = m_noBody || withoutLength;
    m_status = status;
    m_headers.clear();
    for (const auto &header : headers) {
        if (isValidField(header) && !isReservedField(header.name))
            m_headers.push_back(header);
    }
    if (length && !withoutLength)
        m_headers.push_back({"content-length", std::to_string(*length)});
}

void http2_stream::sendPart(std::string_view bytes)
{
    if (m_phase != phase::Responding || m_responseEnded || m_noBody)
        return;
    if (m_declaredBytesLeft) {
        bytes = bytes.substr(0, *m_declaredBytesLeft);
        *m_declaredBytesLeft -= bytes.size();
    }
    queue(bytes);
}

void http2_stream::sendEnd()
{
    if (m_phase != phase::Responding || m_responseEnded)
        return;
    m_responseEnded = true;
    m_truncated = m_declaredBytesLeft && *m_declaredBytesLeft > 0;
    queue({});
}

void http2_stream::onWriterReleased()
{
    if (m_phase != phase::Responding || m_responseEnded || !m_wsi)
        return;
    m_responseEnded = true;
    m_truncated = true;
    queue({});
}

void http2_stream::queue(std::string_view bytes)
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

int http2_stream::onWriteable()
{
    if (m_phase == phase::Head || m_phase == phase::Body || m_phase == phase::Lingering)
        return 0;
    if (m_status) {
        if (!writeHead())
            return -1;
        lws_callback_on_writable(m_wsi);
        return 0;
    }
    const auto allowance = lws_get_peer_write_allowance(m_wsi);
    const std::size_t room = allowance > 0 ? static_cast<std::size_t>(allowance) : 0;
    const std::size_t size = std::min({queuedBytes(), MaxFrameBytes, room});
    const bool rest = size < queuedBytes();
    const bool last = m_responseEnded && !m_truncated && !rest && !m_noBody;
    if ((size > 0 || last) && !writePart(size, last))
        return -1;
    if (rest) {
        // With an empty flow-control window, libwebsockets calls again when the peer enlarges it.
        if (room > 0)
            lws_callback_on_writable(m_wsi);
        return 0;
    }
    m_out.clear();
    m_outBegin = 0;
    if (m_phase == phase::Responding)
        stopTimer();
    const auto response = m_response.lock();
    if (m_responseEnded) {
        if (response && !m_truncated)
            response->onSent();
        return endStream();
    }
    if (response)
        response->onQueueDrained();
    return 0;
}

// libwebsockets treats a frame for a closed stream as an error and closes the connection. A client
// that is still sending would get a reset before it reads the refusal, so the stream stays open.
int http2_stream::endStream()
{
    if (m_phase != phase::Refusing || m_bodyEnded)
        return -1;
    m_phase = phase::Lingering;
    restartTimer(LingerTime);
    return 0;
}

bool http2_stream::writeHead()
{
    const auto buffer = m_loop.scratch();
    unsigned char *next = buffer.data();
    unsigned char *const end = next + buffer.size();
    const int status = *std::exchange(m_status, std::nullopt);
    if (lws_add_http_header_status(m_wsi, static_cast<unsigned>(status), &next, end) != 0)
        return false;
    for (const auto &header : m_headers) {
        const std::string name = header.name + ":";
        const auto *text = reinterpret_cast<const unsigned char *>(name.c_str());
        const auto *value = reinterpret_cast<const unsigned char *>(header.value.data());
        if (lws_add_http_header_by_name(m_wsi, text, value, static_cast<int>(header.value.size()),
                                        &next, end)
            != 0)
            return false;
    }
    if (lws_finalize_http_header(m_wsi, &next, end) != 0)
        return false;
    const bool last = m_responseEnded && m_noBody;
    const auto kind = static_cast<lws_write_protocol>(
        last ? LWS_WRITE_HTTP_HEADERS | LWS_WRITE_H2_STREAM_END : LWS_WRITE_HTTP_HEADERS);
    const auto size = static_cast<std::size_t>(next - buffer.data());
    return lws_write(m_wsi, buffer.data(), size, kind) >= 0;
}

bool http2_stream::writePart(std::size_t size, bool last)
{
    const auto buffer = m_loop.scratch();
    std::memcpy(buffer.data(), m_out.data() + m_outBegin, size);
    m_outBegin += size;
    m_sentTotal += size;
    return lws_write(m_wsi, buffer.data(), size, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) >= 0;
}

void http2_stream::scheduleClose()
{
    m_closeScheduled = true;
    closeSoon(m_wsi);
}

// Unbinds the stream, because further events for it may follow after this object is destroyed.
void http2_stream::onClose(lws *wsi)
{
    lws_set_opaque_user_data(wsi, nullptr);
    stopTimer();
    releaseBody();
    m_phase = phase::Closed;
    m_wsi = nullptr;
    m_owner = nullptr;
    if (const auto response = m_response.lock())
        response->onConnectionClosed();
    if (const auto connection = m_connection.lock())
        connection->removeStream(*this);
}

void http2_stream::restartTimer(std::chrono::milliseconds delay)
{
    stopTimer();
    m_sentAtTimerStart = m_sentTotal;
    m_timer = m_loop.callAfter(delay, [this] {
        const auto self = shared_from_this();
        m_timer = 0;
        onTimer();
    });
}

void http2_stream::stopTimer()
{
    if (m_timer != 0)
        m_loop.cancelTimer(std::exchange(m_timer, 0));
}

void http2_stream::onTimer()
{
    if (!m_wsi || !m_owner)
        return;
    if (m_phase == phase::Body)
        refuse(RequestTimeout);
    else if (m_phase == phase::Responding && m_sentTotal != m_sentAtTimerStart)
        restartTimer(m_owner->options().idleTimeout);
    else
        scheduleClose();
}

} // namespace orchidlead::net
