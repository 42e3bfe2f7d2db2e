#include "net/client_call.h"

#include "net/address.h"
#include "net/header_fields.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace orchidlead::net {

namespace {

// libwebsockets formats the request line into 2 KiB and silently truncates a longer one.
constexpr std::size_t MaxRequestLineBytes = 2000;
// TCP_CLOSE_WAIT: the peer has closed the connection without a reset.
constexpr int CloseWait = 8;

// Header fields that libwebsockets or `appendFields` writes.
bool isReservedField(std::string_view name)
{
    return name == "host" || name == "content-length" || name == "connection"
        || name == "transfer-encoding";
}

bool takesBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

bool breaksRequestLine(std::string_view text)
{
    return text.find_first_of(std::string_view(" \r\n\0", 4)) != std::string_view::npos;
}

} // namespace

client_call::client_call(lws_event_loop &loop, http_call call, call_events events,
                         std::function<void()> onReleased)
    : m_loop(loop)
    , m_call(std::move(call))
    , m_events(std::move(events))
    , m_onReleased(std::move(onReleased))
{ }

void client_call::start()
{
    const auto self = shared_from_this();
    m_totalTimer = m_loop.callAfter(m_call.timeout, [this, self] {
        m_totalTimer = 0;
        m_timedOut = true;
        end(incompleteEnd());
    });
    m_connectTimer = m_loop.callAfter(m_call.connectTimeout, [this, self] {
        m_connectTimer = 0;
        end(incompleteEnd());
    });
    m_starting = true;
    if (isSendable())
        connect();
    m_starting = false;
    if (m_wsi)
        return;
    m_loop.post([self] { self->end(self->incompleteEnd()); });
}

bool client_call::isSendable() const
{
    return toKernelAddress(m_call.address) && m_call.path.starts_with('/')
        && !breaksRequestLine(m_call.path) && !breaksRequestLine(m_call.method)
        && m_call.method.size() + m_call.path.size() < MaxRequestLineBytes
        && std::ranges::all_of(m_call.headers, isValidField);
}

// Every call opens a new connection. With connection reuse (LCCSCF_PIPELINE), libwebsockets may
// move a queued call to another connection when the first one fails, which would send it twice. If
// the server closes a reused connection, the client also cannot tell whether the call was received.
void client_call::connect()
{
    const std::string host = toHostField(m_call.address);
    lws_client_connect_info info{};
    info.context = m_loop.context();
    info.vhost = m_loop.plainVhost();
    info.address = m_call.address.ip.c_str();
    info.port = m_call.address.port;
    info.path = m_call.path.c_str();
    info.host = host.c_str();
    info.method = m_call.method.c_str();
    // Without this, libwebsockets binds the connection to no protocol and discards the body.
    info.local_protocol_name = ProtocolName;
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = static_cast<lws_endpoint *>(this);
    info.pwsi = &m_wsi;
    if (!lws_client_connect_via_info(&info))
        m_wsi = nullptr;
}

void client_call::cancel()
{
    const auto self = shared_from_this();
    m_ended = true;
    m_events = {};
    release();
}

// While reading is paused, `read` still buffers up to `TransferBytes`: libwebsockets polls without
// waiting as long as it has unread input that it took from the kernel together with the head.
void client_call::setReading(bool reading)
{
    if (m_ended || std::exchange(m_reading, reading) == reading || !reading)
        return;
    const std::weak_ptr<client_call> weak = weak_from_this();
    m_loop.post([weak] {
        if (const auto call = weak.lock())
            call->deliverPending();
    });
}

int client_call::onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length)
{
    const auto self = shared_from_this();
    const bool outermost = !std::exchange(m_insideEvent, true);
    int result = 0;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        m_wsi = wsi;
        result = onAppendHeaders(static_cast<unsigned char **>(in), length);
        break;
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        result = onWriteable();
        break;
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        result = onHead();
        break;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        m_unreadInput = true;
        result = read();
        break;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        result = onBytes({static_cast<const char *>(in), length});
        break;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        result = onComplete();
        break;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        onClose(wsi);
        break;
    default:
        break;
    }
    if (outermost)
        m_insideEvent = false;
    return m_ended ? -1 : result;
}

// libwebsockets calls this immediately before it writes the head to the socket, in the same call.
// Before this point no byte has been sent; after it, bytes may have been sent.
int client_call::onAppendHeaders(unsigned char **next, std::size_t room)
{
    if (m_ended)
        return -1;
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    if (!appendFields(next, *next + room))
        return -1;
    if (m_call.mayStillSend && !m_call.mayStillSend())
        return -1;
    if (m_ended)
        return -1;
    m_sent = true;
    if (!m_call.body.empty()) {
        lws_client_http_body_pending(m_wsi, 1);
        lws_callback_on_writable(m_wsi);
    }
    return 0;
}

bool client_call::appendFields(unsigned char **next, unsigned char *end)
{
    std::string text;
    for (const auto &header : m_call.headers) {
        if (!isReservedField(header.name))
            text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (!m_call.body.empty() || takesBody(m_call.method))
        text.append("content-length: ").append(std::to_string(m_call.body.size())).append("\r\n");
    if (text.size() > static_cast<std::size_t>(end - *next))
        return false;
    std::memcpy(*next, text.data(), text.size());
    *next += text.size();
    return true;
}

int client_call::onWriteable()
{
    if (m_ended)
        return -1;
    if (m_bodySent < m_call.body.size())
        return writeBody();
    return m_unreadInput ? read() : 0;
}

int client_call::writeBody()
{
    const auto buffer = m_loop.scratch();
    const std::size_t size = std::min(m_call.body.size() - m_bodySent, TransferBytes);
    std::memcpy(buffer.data(), m_call.body.data() + m_bodySent, size);
    m_bodySent += size;
    const bool last = m_bodySent == m_call.body.size();
    if (last)
        lws_client_http_body_pending(m_wsi, 0);
    const auto kind = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(m_wsi, buffer.data(), size, kind) < 0)
        return -1;
    lws_callback_on_writable(m_wsi);
    return 0;
}

int client_call::onHead()
{
    if (m_ended)
        return -1;
    const int status = static_cast<int>(lws_http_client_http_response(m_wsi));
    const auto headers = copyHeaders(m_wsi, m_call.customHeaders);
    if (const auto refused = readFraming()) {
        end(*refused);
        return -1;
    }
    const bool none = m_call.method == "HEAD" || status == 204 || status == 304;
    if (none)
        m_framing = framing::None;
    if (const auto onHeadEvent = m_events.onHead)
        onHeadEvent(status, headers);
    if (m_ended)
        return -1;
    if (none || (m_framing == framing::Length && m_length == 0)) {
        end(call_end::Complete);
        return -1;
    }
    return 0;
}

std::optional<call_end> client_call::readFraming()
{
    const std::string coding = copyHeader(m_wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING);
    const std::string length = copyHeader(m_wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (!coding.empty()) {
        // libwebsockets supports only this spelling. A content length in addition is ambiguous.
        m_framing = framing::Chunked;
        if (coding != "chunked" || !length.empty())
            return call_end::Broken;
        return std::nullopt;
    }
    if (length.empty()) {
        m_framing = framing::UntilClose;
        return std::nullopt;
    }
    m_framing = framing::Length;
    const auto *textEnd = length.data() + length.size();
    const auto [parsed, error] = std::from_chars(length.data(), textEnd, m_length);
    if (error != std::errc{} || parsed != textEnd)
        return call_end::Broken;
    if (m_length > m_call.maxResponseBytes)
        return call_end::TooLarge;
    return std::nullopt;
}

int client_call::read()
{
    if (m_ended)
        return -1;
    // libwebsockets cannot have read more than this ahead, so the rest stays in the kernel.
    if (!m_reading && m_pendingBytes.size() > TransferBytes)
        return 0;
    m_unreadInput = false;
    const auto buffer = m_loop.scratch();
    m_readNext = reinterpret_cast<char *>(buffer.data());
    m_readBuffer = m_readNext;
    int length = static_cast<int>(buffer.size());
    const int result = lws_http_client_read(m_wsi, &m_readNext, &length);
    m_readBuffer = nullptr;
    return result != 0 ? -1 : 0;
}

// The size is checked because libwebsockets computes it from the chunk size in the response, and a
// chunk size beyond the range of an int makes it negative.
int client_call::onBytes(std::string_view bytes)
{
    if (m_ended || bytes.size() > MaxParsedHeaderBytes + TransferBytes)
        return -1;
    m_received += bytes.size();
    if (m_received > m_call.maxResponseBytes) {
        end(call_end::TooLarge);
        return -1;
    }
    if (m_framing == framing::Length && m_received > m_length)
        return -1;
    if (m_reading && m_pendingBytes.empty())
        deliver(bytes);
    else
        m_pendingBytes.append(bytes);
    return m_ended ? -1 : 0;
}

// libwebsockets also calls this when the connection ends in the middle of a chunked response. In
// that case `read` has received no bytes, so `m_readNext` still equals `m_readBuffer`.
int client_call::onComplete()
{
    const bool atEndOfInput = m_readBuffer && m_readNext == m_readBuffer;
    bool whole = false;
    switch (m_framing) {
    case framing::Length:
        whole = m_received == m_length;
        break;
    case framing::Chunked:
        whole = !atEndOfInput;
        break;
    case framing::UntilClose:
        whole = closedWithoutReset();
        break;
    case framing::None:
        whole = true;
        break;
    }
    end(whole ? call_end::Complete : incompleteEnd());
    return -1;
}

bool client_call::closedWithoutReset() const
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(lws_get_socket_fd(m_wsi), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return false;
    return info.tcpi_state == CloseWait;
}

// Unbinds the socket, because further events for it may follow after this object is destroyed.
void client_call::onClose(lws *wsi)
{
    lws_set_opaque_user_data(wsi, nullptr);
    m_wsi = nullptr;
    if (!m_starting)
        end(incompleteEnd());
}

void client_call::deliver(std::string_view bytes)
{
    if (const auto onBodyEvent = m_events.onBody)
        onBodyEvent(bytes);
}

void client_call::deliverPending()
{
    const auto self = shared_from_this();
    if (m_ended || !m_reading)
        return;
    if (const auto pending = std::exchange(m_pendingBytes, {}); !pending.empty())
        deliver(pending);
    if (m_ended || !m_reading)
        return;
    if (m_pendingEnd)
        end(*m_pendingEnd);
    else if (m_wsi && m_unreadInput)
        lws_callback_on_writable(m_wsi);
}

call_end client_call::incompleteEnd() const
{
    if (!m_sent)
        return call_end::NotSent;
    return m_timedOut ? call_end::TimedOut : call_end::Broken;
}

// An end that occurs while reading is paused is reported after the buffered bytes. A timeout is
// reported at once.
void client_call::end(call_end outcome)
{
    if (m_ended)
        return;
    if (!m_pendingBytes.empty() && !m_timedOut) {
        m_pendingEnd = m_pendingEnd.value_or(outcome);
        return;
    }
    m_ended = true;
    const auto events = std::exchange(m_events, {});
    release();
    if (events.onEnd)
        events.onEnd(outcome);
}

void client_call::release()
{
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    m_loop.cancelTimer(std::exchange(m_totalTimer, 0));
    if (auto *wsi = std::exchange(m_wsi, nullptr))
        detachAndClose(wsi, m_insideEvent);
    if (const auto onReleased = std::exchange(m_onReleased, {}))
        onReleased();
}

} // namespace orchidlead::net
