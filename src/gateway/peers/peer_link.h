#pragma once

#include "gateway/peers/peer_frames.h"
#include "http/stream_socket.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::gateway {

/// A TCP connection between two gateways that carries frames both ways.
class peer_link final
    : public std::enable_shared_from_this<peer_link>
    , private http::stream_events
{
public:
    struct events
    {
        std::function<void(const std::shared_ptr<peer_link> &, peer_frame &&)> onFrame;
        std::function<void(const std::shared_ptr<peer_link> &)> onClosed; ///< once, last
    };

    peer_link(http::io_loop &loop, events handlers);

    /// Opens a connection with `connect`.
    void open(const socket_address &to, const http::connect_function &connect);
    void accept(std::shared_ptr<http::stream_socket> socket);
    /// Sends a frame. All frames sent in one iteration of the loop go out in one write.
    void send(const peer_frame &frame) { sendEncoded(encodeFrame(frame)); }
    /// Like `send`, for a frame that is encoded once for many links.
    void sendEncoded(std::string_view frame);
    void close();
    /// Closes without calling `onClosed`.
    void closeSilently();
    /// Sends a ping, unless an earlier one is still unanswered.
    void sendPing();
    /// Returns when bytes last arrived from the peer, or when the link was opened.
    [[nodiscard]] steady_time lastReceivedAt() const { return m_lastHeard; }
    /// Returns when the unanswered ping was sent; empty: no ping is unanswered.
    [[nodiscard]] const std::optional<steady_time> &pingSentAt() const { return m_pingSentAt; }

private:
    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(bool inOrder) override;
    void flush();
    void end();

    http::io_loop &m_loop;
    events m_events;
    std::shared_ptr<peer_link> m_self; ///< keeps the link alive until it is closed
    std::shared_ptr<http::stream_socket> m_socket;
    frame_splitter m_frames;
    std::string m_sendBuffer;
    bool m_connected = false;
    bool m_flushPosted = false;
    steady_time m_lastHeard{};
    std::optional<steady_time> m_pingSentAt;
    http::timer_id m_connectTimer = 0;
};

} // namespace orchidlead::gateway
