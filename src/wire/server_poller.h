#pragma once

#include "core/configuration/published_configuration.h"
#include "net/event_loop.h"
#include "net/http_client.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orchidlead::wire {

/// How backend servers are polled.
struct server_poller_options
{
    vm_id self; ///< picks the servers together with their names
    std::size_t maxServers = 8; ///< at least so many, and more where there are few nodes
    std::size_t pollersOfServer = 6; ///< about so many nodes poll each server
    milliseconds interval{2000}; ///< between two calls to the same server
    milliseconds timeout{500};
};

/// Returns the servers that this node polls: those with the highest rendezvous weights for it, so
/// that the nodes share the servers out without talking about it, and each server is called by few.
[[nodiscard]] std::vector<backend_server> pickPolled(const std::vector<backend_server> &servers,
                                                     const vm_id &self, std::size_t count);

/// Returns how many servers a node polls, so that each is polled by about as many nodes as the
/// options say. In a small fleet that is every server: a server that leaves is soon known to all.
[[nodiscard]] std::size_t polledCount(const server_poller_options &options, std::size_t servers,
                                      std::size_t nodes);

/// Something that backend servers tell about themselves when asked.
template <class Document>
concept polled_document = requires(const backend_server_id &server, typename Document::state state,
                                   std::string_view body)
{
    {
        Document::MaxAnswerBytes
        } -> std::convertible_to<std::size_t>;
    {
        Document::path(state)
        } -> std::same_as<std::string>;
    {
        Document::parse(server, state, body)
        } -> std::same_as<std::optional<typename Document::report>>;
};

/// Calls of a poller and how many gave nothing.
struct poll_counts
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
};

/// Polls a few backend servers, one after the other, and reports what they tell. Servers that were
/// heard of otherwise within an interval are left out.
template <polled_document Document>
class server_poller
{
public:
    using report_handler = std::function<void(typename Document::report)>;

    server_poller(net::event_loop &loop, net::http_client &client, const clock_source &clock,
                  server_poller_options options, report_handler onReport)
        : m_loop(loop)
        , m_client(client)
        , m_clock(clock)
        , m_options(std::move(options))
        , m_onReport(std::move(onReport))
    { }
    ~server_poller() { stop(); }
    server_poller(const server_poller &) = delete;
    server_poller &operator=(const server_poller &) = delete;

    /// Replaces the servers to pick from; what is known of those that stay is kept.
    void setServers(const std::vector<backend_server> &servers);
    /// Notes how many nodes share the servers out; 0: unknown.
    void setNodes(std::size_t nodes);
    /// Notes that a server told of itself otherwise, as in an answer.
    void onHeard(const backend_server_id &server);

    void start();
    void stop();

    [[nodiscard]] const poll_counts &counts() const { return m_counts; }

private:
    struct polled_server
    {
        socket_address address;
        typename Document::state state{};
        steady_time heardAt;
        net::call_id call = 0; ///< 0: none is open
        int status = 0;
        std::string body;
    };

    void pick();
    void pollNext();
    void poll(const backend_server_id &id, polled_server &server);
    void onEnd(const backend_server_id &id, net::call_end end);

    net::event_loop &m_loop;
    net::http_client &m_client;
    const clock_source &m_clock;
    server_poller_options m_options;
    report_handler m_onReport;
    std::vector<backend_server> m_all; ///< to pick from
    std::size_t m_nodes = 0;
    std::map<backend_server_id, polled_server> m_servers;
    backend_server_id m_last; ///< polled last
    net::timer_id m_timer = 0;
    bool m_running = false;
    poll_counts m_counts;
};

template <polled_document Document>
void server_poller<Document>::setServers(const std::vector<backend_server> &servers)
{
    m_all = servers;
    pick();
}

template <polled_document Document>
void server_poller<Document>::setNodes(std::size_t nodes)
{
    const std::size_t before = polledCount(m_options, m_all.size(), m_nodes);
    m_nodes = nodes;
    if (polledCount(m_options, m_all.size(), m_nodes) != before)
        pick();
}

template <polled_document Document>
void server_poller<Document>::pick()
{
    std::map<backend_server_id, polled_server> kept;
    const std::size_t count = polledCount(m_options, m_all.size(), m_nodes);
    for (const auto &server : pickPolled(m_all, m_options.self, count)) {
        const auto known = m_servers.find(server.id);
        if (known != m_servers.end() && known->second.address == server.address)
            kept.insert(m_servers.extract(known));
        else
            kept.emplace(server.id, polled_server{server.address, {}, {}, 0, 0, {}});
    }
    for (const auto &[id, server] : m_servers) {
        if (server.call != 0)
            m_client.cancel(server.call);
    }
    m_servers = std::move(kept);
}

template <polled_document Document>
void server_poller<Document>::onHeard(const backend_server_id &server)
{
    const auto known = m_servers.find(server);
    if (known != m_servers.end())
        known->second.heardAt = m_clock.now();
}

template <polled_document Document>
void server_poller<Document>::start()
{
    if (!std::exchange(m_running, true))
        pollNext();
}

template <polled_document Document>
void server_poller<Document>::stop()
{
    if (!std::exchange(m_running, false))
        return;
    m_loop.cancelTimer(m_timer);
    for (auto &[id, server] : m_servers) {
        if (server.call != 0)
            m_client.cancel(std::exchange(server.call, 0));
    }
}

// One server at each tick: the calls are spread over the interval.
template <polled_document Document>
void server_poller<Document>::pollNext()
{
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(m_servers.size(), 1));
    m_timer = m_loop.callAfter(m_options.interval / count, [this] { pollNext(); });
    if (m_servers.empty())
        return;
    auto next = m_servers.upper_bound(m_last);
    if (next == m_servers.end())
        next = m_servers.begin();
    m_last = next->first;
    const bool heard = next->second.heardAt != steady_time{}
        && m_clock.now() - next->second.heardAt < m_options.interval;
    if (next->second.call == 0 && !heard)
        poll(next->first, next->second);
}

template <polled_document Document>
void server_poller<Document>::poll(const backend_server_id &id, polled_server &server)
{
    ++m_counts.calls;
    server.status = 0;
    server.body.clear();
    net::http_call call;
    call.address = server.address;
    call.method = "GET";
    call.path = Document::path(server.state);
    call.connectTimeout = m_options.timeout;
    call.timeout = m_options.timeout;
    call.maxResponseBytes = Document::MaxAnswerBytes;
    net::call_events events;
    // A server that is no longer in the map has had its call cancelled, so that these find it.
    events.onHead = [this, id](int status, const net::header_list &) {
        m_servers.at(id).status = status;
    };
    events.onBody = [this, id](std::string_view bytes) { m_servers.at(id).body += bytes; };
    events.onEnd = [this, id](net::call_end end) { onEnd(id, end); };
    server.call = m_client.start(std::move(call), std::move(events));
}

template <polled_document Document>
void server_poller<Document>::onEnd(const backend_server_id &id, net::call_end end)
{
    constexpr int StatusOk = 200;
    polled_server &server = m_servers.at(id);
    server.call = 0;
    std::optional<typename Document::report> report;
    if (end == net::call_end::Complete && server.status == StatusOk)
        report = Document::parse(id, server.state, server.body);
    server.body.clear();
    if (!report) {
        ++m_counts.failures;
        return;
    }
    m_onReport(std::move(*report));
}

} // namespace orchidlead::wire
