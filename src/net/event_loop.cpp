#include "net/lws_event_loop.h"

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <utility>

namespace orchidlead::net {

namespace {

// Timeouts of libwebsockets. Calls and connections have timers of their own; these timeouts only
// end connections that the timers miss, and TLS connections whose peer does not answer the
// shutdown.
constexpr int LibraryTimeoutSeconds = 300;
constexpr int HeaderHoldTimeoutSeconds = 24 * 3600;
// Consecutive iterations without progress after which the loop sleeps, and for how long.
constexpr int MaxIdleRounds = 64;
constexpr long SpinSleepNanoseconds = 200'000;
// Enough descriptors for clients and calls at their default limits, with some to spare. When they
// are used up, connections are closed and calls end with `NotSent`.
constexpr rlim_t MaxDescriptors = 10240;

/// Lowers the soft descriptor limit while libwebsockets reads it.
///
/// libwebsockets allocates a table with an entry for each descriptor that the process may open, and
/// the packaged build scans the whole table for each new socket as a consistency check. Limits of a
/// million are common on servers.
class descriptor_limit
{
public:
    descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &m_original);
        rlimit lowered = m_original;
        lowered.rlim_cur = std::min(m_original.rlim_cur, MaxDescriptors);
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &m_original); }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit m_original{};
};

} // namespace

result<std::unique_ptr<event_loop>, net_error> event_loop::create()
{
    auto loop = std::make_unique<lws_event_loop>();
    if (auto opened = loop->open(); !opened)
        return failure(std::move(opened).error());
    return success(std::unique_ptr<event_loop>(std::move(loop)));
}

lws_event_loop::~lws_event_loop()
{
    lws_sul_cancel(&m_wakeup.sul);
    if (m_context)
        lws_context_destroy(m_context);
}

const lws_protocols *lws_event_loop::protocols()
{
    static const std::array<lws_protocols, 2> list = [] {
        std::array<lws_protocols, 2> created{};
        created[0].name = ProtocolName;
        created[0].callback = &lws_event_loop::dispatch;
        // libwebsockets makes some callbacks only for connections with per-session data.
        created[0].per_session_data_size = sizeof(void *);
        return created;
    }();
    return list.data();
}

result<void, net_error> lws_event_loop::open()
{
    lws_set_log_level(0, nullptr);
    m_scratch.resize(LWS_PRE + TransferBytes);
    m_wakeup.loop = this;

    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT
        | LWS_SERVER_OPTION_SKIP_SERVER_CANONICAL_NAME;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.user = this;
    info.max_http_header_data = MaxParsedHeaderBytes;
    info.pt_serv_buf_size = LWS_PRE + TransferBytes;
    info.timeout_secs = LibraryTimeoutSeconds;
    {
        const descriptor_limit limit;
        m_context = lws_create_context(&info);
    }
    if (!m_context)
        return failure(net_error{"libwebsockets could not create a context"});

    lws_context_creation_info vhost{};
    vhost.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    vhost.vhost_name = "plain";
    vhost.protocols = protocols();
    vhost.timeout_secs_ah_idle = HeaderHoldTimeoutSeconds;
    // Delivers input that does not start with an HTTP request line as raw data, so that the server
    // can answer with 400.
    vhost.options = LWS_SERVER_OPTION_FALLBACK_TO_APPLY_LISTEN_ACCEPT_CONFIG;
    m_plainVhost = lws_create_vhost(m_context, &vhost);
    if (!m_plainVhost)
        return failure(net_error{"libwebsockets could not create a vhost"});
    return success();
}

// The vhost outlives the server. libwebsockets may move a connection to another vhost according to
// its host header, and closes it when that vhost is destroyed. So no vhost is destroyed before the
// loop.
result<lws_vhost *, net_error> lws_event_loop::makeTlsVhost(const std::string &certificateFile,
                                                            const std::string &keyFile,
                                                            bool offerHttp2)
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.vhost_name = "tls";
    info.protocols = protocols();
    info.timeout_secs_ah_idle = HeaderHoldTimeoutSeconds;
    info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.ssl_cert_filepath = certificateFile.c_str();
    info.ssl_private_key_filepath = keyFile.c_str();
    info.alpn = offerHttp2 ? "h2,http/1.1" : "http/1.1";
    info.keepalive_timeout = LibraryTimeoutSeconds;
    auto *vhost = lws_create_vhost(m_context, &info);
    if (!vhost)
        return failure(
            net_error{"cannot use TLS certificate " + certificateFile + " with key " + keyFile});
    return success(vhost);
}

lws *lws_event_loop::adoptFile(int fd, lws_endpoint &endpoint)
{
    lws_adopt_desc_t description{};
    description.vh = m_plainVhost;
    description.type = LWS_ADOPT_RAW_FILE_DESC;
    description.fd.filefd = fd;
    description.vh_prot_name = ProtocolName;
    description.opaque = &endpoint;
    return lws_adopt_descriptor_vhost_via_info(&description);
}

lws *lws_event_loop::adoptConnection(lws_vhost *vhost, int fd, lws_endpoint &endpoint)
{
    lws_adopt_desc_t description{};
    description.vh = vhost;
    description.type =
        static_cast<lws_adoption_type>(LWS_ADOPT_HTTP | LWS_ADOPT_SOCKET | LWS_ADOPT_ALLOW_SSL);
    description.fd.sockfd = fd;
    description.vh_prot_name = ProtocolName;
    description.opaque = &endpoint;
    return lws_adopt_descriptor_vhost_via_info(&description);
}

std::span<unsigned char> lws_event_loop::scratch()
{
    return std::span(m_scratch).subspan(LWS_PRE);
}

void lws_event_loop::run()
{
    while (!m_stopped.load()) {
        m_progress = false;
        if (lws_service(m_context, 0) < 0)
            break;
        runPosted();
        sleepIfSpinning();
    }
    m_stopped.store(false);
}

// Async-signal-safe: only stores to an atomic and writes to a pipe.
void lws_event_loop::stop()
{
    m_stopped.store(true);
    lws_cancel_service(m_context);
}

void lws_event_loop::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_postMutex);
        m_posted.push_back(std::move(task));
    }
    lws_cancel_service(m_context);
}

void lws_event_loop::runPosted()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(m_postMutex);
        tasks.swap(m_posted);
    }
    for (auto &task : tasks) {
        m_progress = true;
        task();
    }
}

timer_id lws_event_loop::callAfter(std::chrono::microseconds delay, std::function<void()> task)
{
    const auto id = m_timers.add(std::chrono::steady_clock::now() + delay, std::move(task));
    scheduleTimers();
    return id;
}

// Does not reschedule the wake-up: one that is too early only schedules the next one.
void lws_event_loop::cancelTimer(timer_id timer)
{
    m_timers.cancel(timer);
}

void lws_event_loop::scheduleTimers()
{
    const auto next = m_timers.next();
    if (!next || (m_scheduled && *m_scheduled <= *next))
        return;
    m_scheduled = next;
    const auto wait =
        std::chrono::ceil<std::chrono::microseconds>(*next - std::chrono::steady_clock::now());
    const lws_usec_t atLeast = 1;
    lws_sul_schedule(m_context, 0, &m_wakeup.sul, &lws_event_loop::onTimer,
                     std::max<lws_usec_t>(wait.count(), atLeast));
}

void lws_event_loop::onTimer(lws_sorted_usec_list_t *sul)
{
    auto *wake = reinterpret_cast<wakeup *>(sul);
    wake->loop->runTimers();
}

void lws_event_loop::runTimers()
{
    m_scheduled.reset();
    const auto now = std::chrono::steady_clock::now();
    while (auto task = m_timers.takeDue(now)) {
        m_progress = true;
        task();
    }
    scheduleTimers();
}

// libwebsockets polls without waiting in two cases that cannot be avoided: it rounds the wait for a
// timer down to milliseconds, and it leaves pipelined input unread while an earlier request is
// being answered. A short sleep prevents the loop from using a whole core.
void lws_event_loop::sleepIfSpinning()
{
    m_idleRounds = m_progress ? 0 : m_idleRounds + 1;
    if (m_idleRounds < MaxIdleRounds)
        return;
    const timespec pause{0, SpinSleepNanoseconds};
    nanosleep(&pause, nullptr);
}

// libwebsockets creates HTTP/2 streams without an endpoint. Streams whose endpoint was destroyed
// have none either, but they only get the events of their end.
lws_endpoint *lws_event_loop::adoptedStream(lws *wsi, lws_callback_reasons reason)
{
    if (reason != LWS_CALLBACK_FILTER_HTTP_CONNECTION)
        return nullptr;
    auto *network = lws_get_network_wsi(wsi);
    if (network == wsi)
        return nullptr;
    auto *connection = static_cast<lws_endpoint *>(lws_get_opaque_user_data(network));
    return connection ? connection->adoptStream(wsi) : nullptr;
}

int lws_event_loop::dispatch(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                             std::size_t length)
{
    auto *endpoint = static_cast<lws_endpoint *>(lws_get_opaque_user_data(wsi));
    if (!endpoint)
        endpoint = adoptedStream(wsi, reason);
    if (!endpoint)
        return 0;
    auto *loop = static_cast<lws_event_loop *>(lws_context_user(lws_get_context(wsi)));
    static_cast<void>(user);
    return loop->deliver(*endpoint, wsi, reason, in, length);
}

int lws_event_loop::deliver(lws_endpoint &endpoint, lws *wsi, lws_callback_reasons reason, void *in,
                            std::size_t length)
{
    m_progress = true;
    return endpoint.onEvent(wsi, reason, in, length);
}

} // namespace orchidlead::net
