// Choices of several nodes while servers end. There is no network; the names of nodes and servers
// serve as the seed.
#include "gateway/exchange/exchange_limits.h"
#include "gateway/servers/server_directory.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::size_t Nodes = 4;
constexpr std::size_t Servers = 10;
/// Time after which a server that ended is replaced under a new id. Until then it is still
/// published.
constexpr milliseconds Downtime{1000};

/// Nodes that send to the servers of one service. All servers are idle, and refuse connections once
/// they have ended.
class node_group
{
public:
    node_group()
    {
        for (std::size_t i = 1; i <= Nodes; ++i) {
            m_nodes.push_back(std::make_unique<server_directory>(m_clock));
            m_nodes.back()->setSelf(vm_id("g" + std::to_string(i)));
        }
        for (std::size_t i = 1; i <= Servers; ++i)
            start();
    }

    void end(const std::string &id)
    {
        m_ended.insert(id);
        m_removals.push_back({id, m_clock.now() + Downtime});
    }

    /// Sends a request from the next node in turn.
    void request(milliseconds interval)
    {
        m_clock.advance(interval);
        removeEnded();
        auto &node = *m_nodes[m_requests++ % Nodes];
        server_query query;
        query.service = service_id("s");
        for (std::uint32_t unsent = 0; unsent < MaxUnsentAttempts; ++unsent) {
            const auto chosen = node.choose(query);
            if (!chosen)
                break;
            if (!m_ended.contains(chosen->record.id.value)) {
                node.onSending(*chosen);
                node.onAnswer(*chosen);
                ++m_served;
                return;
            }
            node.onFailure(*chosen);
            query.exclude.push_back(chosen->record.id);
        }
    }

    [[nodiscard]] std::size_t requests() const { return m_requests; }
    [[nodiscard]] std::size_t served() const { return m_served; }

private:
    struct removal
    {
        std::string id;
        steady_time at;
    };

    void start()
    {
        server_record record;
        record.id = backend_server_id("s-" + std::to_string(++m_starts));
        record.service = service_id("s");
        record.slots = 8;
        for (const auto &node : m_nodes)
            node->put(record);
    }

    void removeEnded()
    {
        while (!m_removals.empty() && m_removals.front().at <= m_clock.now()) {
            for (const auto &node : m_nodes)
                node->remove(backend_server_id(m_removals.front().id));
            m_removals.pop_front();
            start();
        }
    }

    manual_clock m_clock;
    std::vector<std::unique_ptr<server_directory>> m_nodes;
    std::set<std::string> m_ended;
    std::deque<removal> m_removals;
    std::size_t m_starts = 0;
    std::size_t m_requests = 0;
    std::size_t m_served = 0;
};

} // namespace

// Pattern: the servers of an idle service end one after the other, and the published list still
// contains them for a while. Guards against retries that prefer servers from which this node has
// had no response.
TEST_CASE("no request is refused while eight of ten servers end one after the other")
{
    const auto interval = milliseconds{GENERATE(2, 5, 10, 15, 20, 40)};
    node_group nodes;
    for (int i = 0; i < 40; ++i)
        nodes.request(interval);
    for (int i = 1; i <= 8; ++i) {
        nodes.end("s-" + std::to_string(i));
        for (int j = 0; j < 15; ++j)
            nodes.request(interval);
    }
    for (int i = 0; i < 80; ++i)
        nodes.request(interval);
    INFO("one request every " << interval.count() << " ms");
    CHECK(nodes.served() == nodes.requests());
}

// Pattern: a busy service in which servers that ended look idle.
TEST_CASE("a retry prefers a busy server with a recent response to an idle one without")
{
    manual_clock clock;
    server_directory directory(clock);
    server_query query;
    query.service = service_id("s");
    for (const auto *id : {"ended", "silent", "busy"}) {
        server_record record;
        record.id = backend_server_id(id);
        record.service = query.service;
        record.slots = 4;
        directory.put(record);
    }
    const auto busy = directory.find(backend_server_id("busy"));
    directory.onAnswer(*busy);
    busy->outstanding = 3;
    query.exclude = {backend_server_id("ended")};
    CHECK(directory.choose(query)->record.id.value == "busy");
    SECTION("the busy server is full")
    {
        busy->outstanding = 5;
        CHECK(directory.choose(query)->record.id.value == "silent");
    }
    SECTION("the response of the busy server is old")
    {
        clock.advance(milliseconds{5000});
        CHECK(directory.choose(query)->record.id.value == "silent");
    }
}
