#pragma once

#include "net/http_client.h"
#include "net/lws_event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// One call on a connection of its own, from connecting to the end of the answer.
class client_call final
    : public lws_endpoint
    , public std::enable_shared_from_this<client_call>
{
public:
    /// `onGone` is called once, when neither libwebsockets nor a timer refers to the call any more.
    client_call(lws_event_loop &loop, http_call call, call_events events,
                std::function<void()> onGone);

    void start();
    /// Reports nothing from now on and closes the connection.
    void cancel();
    void setReading(bool reading);

    int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) override;

private:
    /// How an answer says where it ends.
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
    [[nodiscard]] bool closedInOrder() const;
    void deliver(std::string_view bytes);
    void deliverHeld();
    /// The end without a whole answer.
    [[nodiscard]] call_end brokenEnd() const;
    void end(call_end how);
    void release();

    lws_event_loop &m_loop;
    http_call m_call;
    call_events m_events;
    std::function<void()> m_onGone;
    lws *m_wsi = nullptr;
    bool m_insideEvent = false;
    bool m_starting = false; ///< `start` hasn't returned, so nothing may be reported yet
    bool m_over = false; ///< the end was reported, or the call was cancelled
    bool m_sent = false; ///< a byte may have left
    bool m_timedOut = false;
    std::size_t m_bodySent = 0;

    framing m_framing = framing::None;
    std::size_t m_length = 0; ///< bytes that the answer declares
    std::size_t m_received = 0;
    const char *m_readBuffer = nullptr; ///< while `read` runs, where it asked to have the bytes
    char *m_readNext = nullptr; ///< and how far libwebsockets has come
    bool m_reading = true;
    bool m_unreadInput = false; ///< libwebsockets said that there is input, and it was left there
    std::string m_held; ///< received while not reading
    std::optional<call_end> m_heldEnd; ///< the end, behind `m_held`

    timer_id m_connectTimer = 0;
    timer_id m_totalTimer = 0;
};

} // namespace orchidlead::net
