#pragma once

#include "net/event_loop.h"
#include "net/lws_endpoint.h"
#include "net/timer_heap.h"

#include <atomic>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace orchidlead::net {

/// The one libwebsockets protocol, which every socket of the loop is bound to.
inline constexpr char ProtocolName[] = "orchidlead";
/// Largest request or answer head that is parsed, in bytes; libwebsockets counts in 16 bits.
inline constexpr std::size_t MaxParsedHeaderBytes = 60U << 10U;
/// Bytes that are read from or written to a socket at once.
inline constexpr std::size_t TransferBytes = 32U << 10U;

/// The one implementation of `event_loop`; the other units of `net` reach libwebsockets through it.
class lws_event_loop final : public event_loop
{
public:
    lws_event_loop() = default;
    ~lws_event_loop() override;
    lws_event_loop(const lws_event_loop &) = delete;
    lws_event_loop &operator=(const lws_event_loop &) = delete;

    /// Makes the libwebsockets context and its plain vhost.
    [[nodiscard]] result<void, net_error> open();

    void run() override;
    void stop() override;
    void post(std::function<void()> task) override;
    timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task) override;
    void cancelTimer(timer_id timer) override;
    [[nodiscard]] lws_context *context() override { return m_context; }

    /// The vhost of everything without TLS.
    [[nodiscard]] lws_vhost *plainVhost() { return m_plainVhost; }
    /// Makes a vhost that accepts TLS; it lives as long as the loop.
    [[nodiscard]] result<lws_vhost *, net_error>
    makeTlsVhost(const std::string &certificateFile, const std::string &keyFile, bool offerHttp2);
    /// Has `endpoint` told with `LWS_CALLBACK_RAW_RX_FILE` when the descriptor becomes readable.
    /// The descriptor then belongs to libwebsockets, which closes it.
    [[nodiscard]] lws *adoptFile(int fd, lws_endpoint &endpoint);

    /// Has libwebsockets serve HTTP on an accepted connection, which then belongs to it.
    [[nodiscard]] lws *adoptConnection(lws_vhost *vhost, int fd, lws_endpoint &endpoint);

    /// A buffer of `TransferBytes`, with room for libwebsockets in front, that is free between
    /// calls.
    [[nodiscard]] std::span<unsigned char> scratch();

    /// Notes an event that brought no progress, see `m_idleRounds`.
    void noteUselessEvent() { m_progress = false; }

private:
    static int dispatch(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                        std::size_t length);
    static lws_endpoint *adoptedStream(lws *wsi, lws_callback_reasons reason);
    static void onTimer(lws_sorted_usec_list_t *sul);
    static const lws_protocols *protocols();

    void runPosted();
    void runTimers();
    void scheduleTimers();
    void restWhenSpinning();
    int deliver(lws_endpoint &endpoint, lws *wsi, lws_callback_reasons reason, void *in,
                std::size_t length);

    /// Lets the callback find the loop from the timer entry.
    struct wakeup
    {
        lws_sorted_usec_list_t sul{};
        lws_event_loop *loop = nullptr;
    };

    lws_context *m_context = nullptr;
    lws_vhost *m_plainVhost = nullptr;
    wakeup m_wakeup;
    timer_heap m_timers;
    std::optional<steady_time> m_scheduled; ///< what `m_wakeup` waits for
    std::vector<unsigned char> m_scratch;

    std::atomic<bool> m_stopped{false};
    std::mutex m_postMutex;
    std::vector<std::function<void()>> m_posted; ///< under `m_postMutex`
    bool m_progress = false; ///< whether this round did something
    int m_idleRounds = 0; ///< rounds in a row without progress
};

/// Every `event_loop` is an `lws_event_loop`.
[[nodiscard]] inline lws_event_loop &implementationOf(event_loop &loop)
{
    return static_cast<lws_event_loop &>(loop);
}

} // namespace orchidlead::net
