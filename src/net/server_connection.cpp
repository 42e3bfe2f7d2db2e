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
    bool carriesBody; ///< libwebsockets waits for a body, whether or not a length was given
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

// Whether libwebsockets holds input that it has read but not parsed. It says so only by keeping its
// header memory after a request, and by clearing the place of a copy only when it has that.
bool holdsInput(lws *wsi)
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

// Fields that the connection itself writes.
bool isOwnField(std::string_view name)
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
    restartTick(m_owner->options().requestTimeout);
}

void server_connection::detach()
{
    for (const auto &[key, stream] : std::exchange(m_streams, {}))
        stream->detach();
    m_owner = nullptr;
    m_phase = phase::Closed;
    stopTick();
    if (auto *wsi = std::exchange(m_wsi, nullptr))
        abandon(wsi, m_insideEvent);
}

// While a request is being answered, libwebsockets doesn't read from the connection of a request
// without a body, so this is how the end of the caller is noticed. In the other phases it does.
void server_connection::callerGone()
{
    if (m_phase == phase::Answering && m_wsi)
        doom();
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
    return m_wsi && !m_doomed ? result : -1;
}

// libwebsockets forgets the closing when it clears its own timeout, as it does at the end of a
// body; so every later event asks for it again.
void server_connection::doom()
{
    m_doomed = true;
    closeSoon(m_wsi);
}

lws_endpoint *server_connection::adoptStream(lws *stream)
{
    if (!m_owner || m_doomed)
        return nullptr;
    m_http2 = true;
    const auto made = std::make_shared<http2_stream>(m_loop, *m_owner, weak_from_this());
    m_streams.emplace(made.get(), made);
    made->start(stream);
    return made.get();
}

void server_connection::forgetStream(http2_stream &stream)
{
    m_streams.erase(&stream);
}

int server_connection::onHead()
{
    if (!m_owner)
        return -1;
    if (const auto why = readHead()) {
        // libwebsockets would take the head for the body that follows it.
        if (m_sentAhead) {
            refuseAndClose(*why);
            return -1;
        }
        refuse(*why);
        return 0;
    }
    // The handler has as long as it wants; libwebsockets would count it as a slow body.
    lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
    if (m_bodyBytes == 0) {
        dispatch();
        return 0;
    }
    m_phase = phase::Body;
    m_bodyUnread = true;
    if (m_served)
        restartTick(m_owner->options().requestTimeout);
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
    if (const auto why = readFraming())
        return why;
    if (headTooLarge())
        return HeadTooLarge;
    return std::nullopt;
}

// Without a length, libwebsockets takes a POST to be a body of 100 MB, and it knows no chunked
// requests. The first is answered as a request without a body and then closed; the second refused.
std::optional<refusal> server_connection::readFraming()
{
    if (findHeader(m_request.headers, "transfer-encoding"))
        return NoLength;
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
    if (m_sentAhead && m_bodyBytes > 0)
        return SentAhead;
    m_request.body.reserve(std::min<std::size_t>(m_bodyBytes, TransferBytes));
    return std::nullopt;
}

// Fields that aren't kept can't be counted, but everything that came since the last answer can: no
// more than a body of the declared length may be among it beside the head. A caller that sends
// requests ahead may thereby be refused for their sum.
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

// Also called, again and again, when a caller sends its next request before this one is answered.
int server_connection::onBodyComplete()
{
    if (m_phase == phase::Lingering)
        return -1;
    if (m_phase != phase::Body || m_request.body.size() < m_bodyBytes) {
        m_loop.noteUselessEvent();
        return 0;
    }
    m_bodyUnread = false;
    dispatch();
    return 0;
}

void server_connection::dispatch()
{
    m_phase = phase::Answering;
    stopTick();
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

void server_connection::refuse(const refusal &why)
{
    m_phase = phase::Refusing;
    m_closeAfter = true;
    m_answerEnded = true;
    releaseBody();
    m_request = {};
    queue(refusalText(why));
}

// For connections that libwebsockets doesn't, or no longer, treat as HTTP: the text goes to the
// kernel directly. Under TLS nothing can be said there.
void server_connection::refuseAndClose(const refusal &why)
{
    m_phase = phase::Refusing;
    if (m_tls)
        return;
    const std::string text = refusalText(why);
    static_cast<void>(::send(m_fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

// libwebsockets closes a connection whose head it can't parse without a word; this is the last
// callback before that. When it has answered by itself, as it does for forbidden paths, more bytes
// were sent than we know of.
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

// More events may follow for the same socket, when this object is no more.
void server_connection::onClose(lws *wsi)
{
    lws_set_opaque_user_data(wsi, nullptr);
    stopTick();
    releaseBody();
    m_phase = phase::Closed;
    m_wsi = nullptr;
    if (const auto response = m_response.lock())
        response->closed();
    if (auto *owner = std::exchange(m_owner, nullptr))
        owner->forget(*this);
}

void server_connection::sendWhole(int status, const header_list &headers, std::string_view body)
{
    if (m_phase != phase::Answering)
        return;
    writeHead(status, headers, body.size());
    m_promised.reset();
    m_chunked = false;
    if (!m_noBody)
        m_out.append(body);
    m_answerEnded = true;
    queue({});
}

void server_connection::sendHead(int status, const header_list &headers)
{
    if (m_phase != phase::Answering)
        return;
    std::optional<std::size_t> length;
    if (const auto declared = findHeader(headers, "content-length"))
        length = parseLength(*declared);
    writeHead(status, headers, length);
    m_promised = m_noBody ? std::nullopt : length;
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
        if (isValidField(header) && !isOwnField(header.name))
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
    if (m_phase != phase::Answering || m_answerEnded || m_noBody)
        return;
    if (m_promised) {
        bytes = bytes.substr(0, *m_promised);
        *m_promised -= bytes.size();
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
    if (m_phase != phase::Answering || m_answerEnded)
        return;
    m_answerEnded = true;
    if (m_promised && *m_promised > 0)
        m_truncated = true;
    queue(m_chunked ? "0\r\n\r\n" : "");
}

void server_connection::dropped()
{
    if (m_phase != phase::Answering || m_answerEnded || !m_wsi)
        return;
    m_answerEnded = true;
    m_truncated = true;
    queue({});
}

// Cuts off a reader that is too slow. A whole answer may be longer than the bound: it is as long as
// whoever made it allowed.
void server_connection::queue(std::string_view bytes)
{
    m_out.append(bytes);
    if (!m_wsi || !m_owner)
        return;
    const auto &options = m_owner->options();
    if (!m_answerEnded && queuedBytes() > options.maxQueuedResponseBytes) {
        m_phase = phase::Refusing;
        doom();
        return;
    }
    if (m_phase == phase::Answering && m_tick == 0)
        restartTick(options.idleTimeout);
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
    // libwebsockets holds what the kernel didn't take.
    if (queuedBytes() > 0 || lws_partial_buffered(m_wsi) != 0) {
        lws_callback_on_writable(m_wsi);
        return 0;
    }
    m_out.clear();
    m_outBegin = 0;
    if (m_phase == phase::Answering)
        stopTick();
    if (m_answerEnded)
        return finishAnswer();
    if (const auto response = m_response.lock())
        response->drained();
    return 0;
}

int server_connection::finishAnswer()
{
    if (m_truncated)
        return -1;
    if (const auto response = m_response.lock())
        response->sent();
    m_response.reset();
    if (!m_wsi)
        return -1;
    if (m_closeAfter && !m_bodyUnread)
        return -1;
    if (m_closeAfter) {
        m_phase = phase::Lingering;
        restartTick(LingerTime);
        if (!m_tls)
            ::shutdown(m_fd, SHUT_WR);
        return 0;
    }
    if (lws_http_transaction_completed(m_wsi) != 0)
        return -1;
    m_sentAhead = holdsInput(m_wsi);
    prepareNextRequest();
    return 0;
}

void server_connection::prepareNextRequest()
{
    m_phase = phase::Head;
    m_headParsed = false;
    m_served = true;
    m_bodyBytes = 0;
    m_noBody = false;
    m_chunked = false;
    m_promised.reset();
    m_answerEnded = false;
    m_partialSeen = false;
    m_idle = {};
    const auto info = readTcpInfo(m_fd);
    m_receivedBefore = info ? info->tcpi_bytes_received : 0;
    const auto &options = m_owner->options();
    restartTick(std::min(options.requestTimeout, options.idleTimeout));
}

void server_connection::restartTick(std::chrono::milliseconds delay)
{
    stopTick();
    m_sentAtTick = m_sentTotal;
    m_tick = m_loop.callAfter(delay, [this] {
        m_tick = 0;
        onTick(shared_from_this());
    });
}

void server_connection::stopTick()
{
    if (m_tick != 0)
        m_loop.cancelTimer(std::exchange(m_tick, 0));
}

void server_connection::onTick(const std::shared_ptr<server_connection> &self)
{
    if (!self->m_wsi || !self->m_owner)
        return;
    switch (m_phase) {
    case phase::Head:
        onHeadTick();
        break;
    case phase::Body:
        refuse(TooSlow);
        break;
    case phase::Answering:
        if (m_sentTotal == m_sentAtTick)
            doom();
        else
            restartTick(m_owner->options().idleTimeout);
        break;
    case phase::Refusing:
    case phase::Lingering:
    case phase::Closed:
        doom();
        break;
    }
}

// On a connection's first request the time ran from the start. Later it isn't known when the head's
// first byte came, so a head that is still incomplete one tick later has had long enough.
void server_connection::onHeadTick()
{
    const auto &options = m_owner->options();
    if (m_http2) {
        m_idle = m_streams.empty() ? m_idle + options.requestTimeout : milliseconds{0};
        if (m_idle >= options.idleTimeout)
            doom();
        else
            restartTick(options.requestTimeout);
        return;
    }
    const auto info = readTcpInfo(m_fd);
    const bool partial = info && info->tcpi_bytes_received > m_receivedBefore;
    if (partial && (!m_served || std::exchange(m_partialSeen, true))) {
        refuseAndClose(TooSlow);
        doom();
        return;
    }
    const auto tick = std::min(options.requestTimeout, options.idleTimeout);
    m_idle += tick;
    if (!partial && (!m_served || m_idle >= options.idleTimeout)) {
        doom();
        return;
    }
    restartTick(tick);
}

} // namespace orchidlead::net
