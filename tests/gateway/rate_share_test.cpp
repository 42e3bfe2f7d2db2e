#include "bench/fleet/peer_fleet.h"
#include "gateway/servers/rate_pacer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

/// Requests that rate-limited servers get (cold ones, or ones with a limit of their own) when nodes
/// divide the limits among themselves without exchanging messages about it. Nodes start, are killed
/// and are partitioned from each other, and each node sends whenever its share allows it.
using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

enum class sharing {
    EachNode, ///< each node has an equal share
    Host, ///< the host of the server's pool has the whole share
};

/// The rate that servers can handle, and the number of requests that the platform allows to reach
/// one server within a time window.
struct server_capacity
{
    double rate = 1.0;
    bool limited = false; ///< by an announced rate limit; else the server is cold
    [[nodiscard]] std::chrono::seconds window() const
    {
        return std::chrono::seconds{limited ? 4 : 1};
    }
    [[nodiscard]] double bound() const
    {
        return 1.5 * rate * static_cast<double>(window().count()) + 5.0;
    }
};

struct fleet_shape
{
    std::size_t nodes = 4;
    std::size_t dataCenters = 2;
    std::size_t servers = 1;
};

struct outcome
{
    std::size_t maxInWindow = 0; ///< requests that reached one server within any window
    double utilization = 0.0; ///< of all servers in the steady phase
};

constexpr milliseconds Step{50};
// Interval at which nodes update their shares: in this simulation an update costs more than
// sending.
constexpr milliseconds ShareRefreshInterval{250};
constexpr milliseconds SteadyFrom{4000};
constexpr milliseconds PartitionAt{10'000};
constexpr milliseconds HealAt{14'000};
constexpr milliseconds KillAt{17'000};
constexpr milliseconds StartAt{18'500};
constexpr milliseconds End{25'000};
// Longest time that a request takes to arrive: nodes are busy, and connections have to be opened.
constexpr milliseconds MaxNetworkDelay{150};

class fleet_simulation
{
public:
    fleet_simulation(const fleet_shape &shape, const server_capacity &capacity, sharing sharingMode,
                     std::uint32_t seed)
        : m_shape(shape)
        , m_capacity(capacity)
        , m_sharingMode(sharingMode)
        , m_random(seed)
        , m_fleet(shape.nodes, shape.dataCenters, seed)
        , m_shares(shape.nodes, std::vector<double>(shape.servers, 0.0))
        , m_paces(shape.nodes)
        , m_paceStarts(shape.nodes, 0)
        , m_arrivals(shape.servers)
    {
        for (std::size_t i = 0; i < shape.servers; ++i) {
            server each;
            each.record.id = backend_server_id("i-" + std::to_string(i));
            each.record.service = service_id("s");
            each.record.dataCenter = data_center_id("dc-" + std::to_string(i % shape.dataCenters));
            if (capacity.limited) {
                each.rateLimit = capacity.rate;
            } else {
                each.coldStart.requestsPerSecond = capacity.rate;
                each.coldUntil = m_fleet.clock().now() + 2 * End;
            }
            m_servers.push_back(std::move(each));
        }
    }

    outcome run()
    {
        m_fleet.startAll(milliseconds{300});
        for (milliseconds at{0}; at < End; at += Step) {
            if (at == PartitionAt)
                m_fleet.cut([this](std::size_t from, std::size_t to) {
                    return m_fleet.dataCenterOf(from) == m_fleet.dataCenterOf(to);
                });
            if (at == HealAt)
                m_fleet.cut({});
            if (at == KillAt)
                killHalf();
            if (at == StartAt)
                m_fleet.start(m_killed, milliseconds{1000});
            m_fleet.run(Step);
            if (at % ShareRefreshInterval == milliseconds{0})
                refreshShares();
            sendAll();
        }
        return summary();
    }

private:
    void killHalf()
    {
        for (std::size_t i = 0; i < m_shape.nodes; i += 2) {
            m_fleet.kill(i);
            m_killed.push_back(i);
        }
    }
    double shareOf(std::size_t node, const server &which)
    {
        auto &view = m_fleet.view(node);
        const auto &record = which.record;
        if (m_sharingMode == sharing::EachNode)
            return 1.0 / static_cast<double>(view.nodes());
        return view.rateShare({record.service, record.dataCenter});
    }
    void refreshShares()
    {
        for (std::size_t node = 0; node < m_shape.nodes; ++node) {
            for (std::size_t i = 0; i < m_servers.size(); ++i)
                m_shares[node][i] = m_fleet.runs(node) ? shareOf(node, m_servers[i]) : 0.0;
        }
    }
    void sendAll()
    {
        for (std::size_t node = 0; node < m_shape.nodes; ++node) {
            if (!m_fleet.runs(node))
                continue;
            auto &pace = m_paces[node];
            if (!pace
                || std::exchange(m_paceStarts[node], m_fleet.starts(node)) != m_fleet.starts(node))
                pace = std::make_unique<rate_pacer>(m_fleet.clock());
            for (std::size_t i = 0; i < m_servers.size(); ++i)
                send(node, i);
        }
    }
    void send(std::size_t node, std::size_t index)
    {
        if (!m_paces[node]->allows(m_servers[index], m_shares[node][index]))
            return;
        m_paces[node]->onSent(m_servers[index], m_shares[node][index]);
        std::uniform_int_distribution<std::int64_t> networkDelay(1, MaxNetworkDelay.count());
        m_arrivals[index].push_back(m_fleet.clock().now() + milliseconds{networkDelay(m_random)});
    }
    outcome summary()
    {
        outcome found;
        std::size_t steadyCount = 0;
        const auto begin = m_fleet.clock().now() - End;
        for (auto &each : m_arrivals) {
            std::ranges::sort(each);
            std::size_t first = 0;
            for (std::size_t last = 0; last < each.size(); ++last) {
                while (each[last] - each[first] >= m_capacity.window())
                    ++first;
                found.maxInWindow = std::max(found.maxInWindow, last - first + 1);
            }
            steadyCount +=
                static_cast<std::size_t>(std::ranges::count_if(each, [&](steady_time at) {
                    return at >= begin + SteadyFrom && at < begin + PartitionAt;
                }));
        }
        const std::chrono::duration<double> span = PartitionAt - SteadyFrom;
        found.utilization = static_cast<double>(steadyCount)
            / (m_capacity.rate * span.count() * static_cast<double>(m_shape.servers));
        return found;
    }

    fleet_shape m_shape;
    server_capacity m_capacity;
    sharing m_sharingMode;
    std::mt19937 m_random;
    peer_fleet m_fleet;
    std::vector<server> m_servers;
    std::vector<std::vector<double>> m_shares; ///< by node and server
    std::vector<std::unique_ptr<rate_pacer>> m_paces;
    std::vector<std::uint64_t> m_paceStarts; ///< by node: the start that its pacer is for
    std::vector<std::vector<steady_time>> m_arrivals; ///< by server
    std::vector<std::size_t> m_killed;
};

constexpr server_capacity LowColdRate{1.0};
constexpr server_capacity HighColdRate{6.7};
constexpr server_capacity LowLimit{1.0, true};
constexpr server_capacity HighLimit{25.0, true};
constexpr std::uint32_t Seed = 11;

} // namespace

TEMPLATE_TEST_CASE_SIG(
    "servers get no more than their limit while nodes start, fail and are partitioned", "",
    ((std::size_t Nodes, std::size_t Servers, std::size_t Load), Nodes, Servers, Load), (4, 1, 0),
    (4, 1, 1), (4, 1, 2), (4, 1, 3), (4, 12, 0), (4, 12, 1), (4, 12, 2), (4, 12, 3), (86, 3, 0),
    (86, 3, 1), (86, 3, 2), (86, 3, 3))
{
    const auto capacity = std::array{LowColdRate, HighColdRate, LowLimit, HighLimit}[Load];
    const auto found = fleet_simulation({Nodes, 4, Servers}, capacity, sharing::Host, Seed).run();
    INFO("rate " << capacity.rate << (capacity.limited ? ", limited" : ", cold"));
    CHECK(static_cast<double>(found.maxInWindow) <= capacity.bound());
}

TEST_CASE("cold servers get two thirds of their rate in the steady phase")
{
    const auto found = fleet_simulation({86, 4, 3}, HighColdRate, sharing::Host, Seed).run();
    CHECK(found.utilization >= 0.66);
}

TEST_CASE("limited servers get nearly all of their limit in the steady phase")
{
    const auto found = fleet_simulation({86, 4, 3}, LowLimit, sharing::Host, Seed).run();
    CHECK(found.utilization >= 0.95);
}

TEST_CASE("figures of the modes of sharing rate limits", "[.figures]")
{
    for (const auto &shape : {fleet_shape{4, 2, 1}, fleet_shape{4, 2, 140}, fleet_shape{86, 4, 1},
                              fleet_shape{86, 4, 36}, fleet_shape{86, 4, 140},
                              fleet_shape{350, 7, 1}, fleet_shape{350, 7, 140}}) {
        for (const auto &capacity : {LowColdRate, HighColdRate, LowLimit, HighLimit}) {
            for (const auto sharingMode : {sharing::EachNode, sharing::Host}) {
                outcome worst;
                worst.utilization = 1.0;
                for (const std::uint32_t seed : {11U, 12U, 13U}) {
                    const auto found = fleet_simulation(shape, capacity, sharingMode, seed).run();
                    worst.maxInWindow = std::max(worst.maxInWindow, found.maxInWindow);
                    worst.utilization = std::min(worst.utilization, found.utilization);
                }
                std::cout << shape.nodes << " nodes, " << shape.servers << " servers, rate "
                          << capacity.rate << (capacity.limited ? " limited" : " cold")
                          << ", sharing mode " << static_cast<int>(sharingMode)
                          << ": max in window " << worst.maxInWindow << " of " << capacity.bound()
                          << ", utilization " << worst.utilization << std::endl;
            }
        }
    }
}
