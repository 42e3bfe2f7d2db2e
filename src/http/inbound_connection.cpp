#include "http/inbound_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace orchidlead::http {

namespace {

// How long a connection is still read after its last answer was sent, so that the client receives
// the answer instead of a reset. Clients read an answer within a round trip.
constexpr milliseconds LingerTime{1000};
// Reading pauses when a client has sent more than this before the answer to its request.
constexpr std::size_t MaxPipelinedBytes = 256U << 10U;

std::string toHex(std::size_t number)
{
    std::array<char, 20> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number, 16).ptr;
    return {text.data(), end};
}

int statusOf(read_error error)
{
    switch (error) {
    case read_error::HeadTooLarge:
        return 431;
    case read_error::BodyTooLarge:
        return 413;
    case read_error::Malformed:
        break;
    }
    return 400;
}

} // namespace

inbound_connection::inbound_connection(io_loop &loop, std::shared_ptr<stream_socket> socket,
                                       std::shared_ptr<inbound_shared> shared)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_shared(std::move(shared))
{
    ++m_shared->connections;
}

inbound_connection::~inbound_connection()
{
    releaseBody();
    --m_shared->connections;
}

void inbound_connection::start()
{
    m_self = shared_from_this();
    waitForRequest();
    m_socket->start(*this);
}

void inbound_connection::waitForRequest()
{
    m_phase = phase::Reading;
    m_idleSince = m_loop.now();
    m_requestComplete = false;
    m_answerStarted = false;
    m_bufferLimitExceeded = false;
    m_head = {};
    request_sink &sink = *this;
    m_reader.emplace(sink, m_shared->limits.maxHeadBytes, m_shared->limits.maxBodyBytes);
    setTimer(m_shared->limits.idleTimeout);
}

void inbound_connection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    switch (m_phase) {
    case phase::Reading:
        if (m_unparsed.empty() && !m_reader->headDone())
            setTimer(m_shared->limits.headTimeout);
        if (m_unparsed.empty()) {
            parse(bytes);
        } else {
            m_unparsed.append(bytes);
            parseUnparsed();
        }
        break;
    case phase::Answering:
        m_unparsed.append(bytes);
        if (m_unparsed.size() > MaxPipelinedBytes)
            m_socket->setReading(false);
        break;
    case phase::Lingering:
    case phase::Closed:
        break;
    }
}

void inbound_connection::parseUnparsed()
{
    const std::string bytes = std::exchange(m_unparsed, {});
    parse(bytes);
}

// A handler may answer synchronously, after which the next pipelined request is parsed. Nested
// calls only queue their bytes and leave the parsing to the outer call.
void inbound_connection::parse(std::string_view bytes)
{
    if (std::exchange(m_parsing, true)) {
        m_unparsed.append(bytes);
        return;
    }
    while (m_phase == phase::Reading && !bytes.empty()) {
        const bool hadHead = m_reader->headDone();
        const auto progress = m_reader->read(bytes);
        bytes.remove_prefix(progress.used);
        if (progress.error) {
            refuse(statusOf(*progress.error));
            break;
        }
        if (m_bufferLimitExceeded) {
            refuse(503);
            break;
        }
        if (!m_requestComplete) {
            if (m_reader->headDone())
                setTimer(m_shared->limits.idleTimeout);
            if (hadHead || !m_reader->headDone())
                break;
            sendContinue();
            continue;
        }
        m_unparsed.assign(bytes);
        dispatch();
        if (m_phase != phase::Reading)
            break;
        const std::string rest = std::exchange(m_unparsed, {});
        m_parsing = false;
        parse(rest);
        return;
    }
    if (m_phase == phase::Reading)
        m_unparsed.assign(bytes);
    m_parsing = false;
}

// A client with `Expect: 100-continue` may wait for this before it sends the body.
void inbound_connection::sendContinue()
{
    const auto expects = findField(m_head.fields, "expect");
    if (expects && equalsIgnoringCase(*expects, "100-continue"))
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void inbound_connection::onBody(std::string_view bytes)
{
    const std::size_t buffered = m_shared->bufferedBytes + bytes.size();
    m_bufferLimitExceeded = m_bufferLimitExceeded || buffered > m_shared->limits.maxBufferedBytes;
    if (m_bufferLimitExceeded)
        return;
    m_shared->bufferedBytes = buffered;
    m_countedBodyBytes += bytes.size();
    m_body.append(bytes);
}

void inbound_connection::releaseBody()
{
    m_shared->bufferedBytes -= std::exchange(m_countedBodyBytes, 0);
    m_body = {};
}

void inbound_connection::dispatch()
{
    m_phase = phase::Answering;
    ++m_shared->answering;
    m_loop.cancelTimer(std::exchange(m_timer, 0));
    m_isHeadRequest = m_head.method == "HEAD";
    m_http10 = m_head.http10;
    m_closeAfterAnswer = !m_head.keepAlive;
    m_shared->onRequest(shared_from_this(), std::move(m_head), std::move(m_body));
}

void inbound_connection::refuse(int status, const field_list &fields)
{
    m_phase = phase::Answering;
    ++m_shared->answering;
    m_closeAfterAnswer = true;
    m_unparsed.clear();
    respond(status, fields, {});
}

void inbound_connection::writeHead(const response_head &head)
{
    response_head out = head;
    if (out.reason.empty())
        out.reason = statusText(out.status);
    m_closeAfterAnswer = m_closeAfterAnswer || m_shared->closing;
    if (!out.length && m_http10)
        m_closeAfterAnswer = true;
    m_noBody = out.status == 204 || out.status == 304;
    m_chunked = !out.length && !m_http10 && !m_noBody;
    m_endsWithConnection = !out.length && m_http10 && !m_noBody;
    if (out.length && out.status != 204)
        out.fields.push_back({"Content-Length", std::to_string(*out.length)});
    else if (m_chunked)
        out.fields.push_back({"Transfer-Encoding", "chunked"});
    if (m_closeAfterAnswer)
        out.fields.push_back({"Connection", "close"});
    else if (m_http10)
        out.fields.push_back({"Connection", "keep-alive"});
    m_answerStarted = true;
    m_socket->write(formatHead(out));
}

void inbound_connection::respond(int status, const field_list &fields, std::string_view body)
{
    if (!open() || m_phase != phase::Answering)
        return;
    response_head head;
    head.status = status;
    head.fields = fields;
    head.length = body.size();
    writeHead(head);
    if (!m_isHeadRequest && !m_noBody && !body.empty())
        m_socket->write(body);
    endAnswer();
}

void inbound_connection::begin(const response_head &head)
{
    if (open() && m_phase == phase::Answering)
        writeHead(head);
}

void inbound_connection::write(std::string_view bytes)
{
    if (!open() || bytes.empty() || m_isHeadRequest || m_noBody)
        return;
    if (!m_chunked) {
        m_socket->write(bytes);
        return;
    }
    std::string chunk = toHex(bytes.size());
    chunk.reserve(chunk.size() + bytes.size() + 4);
    chunk.append("\r\n").append(bytes).append("\r\n");
    m_socket->write(chunk);
}

void inbound_connection::finish()
{
    if (!open() || m_phase != phase::Answering)
        return;
    if (m_chunked && !m_isHeadRequest)
        m_socket->write("0\r\n\r\n");
    endAnswer();
}

void inbound_connection::endAnswer()
{
    const auto self = shared_from_this();
    m_onClientGone = {};
    m_onDrained = {};
    releaseBody();
    --m_shared->answering;
    if (m_closeAfterAnswer) {
        linger();
        return;
    }
    waitForRequest();
    m_socket->setReading(true);
    if (m_parsing || m_unparsed.empty())
        return;
    // Deferred until the caller has returned, since it may still use its exchange with this
    // connection.
    m_loop.post([self] {
        if (self->m_phase == phase::Reading && !self->m_unparsed.empty())
            self->parseUnparsed();
    });
}

// To a client that reads the body up to the close of the connection, an orderly close would look
// like the end of the answer.
void inbound_connection::abort()
{
    if (m_phase == phase::Answering) {
        --m_shared->answering;
        if (m_answerStarted && m_endsWithConnection && m_socket)
            m_socket->reset();
    }
    close();
}

// Closing while the client still sends would reset the connection and lose the answer.
void inbound_connection::linger()
{
    m_phase = phase::Lingering;
    m_unparsed = {};
    m_socket->finishWriting();
    m_socket->setReading(true);
    setTimer(LingerTime);
}

void inbound_connection::close()
{
    m_phase = phase::Closed;
    m_loop.cancelTimer(std::exchange(m_timer, 0));
    m_onClientGone = {};
    m_onDrained = {};
    if (const auto socket = std::exchange(m_socket, nullptr))
        socket->close();
    const auto last = std::exchange(m_self, nullptr);
}

void inbound_connection::closeIfIdle(milliseconds minIdleTime)
{
    if (m_loop.now() - m_idleSince < minIdleTime)
        return;
    if (m_phase == phase::Reading && m_unparsed.empty() && !m_reader->headDone())
        close();
}

void inbound_connection::onEnd(bool /*orderly*/)
{
    const auto self = shared_from_this();
    const auto clientGoneHandler = std::exchange(m_onClientGone, {});
    if (m_phase == phase::Answering)
        --m_shared->answering;
    close();
    if (clientGoneHandler)
        clientGoneHandler();
}

void inbound_connection::onDrained()
{
    if (const auto drainedHandler = m_onDrained)
        drainedHandler();
}

std::size_t inbound_connection::queuedBytes() const
{
    return m_socket ? m_socket->queuedBytes() : 0;
}

void inbound_connection::setTimer(milliseconds delay)
{
    m_loop.cancelTimer(m_timer);
    m_timer = m_loop.callAfter(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimer();
    });
}

bool inbound_connection::isRequestUnread() const
{
    return m_phase == phase::Reading && (!m_unparsed.empty() || m_reader->headDone());
}

void inbound_connection::refuseUnread(const field_list &fields)
{
    if (isRequestUnread())
        refuse(503, fields);
}

void inbound_connection::onTimer()
{
    m_timer = 0;
    if (isRequestUnread())
        refuse(408);
    else
        close();
}

} // namespace orchidlead::http
