#include "net/lws_event_loop.h"

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <utility>

namespace orchidlead::net {

namespace {

// libwebsockets' own limits, in seconds. Calls and connections have timers of their own; these only
// end what those have forgotten, and a TLS connection whose peer doesn't answer the closing.
constexpr int LibraryTimeout = 300;
constexpr int HeaderHoldTimeout = 24 * 3600;
// Rounds without progress before the loop rests, and for how long.
constexpr int MaxIdleRounds = 64;
constexpr long RestNanoseconds = 200'000;
// Descriptors that the loop can serve: callers and calls at the usual bounds, and some for the
// rest. Beyond, connections are closed and calls end with `NotSent`.
constexpr rlim_t MaxDescriptors = 10240;

/// Lowers the soft limit of descriptors while libwebsockets reads it.
///
/// libwebsockets makes a table for as many descriptors as the process may open, and the packaged
/// build looks through all of it for each new socket, as a check of its own. Limits of a million
/// are usual on servers.
class descriptor_limit
{
public:
    descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit lowered = m_before;
        lowered.rlim_cur = std::min(m_before.rlim_cur, MaxDescriptors);
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &m_before); }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit m_before{};
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
        std::array<lws_protocols, 2> made{};
        made[0].name = ProtocolName;
        made[0].callback = &lws_event_loop::dispatch;
        // Some libwebsockets callbacks are only made for connections that have user memory.
        made[0].per_session_data_size = sizeof(void *);
        return made;
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
    info.timeout_secs = LibraryTimeout;
    {
        const descriptor_limit limit;
        m_context = lws_create_context(&info);
    }
    if (!m_context)
        return failure(net_error{"libwebsockets made no context"});

    lws_context_creation_info vhost{};
    vhost.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    vhost.vhost_name = "plain";
    vhost.protocols = protocols();
    vhost.timeout_secs_ah_idle = HeaderHoldTimeout;
    // A first line that isn't HTTP is handed to us raw, so that it can be answered with 400.
    vhost.options = LWS_SERVER_OPTION_FALLBACK_TO_APPLY_LISTEN_ACCEPT_CONFIG;
    m_plainVhost = lws_create_vhost(m_context, &vhost);
    if (!m_plainVhost)
        return failure(net_error{"libwebsockets made no vhost"});
    return success();
}

// The vhost outlives the server: libwebsockets may move a connection to another vhost by its host
// header, and would close it when that other vhost goes. So no vhost goes before the loop.
result<lws_vhost *, net_error> lws_event_loop::makeTlsVhost(const std::string &certificateFile,
                                                            const std::string &keyFile,
                                                            bool offerHttp2)
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.vhost_name = "tls";
    info.protocols = protocols();
    info.timeout_secs_ah_idle = HeaderHoldTimeout;
    info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.ssl_cert_filepath = certificateFile.c_str();
    info.ssl_private_key_filepath = keyFile.c_str();
    info.alpn = offerHttp2 ? "h2,http/1.1" : "http/1.1";
    info.keepalive_timeout = LibraryTimeout;
    auto *vhost = lws_create_vhost(m_context, &info);
    if (!vhost)
        return failure(net_error{"no TLS with " + certificateFile + " and " + keyFile});
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
        restWhenSpinning();
    }
    m_stopped.store(false);
}

// Only stores to an atomic and writes to a pipe, as a signal handler may.
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

// Leaves the wake-up as it is: when it comes too early it only schedules the next one.
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

// libwebsockets polls without waiting in cases that we can't end: it rounds the wait for a timer
// down to milliseconds, and it leaves input unread that a caller sends ahead while its earlier
// request is being answered. A short rest keeps those from using up a core.
void lws_event_loop::restWhenSpinning()
{
    m_idleRounds = m_progress ? 0 : m_idleRounds + 1;
    if (m_idleRounds < MaxIdleRounds)
        return;
    const timespec rest{0, RestNanoseconds};
    nanosleep(&rest, nullptr);
}

// Streams of HTTP/2 are made by libwebsockets, without an endpoint. Streams whose endpoint is gone
// have none either; those only see the events of their end.
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
