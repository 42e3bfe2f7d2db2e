#include "gateway/peers/peer_link.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

// A peer in another data centre answers within 40 ms. A lost SYN is retransmitted only after 1 s;
// by then another peer is the better choice.
constexpr milliseconds ConnectTimeout{250};

} // namespace

peer_link::peer_link(http::io_loop &loop, events handlers)
    : m_loop(loop)
    , m_events(std::move(handlers))
{ }

void peer_link::open(const socket_address &to, const http::connect_function &connect)
{
    m_self = shared_from_this();
    m_lastHeard = m_loop.now();
    m_connectTimer = m_loop.callAfter(ConnectTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_connectTimer = 0;
            self->end();
        }
    });
    m_socket = connect(m_loop, to, *this);
}

void peer_link::accept(std::shared_ptr<http::stream_socket> socket)
{
    m_self = shared_from_this();
    m_lastHeard = m_loop.now();
    m_socket = std::move(socket);
    m_connected = true;
    m_socket->start(*this);
}

void peer_link::onConnected()
{
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    m_connected = true;
    m_lastHeard = m_loop.now();
    flush();
}

void peer_link::sendEncoded(std::string_view frame)
{
    if (!m_socket)
        return;
    m_sendBuffer.append(frame);
    if (!m_connected || std::exchange(m_flushPosted, true))
        return;
    m_loop.post([self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void peer_link::sendPing()
{
    if (m_pingSentAt)
        return;
    m_pingSentAt = m_loop.now();
    send(ping_frame{});
}

void peer_link::flush()
{
    if (!m_socket || m_sendBuffer.empty())
        return;
    if (!m_socket->write(std::exchange(m_sendBuffer, {})))
        end();
}

void peer_link::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_lastHeard = m_loop.now();
    m_pingSentAt.reset();
    auto frames = m_frames.feed(bytes);
    if (!frames) {
        end();
        return;
    }
    for (auto &each : frames.value()) {
        if (m_socket && m_events.onFrame)
            m_events.onFrame(self, std::move(each));
    }
}

void peer_link::onEnd(bool /*inOrder*/)
{
    end();
}

void peer_link::close()
{
    end();
}

void peer_link::closeSilently()
{
    m_events = {};
    end();
}

void peer_link::end()
{
    const auto self = shared_from_this();
    m_loop.cancelTimer(std::exchange(m_connectTimer, 0));
    const auto kept = std::exchange(m_self, nullptr);
    const auto socket = std::exchange(m_socket, nullptr);
    if (!socket)
        return;
    socket->close();
    if (const auto onClosed = std::exchange(m_events.onClosed, {}))
        onClosed(self);
}

} // namespace orchidlead::gateway
