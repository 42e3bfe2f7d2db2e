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

/// The libwebsockets protocol that every socket of the loop is bound to.
inline constexpr char ProtocolName[] = "orchidlead";
/// Size limit of a request or response head; libwebsockets counts the size in 16 bits.
inline constexpr std::size_t MaxParsedHeaderBytes = 60U << 10U;
/// Maximum size of one read from or write to a socket.
inline constexpr std::size_t TransferBytes = 32U << 10U;

/// The only implementation of `event_loop`; the rest of `net` uses libwebsockets through it.
class lws_event_loop final : public event_loop
{
public:
    lws_event_loop() = default;
    ~lws_event_loop() override;
    lws_event_loop(const lws_event_loop &) = delete;
    lws_event_loop &operator=(const lws_event_loop &) = delete;

    /// Creates the libwebsockets context and the vhost without TLS.
    [[nodiscard]] result<void, net_error> open();

    void run() override;
    void stop() override;
    void post(std::function<void()> task) override;
    timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task) override;
    void cancelTimer(timer_id timer) override;
    [[nodiscard]] lws_context *context() override { return m_context; }

    /// The vhost of all connections without TLS.
    [[nodiscard]] lws_vhost *plainVhost() { return m_plainVhost; }
    /// Creates a vhost that accepts TLS; it exists until the loop is destroyed.
    [[nodiscard]] result<lws_vhost *, net_error>
    makeTlsVhost(const std::string &certificateFile, const std::string &keyFile, bool offerHttp2);
    /// Reports `LWS_CALLBACK_RAW_RX_FILE` to `endpoint` when the descriptor becomes readable.
    /// Transfers ownership of the descriptor to libwebsockets, which closes it.
    [[nodiscard]] lws *adoptFile(int fd, lws_endpoint &endpoint);

    /// Serves HTTP on an accepted connection; transfers ownership of it to libwebsockets.
    [[nodiscard]] lws *adoptConnection(lws_vhost *vhost, int fd, lws_endpoint &endpoint);

    /// A shared buffer of `TransferBytes`, preceded by the space that libwebsockets needs. Its
    /// contents are not preserved between calls.
    [[nodiscard]] std::span<unsigned char> scratch();

    /// Marks the current event as one without progress, see `m_idleRounds`.
    void markIdleEvent() { m_progress = false; }

private:
    static int dispatch(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                        std::size_t length);
    static lws_endpoint *adoptedStream(lws *wsi, lws_callback_reasons reason);
    static void onTimer(lws_sorted_usec_list_t *sul);
    static const lws_protocols *protocols();

    void runPosted();
    void runTimers();
    void scheduleTimers();
    void sleepIfSpinning();
    int deliver(lws_endpoint &endpoint, lws *wsi, lws_callback_reasons reason, void *in,
                std::size_t length);

    /// Timer entry from which the callback gets the loop.
    struct wakeup
    {
        lws_sorted_usec_list_t sul{};
        lws_event_loop *loop = nullptr;
    };

    lws_context *m_context = nullptr;
    lws_vhost *m_plainVhost = nullptr;
    wakeup m_wakeup;
    timer_heap m_timers;
    std::optional<steady_time> m_scheduled; ///< when `m_wakeup` is due
    std::vector<unsigned char> m_scratch;

    std::atomic<bool> m_stopped{false};
    std::mutex m_postMutex;
    std::vector<std::function<void()>> m_posted; ///< guarded by `m_postMutex`
    bool m_progress = false; ///< made in this iteration
    int m_idleRounds = 0; ///< consecutive iterations without progress
};

/// Every `event_loop` is an `lws_event_loop`.
[[nodiscard]] inline lws_event_loop &implementationOf(event_loop &loop)
{
    return static_cast<lws_event_loop &>(loop);
}

} // namespace orchidlead::net
