#pragma once

#include "http/message_reader.h"
#include "http/stream_socket.h"
#include "net/http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::http {

using net::call_end;

/// One call to a server.
struct outbound_call
{
    /// Writes the head immediately before it is sent; nothing: the call ends with `NotSent`.
    std::function<std::optional<std::string>()> writeHead;
    std::string body;
    bool toHead = false; ///< a HEAD request: its answer has no body
    /// Whether an answer belongs to this call. Others are dropped, and the connection isn't used
    /// again.
    std::function<bool(const response_head &)> isMine;
    std::function<void(const response_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    /// Exactly once, last; not after `abandon`.
    std::function<void(call_end)> onEnd;
};

/// A connection to a server that carries one call at a time. A call is never sent twice.
class outbound_connection final
    : public std::enable_shared_from_this<outbound_connection>
    , private stream_events
    , private response_sink
{
public:
    /// `onFree` is called when the connection may carry another call, `onClosed` once at its end.
    struct owner_events
    {
        std::function<void(const std::shared_ptr<outbound_connection> &)> onFree;
        std::function<void(outbound_connection &)> onClosed;
    };

    outbound_connection(io_loop &loop, owner_events owner);

    /// Opens the connection and makes its first call.
    void open(const socket_address &to, milliseconds connectTimeout, outbound_call call);
    /// Makes a further call; only while it is free.
    void send(outbound_call call);
    /// Gives the call up: closes the connection, reports nothing of the call.
    void abandon();
    void setReading(bool reading);
    /// Closes a free connection.
    void close();

    /// Until when the server says that it keeps the connection; empty: it doesn't say.
    [[nodiscard]] std::optional<milliseconds> keepAlive() const { return m_keepAlive; }
    [[nodiscard]] bool free() const { return !m_call && m_socket; }

private:
    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(bool inOrder) override;
    void onHead(response_head head) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override { }

    void transmit();
    void expectAnswer();
    void onAnswerRead(std::string_view rest);
    void end(call_end how, bool keep);
    void shut();

    io_loop &m_loop;
    owner_events m_owner;
    std::shared_ptr<outbound_connection> m_self; ///< keeps the connection until it is closed
    std::shared_ptr<stream_socket> m_socket;
    std::optional<outbound_call> m_call;
    std::unique_ptr<response_reader> m_reader;
    std::string m_kept; ///< received and not yet parsed
    bool m_sent = false; ///< a byte of the call may have left
    bool m_skipping = false; ///< the answer being read belongs to another call
    bool m_mayKeep = true;
    std::optional<milliseconds> m_keepAlive;
    timer_id m_connectTimer = 0;
};

} // namespace orchidlead::http
