#include "http/outbound_connection.h"

#include <charconv>
#include <utility>

namespace orchidlead::http {

namespace {

/// Parses the `timeout` parameter of a `Keep-Alive` field, which is in whole seconds.
std::optional<milliseconds> readKeepAlive(const field_list &fields)
{
    constexpr std::string_view Key = "timeout=";
    const auto value = findField(fields, "keep-alive");
    const auto at = value ? value->find(Key) : std::string_view::npos;
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto text = value->substr(at + Key.size());
    int seconds = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc{})
        return std::nullopt;
    return std::chrono::seconds{seconds};
}

} // namespace

outbound_connection::outbound_connection(io_loop &loop, owner_events owner, connect_function open)
    : m_loop(loop)
    , m_owner(std::move(owner))
    , m_open(std::move(open))
{ }

void outbound_connection::open(const socket_address &to, milliseconds connectTimeout,
                               outbound_call call)
{
    m_self = shared_from_this();
    m_call = std::move(call);
    m_connecting = true;
    m_connectTimer = m_loop.callAfter(connectTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_connectTimer = 0;
            self->reportConnect(connect_outcome::TimedOut);
            self->onEnd(false);
        }
    });
    m_socket = m_open(m_loop, to, *this);
}

void outbound_connection::reportConnect(connect_outcome outcome)
{
    if (std::exchange(m_connecting, false) && m_call && m_call->onConnect)
        m_call->onConnect(outcome);
}

void outbound_connection::onConnected()
{
    const auto self = shared_from_this();
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    reportConnect(connect_outcome::Connected);
    if (m_call)
        transmit();
}

void outbound_connection::send(outbound_call call)
{
    m_call = std::move(call);
    transmit();
}

void outbound_connection::createReader()
{
    response_sink &sink = *this;
    m_reader = std::make_unique<response_reader>(sink, m_call->toHead);
}

void outbound_connection::transmit()
{
    const auto self = shared_from_this();
    m_sent = false;
    m_skippingAnswer = false;
    m_unusableBytes = 0;
    m_bodyBytes = 0;
    m_unparsed.clear();
    createReader();
    auto bytes = m_call->writeHead();
    if (!bytes) {
        endCall(call_end::NotSent, true);
        return;
    }
    bytes->append(m_call->body);
    m_call->body = {};
    m_sent = m_socket->write(*bytes);
    if (!m_sent)
        endCall(call_end::NotSent, false);
}

void outbound_connection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!m_call) {
        // Unsolicited bytes: no call is in progress.
        tearDown();
        return;
    }
    m_unusableBytes += bytes.size();
    std::string joined;
    if (!m_unparsed.empty()) {
        joined = std::exchange(m_unparsed, {});
        joined.append(bytes);
        bytes = joined;
    }
    if (read(bytes) && m_unusableBytes > MaxUnusableBytes)
        endCall(call_end::TooLarge, false);
}

bool outbound_connection::read(std::string_view bytes)
{
    for (;;) {
        const auto progress = m_reader->read(bytes);
        if (!m_call || !m_socket)
            return false;
        if (progress.error) {
            endCall(call_end::Broken, false);
            return false;
        }
        bytes.remove_prefix(progress.used);
        if (!m_reader->done()) {
            m_unparsed.assign(bytes);
            return true;
        }
        if (!m_skippingAnswer) {
            const bool bodySent = m_socket->queuedBytes() == 0;
            endCall(call_end::Complete, m_reusable && bodySent && bytes.empty());
            return false;
        }
        m_skippingAnswer = false;
        createReader();
        if (bytes.empty())
            return true;
    }
}

void outbound_connection::onHead(response_head head)
{
    if (!m_call)
        return;
    m_reusable = m_reusable && head.keepAlive;
    m_keepAlive = readKeepAlive(head.fields);
    const auto owner = m_call->ownerOf ? m_call->ownerOf(head) : answer_owner::ThisCall;
    m_reusable = m_reusable && owner == answer_owner::ThisCall;
    m_skippingAnswer = owner == answer_owner::OtherCall;
    if (m_skippingAnswer)
        return;
    m_unusableBytes = 0;
    if (const auto onHeadEvent = m_call->onHead)
        onHeadEvent(head);
}

void outbound_connection::onBody(std::string_view bytes)
{
    if (!m_call || m_skippingAnswer)
        return;
    m_unusableBytes = 0;
    m_bodyBytes += bytes.size();
    if (m_bodyBytes > m_call->maxBodyBytes)
        endCall(call_end::TooLarge, false);
    else if (const auto onBodyEvent = m_call->onBody)
        onBodyEvent(bytes);
}

void outbound_connection::onEnd(bool orderly)
{
    const auto self = shared_from_this();
    reportConnect(connect_outcome::Refused);
    if (!m_call) {
        tearDown();
        return;
    }
    // An answer without a length that ends before its request was sent is one that was broken off.
    const bool whole = m_sent && orderly && !m_skippingAnswer && m_unparsed.empty()
        && m_socket->allAcknowledged() && m_reader->finishAtEndOfStream();
    if (!m_call)
        return;
    if (whole)
        endCall(call_end::Complete, false);
    else
        endCall(m_sent ? call_end::Broken : call_end::NotSent, false);
}

void outbound_connection::endCall(call_end outcome, bool reuse)
{
    const auto self = shared_from_this();
    const auto call = std::exchange(m_call, std::nullopt);
    if (!reuse) {
        tearDown();
    } else {
        // The answer may have ended while its reading was paused.
        m_socket->setReading(true);
        if (m_owner.onIdle)
            m_owner.onIdle(self);
    }
    if (call && call->onEnd)
        call->onEnd(outcome);
}

void outbound_connection::abandon()
{
    m_call.reset();
    tearDown();
}

void outbound_connection::setReading(bool reading)
{
    if (m_socket)
        m_socket->setReading(reading);
}

void outbound_connection::close()
{
    tearDown();
}

void outbound_connection::tearDown()
{
    const auto self = std::exchange(m_self, nullptr);
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    if (const auto socket = std::exchange(m_socket, nullptr))
        socket->close();
    if (const auto onClosed = std::exchange(m_owner.onClosed, {}))
        onClosed(*this);
}

} // namespace orchidlead::http
