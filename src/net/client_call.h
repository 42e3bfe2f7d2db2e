#pragma once

#include "net/http_client.h"
#include "net/lws_event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// One call on a connection of its own, from connecting to the end of the response.
class client_call final
    : public lws_endpoint
    , public std::enable_shared_from_this<client_call>
{
public:
    /// `onReleased` is called once, when neither libwebsockets nor a timer refers to the call any
    /// more.
    client_call(lws_event_loop &loop, http_call call, call_events events,
                std::function<void()> onReleased);

    void start();
    /// Closes the connection; no event is reported from now on.
    void cancel();
    void setReading(bool reading);

    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override;

private:
    /// How the end of a response body is determined.
    enum class framing { Length, Chunked, UntilClose, None };

    [[nodiscard]] bool isSendable() const;
    void connect();
    [[nodiscard]] int onAppendHeaders(unsigned char **next, std::size_t room);
    [[nodiscard]] bool appendFields(unsigned char **next, unsigned char *end);
    [[nodiscard]] int onWriteable();
    [[nodiscard]] int writeBody();
    [[nodiscard]] int onHead();
    [[nodiscard]] std::optional<call_end> readFraming();
    [[nodiscard]] int read();
    [[nodiscard]] int onBytes(std::string_view bytes);
    [[nodiscard]] int onComplete();
    void onClose(lws *wsi);
    [[nodiscard]] bool closedWithoutReset() const;
    void deliver(std::string_view bytes);
    void deliverPending();
    /// The outcome of a call whose response is incomplete.
    [[nodiscard]] call_end incompleteEnd() const;
    void end(call_end outcome);
    void release();

    lws_event_loop &m_loop;
    http_call m_call;
    call_events m_events;
    std::function<void()> m_onReleased;
    lws *m_wsi = nullptr;
    bool m_insideEvent = false;
    /// `start` has not returned yet, so no event may be reported.
    bool m_starting = false;
    bool m_ended = false; ///< completed or cancelled
    bool m_sent = false; ///< bytes may have been sent
    bool m_timedOut = false;
    std::size_t m_bodySent = 0;

    framing m_framing = framing::None;
    std::size_t m_length = 0; ///< declared by the response
    std::size_t m_received = 0;
    /// Start of the buffer that `read` passed to libwebsockets; null outside `read`.
    const char *m_readBuffer = nullptr;
    char *m_readNext = nullptr; ///< where libwebsockets writes next
    bool m_reading = true;
    bool m_unreadInput = false; ///< input was signalled and not read
    std::string m_pendingBytes; ///< received while reading was paused
    std::optional<call_end> m_pendingEnd; ///< reported after `m_pendingBytes`

    timer_id m_connectTimer = 0;
    timer_id m_totalTimer = 0;
};

} // namespace orchidlead::net
