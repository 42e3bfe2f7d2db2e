#include "standins/versioned_document.h"

#include "standins/json_http.h"
#include "standins/run_history.h"

#include <algorithm>
#include <utility>

namespace orchidlead::standins {

namespace {

constexpr std::uint64_t MaxWaitMillis = 60'000;
constexpr std::size_t MaxStuck = 10'000;

} // namespace

void read_counter::count(steady_time now)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != m_second)
        m_inSecond = 0;
    m_second = second;
    ++m_total;
    ++m_inSecond;
    m_peak = std::max(m_peak, m_inSecond);
}

result<std::unique_ptr<versioned_document>, net::net_error>
versioned_document::create(net::event_loop &loop, const clock_source &clock,
                           const socket_address &listen, std::string path)
{
    std::unique_ptr<versioned_document> document(
        new versioned_document(loop, clock, listen, std::move(path)));
    const auto listening = document->listen();
    if (!listening)
        return listening.error();
    return document;
}

versioned_document::versioned_document(net::event_loop &loop, const clock_source &clock,
                                       socket_address listen, std::string path)
    : m_loop(loop)
    , m_clock(clock)
    , m_address(std::move(listen))
    , m_path(std::move(path))
{ }

result<void, net::net_error> versioned_document::listen()
{
    net::http_server_options options;
    options.listen = m_address;
    auto server = net::http_server::create(
        m_loop, options, [this](net::http_request &&request, const net::response_ptr &response) {
            handle(request, response);
        });
    if (!server)
        return server.error();
    m_server = std::move(server.value());
    m_address.port = m_server->port();
    return success();
}

void versioned_document::publish(std::uint64_t version, Json::Value body)
{
    m_published.push_back({version, std::move(body), m_clock.now()});
    const auto lag = m_faults.find(fault_kind::LaggingReports);
    if (lag)
        m_loop.callAfter(lag->delay, [this] { wakeWatchers(); });
    else
        wakeWatchers();
}

std::uint64_t versioned_document::newestVersion() const
{
    return m_published.empty() ? 0 : m_published.back().version;
}

result<void, net::net_error> versioned_document::setFaults(fault_set faults)
{
    m_faults = std::move(faults);
    if (m_faults.has(fault_kind::Down)) {
        m_server.reset();
        return success();
    }
    if (!m_faults.has(fault_kind::Hang))
        m_stuck.clear();
    wakeWatchers();
    return m_server ? success() : listen();
}

void versioned_document::handle(const net::http_request &request, const net::response_ptr &response)
{
    m_reads.count(m_clock.now());
    if (m_faults.draw(fault_kind::Hang, m_random)) {
        if (m_stuck.size() < MaxStuck)
            m_stuck.push_back(response);
        return;
    }
    if (m_faults.draw(fault_kind::Close, m_random))
        return;
    const auto slow = m_faults.draw(fault_kind::Slow, m_random);
    if (slow)
        m_loop.callAfter(slow->delay, [this, request, response] { serve(request, response); });
    else
        serve(request, response);
}

void versioned_document::serve(const net::http_request &request, const net::response_ptr &response)
{
    if (request.method != "GET" || request.path != m_path) {
        respondError(*response, 404, "unknown path or method");
        return;
    }
    const auto after = queryNumber(request.query, "after");
    const auto wait = queryNumber(request.query, "wait_ms").value_or(0);
    const published *shown = visible();
    if (m_faults.draw(fault_kind::Refuse, m_random) || (shown == nullptr && !after))
        respondError(*response, 503, "not available");
    else if (shown != nullptr && (!after || isNews(shown->version, *after)))
        respondJson(*response, 200, shown->body);
    else
        watch(*after, milliseconds{std::min(wait, MaxWaitMillis)}, response);
}

void versioned_document::watch(std::uint64_t after, milliseconds wait,
                               const net::response_ptr &response)
{
    if (wait.count() == 0) {
        response->respond(304, {}, "");
        return;
    }
    const std::uint64_t id = ++m_lastWatcher;
    const auto timeout = [this, id, response] {
        m_watchers.erase(id);
        response->respond(304, {}, "");
    };
    m_watchers[id] = {response, after, m_loop.callAfter(wait, timeout)};
    response->onClosed([this, id] { endWatch(id); });
}

void versioned_document::endWatch(std::uint64_t id)
{
    const auto node = m_watchers.extract(id);
    if (!node.empty())
        m_loop.cancelTimer(node.mapped().timer);
}

// A stale service was set back, as from an old copy: what it shows is news to it, though it is
// older than what the watcher has.
bool versioned_document::isNews(std::uint64_t shown, std::uint64_t after) const
{
    return m_faults.has(fault_kind::Stale) ? shown != after : shown > after;
}

void versioned_document::wakeWatchers()
{
    const published *shown = visible();
    if (shown == nullptr)
        return;
    std::vector<std::uint64_t> woken;
    for (const auto &[id, one] : m_watchers) {
        if (isNews(shown->version, one.after))
            woken.push_back(id);
    }
    for (const std::uint64_t id : woken) {
        const net::response_ptr response = m_watchers[id].response;
        endWatch(id);
        respondJson(*response, 200, shown->body);
    }
}

const versioned_document::published *versioned_document::visible() const
{
    const auto lag = m_faults.find(fault_kind::LaggingReports);
    const steady_time asOf = m_clock.now() - (lag ? lag->delay : milliseconds{0});
    std::size_t count = 0;
    while (count < m_published.size() && m_published[count].at <= asOf)
        ++count;
    if (const auto stale = m_faults.find(fault_kind::Stale); stale && count > 0) {
        const auto back = static_cast<std::size_t>(std::max(0.0, stale->factor));
        count = std::max<std::size_t>(1, count - std::min(back, count));
    }
    return count == 0 ? nullptr : &m_published[count - 1];
}

Json::Value versioned_document::historyJson() const
{
    Json::Value json;
    json["published"] = Json::Value(Json::arrayValue);
    for (const published &one : m_published) {
        Json::Value row;
        row["version"] = Json::UInt64{one.version};
        row["at_us"] = Json::Int64{toMicros(one.at)};
        json["published"].append(row);
    }
    json["reads"]["total"] = Json::UInt64{m_reads.total()};
    json["reads"]["peak_per_second"] = Json::UInt64{m_reads.peak()};
    json["watchers"] = Json::UInt64{m_watchers.size()};
    json["faults"] = m_faults.toJson();
    return json;
}

} // namespace orchidlead::standins
