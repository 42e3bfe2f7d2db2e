#include "http/outbound_connection.h"

#include <charconv>
#include <utility>

namespace orchidlead::http {

namespace {

/// Reads the `timeout` of a `Keep-Alive` field, in whole seconds.
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

outbound_connection::outbound_connection(io_loop &loop, owner_events owner)
    : m_loop(loop)
    , m_owner(std::move(owner))
{ }

void outbound_connection::open(const socket_address &to, milliseconds connectTimeout,
                               outbound_call call)
{
    m_self = shared_from_this();
    m_call = std::move(call);
    m_connectTimer = m_loop.callAfter(connectTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_connectTimer = 0;
            self->onEnd(false);
        }
    });
    m_socket = stream_socket::connect(m_loop, to, *this);
}

void outbound_connection::onConnected()
{
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    transmit();
}

void outbound_connection::send(outbound_call call)
{
    m_call = std::move(call);
    transmit();
}

void outbound_connection::expectAnswer()
{
    response_sink &sink = *this;
    m_reader = std::make_unique<response_reader>(sink, m_call->toHead);
}

void outbound_connection::transmit()
{
    const auto self = shared_from_this();
    m_sent = false;
    m_skipping = false;
    m_kept.clear();
    expectAnswer();
    auto bytes = m_call->writeHead();
    if (!bytes) {
        end(call_end::NotSent, true);
        return;
    }
    bytes->append(m_call->body);
    m_call->body = {};
    m_sent = m_socket->write(*bytes);
    if (!m_sent)
        end(call_end::NotSent, false);
}

void outbound_connection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!m_call) {
        // Nothing was asked: what comes belongs to no call.
        shut();
        return;
    }
    std::string joined;
    if (!m_kept.empty()) {
        joined = std::exchange(m_kept, {});
        joined.append(bytes);
        bytes = joined;
    }
    const auto progress = m_reader->read(bytes);
    if (!m_call || !m_socket)
        return;
    if (progress.error) {
        end(call_end::Broken, false);
        return;
    }
    bytes.remove_prefix(progress.used);
    if (m_reader->done())
        onAnswerRead(bytes);
    else
        m_kept.assign(bytes);
}

void outbound_connection::onAnswerRead(std::string_view rest)
{
    if (!m_skipping) {
        const bool bodySent = m_socket->queuedBytes() == 0;
        end(call_end::Complete, m_mayKeep && bodySent && rest.empty());
        return;
    }
    m_skipping = false;
    expectAnswer();
    if (!rest.empty())
        onBytes(std::string(rest));
}

void outbound_connection::onHead(response_head head)
{
    if (!m_call)
        return;
    m_mayKeep = m_mayKeep && head.keepAlive;
    m_keepAlive = readKeepAlive(head.fields);
    m_skipping = m_call->isMine && !m_call->isMine(head);
    if (m_skipping)
        m_mayKeep = false;
    else if (const auto onHeadEvent = m_call->onHead)
        onHeadEvent(head);
}

void outbound_connection::onBody(std::string_view bytes)
{
    if (!m_call || m_skipping)
        return;
    if (const auto onBodyEvent = m_call->onBody)
        onBodyEvent(bytes);
}

void outbound_connection::onEnd(bool inOrder)
{
    const auto self = shared_from_this();
    if (!m_call) {
        shut();
        return;
    }
    const bool whole =
        m_sent && inOrder && !m_skipping && m_kept.empty() && m_reader->finishAtEnd();
    if (!m_call)
        return;
    if (whole)
        end(call_end::Complete, false);
    else
        end(m_sent ? call_end::Broken : call_end::NotSent, false);
}

void outbound_connection::end(call_end how, bool keep)
{
    const auto self = shared_from_this();
    const auto call = std::exchange(m_call, std::nullopt);
    if (!keep)
        shut();
    else if (m_owner.onFree)
        m_owner.onFree(self);
    if (call && call->onEnd)
        call->onEnd(how);
}

void outbound_connection::abandon()
{
    m_call.reset();
    shut();
}

void outbound_connection::setReading(bool reading)
{
    if (m_socket)
        m_socket->setReading(reading);
}

void outbound_connection::close()
{
    shut();
}

void outbound_connection::shut()
{
    const auto self = std::exchange(m_self, nullptr);
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    if (const auto socket = std::exchange(m_socket, nullptr))
        socket->close();
    if (const auto onClosed = std::exchange(m_owner.onClosed, {}))
        onClosed(*this);
}

} // namespace orchidlead::http
