#pragma once

#include "http/message_reader.h"
#include "http/stream_socket.h"
#include "net/http_client.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::http {

using net::call_end;

/// Most bytes in succession of which none belongs to the answer of the call: interim heads,
/// framing, and answers to earlier calls, which are seldom longer.
inline constexpr std::size_t MaxUnusableBytes = 1U << 20U;

/// Result of opening a connection.
enum class connect_outcome : std::uint8_t {
    Connected,
    Refused, ///< no listener, or host unreachable
    TimedOut, ///< no answer within the connect timeout
};

/// The call that an answer belongs to.
enum class answer_owner : std::uint8_t {
    ThisCall,
    /// The answer names no call and is taken for that of the current one. The connection is not
    /// reused: on it, a late copy couldn't be told from the answer to the next call.
    Unnamed,
    OtherCall, ///< the answer is dropped, and the connection is not reused
};

/// Request to a server, with the handlers of its answer.
struct outbound_call
{
    /// Returns the head, immediately before it is sent. If empty, the call ends with `NotSent`.
    std::function<std::optional<std::string>()> writeHead;
    std::string body;
    /// Called before `writeHead` or `onEnd` if a connection was opened for this call.
    std::function<void(connect_outcome)> onConnect;
    bool toHead = false; ///< HEAD request: no body in the answer
    /// Longest body of the answer; the call ends with `TooLarge` if it is longer.
    std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
    /// Returns which call an answer belongs to; if empty, all belong to this one.
    std::function<answer_owner(const response_head &)> ownerOf;
    std::function<void(const response_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    /// Called exactly once, as the last event; never after `abandon`.
    std::function<void(call_end)> onEnd;
};

/// Connection to a server that carries one call at a time. A call is never sent twice.
class outbound_connection final
    : public std::enable_shared_from_this<outbound_connection>
    , private stream_events
    , private response_sink
{
public:
    /// `onIdle` is called when the connection can carry another call, `onClosed` once when it
    /// closes.
    struct owner_events
    {
        std::function<void(const std::shared_ptr<outbound_connection> &)> onIdle;
        std::function<void(outbound_connection &)> onClosed;
    };

    outbound_connection(io_loop &loop, owner_events owner, connect_function open);

    /// Opens the connection and sends its first call.
    void open(const socket_address &to, milliseconds connectTimeout, outbound_call call);
    /// Sends a further call. The connection must be idle.
    void send(outbound_call call);
    /// Closes the connection without reporting the end of the call.
    void abandon();
    void setReading(bool reading);
    /// Closes an idle connection.
    void close();

    /// Idle time after which the server closes the connection; empty if the server stated none.
    [[nodiscard]] std::optional<milliseconds> keepAlive() const { return m_keepAlive; }
    [[nodiscard]] bool idle() const { return !m_call && m_socket; }

private:
    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(bool orderly) override;
    void onHead(response_head head) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override { }

    void reportConnect(connect_outcome outcome);
    void transmit();
    void createReader();
    /// Reads the answer and skips those of other calls. Returns false if the call has ended.
    [[nodiscard]] bool read(std::string_view bytes);
    void endCall(call_end outcome, bool reuse);
    void tearDown();

    io_loop &m_loop;
    owner_events m_owner;
    connect_function m_open;
    std::shared_ptr<outbound_connection> m_self; ///< keeps this object alive until closed
    std::shared_ptr<stream_socket> m_socket;
    std::optional<outbound_call> m_call;
    std::unique_ptr<response_reader> m_reader;
    std::string m_unparsed; ///< received bytes that are not parsed yet
    bool m_connecting = false;
    bool m_sent = false; ///< bytes of the call may have been sent
    bool m_skippingAnswer = false; ///< answer of another call
    std::size_t m_unusableBytes = 0; ///< since the last bytes of the call's answer
    std::size_t m_bodyBytes = 0;
    bool m_reusable = true;
    std::optional<milliseconds> m_keepAlive;
    timer_id m_connectTimer = 0;
};

} // namespace orchidlead::http

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::http::connect_outcome>{
    orchidlead::enum_name<orchidlead::http::connect_outcome>{
        orchidlead::http::connect_outcome::Connected, "connected"},
    orchidlead::enum_name<orchidlead::http::connect_outcome>{
        orchidlead::http::connect_outcome::Refused, "refused"},
    orchidlead::enum_name<orchidlead::http::connect_outcome>{
        orchidlead::http::connect_outcome::TimedOut, "silent"},
};
