#include "bench/fleet/peer_fleet.h"
#include "gateway/servers/rate_pace.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

/// How many requests servers get that bear only so many, cold or with a limit of their own, when
/// nodes share that without a word to each other, while nodes start, are killed, and are cut from
/// each other: every node sends whenever it may.
using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

enum class way {
    EachNode, ///< each node has an equal part
    Host, ///< the host of the server's pool
};

/// What servers bear, and what the platform allows to reach one within a span of time.
struct bounded_load
{
    double rate = 1.0;
    bool limited = false; ///< by the server's own word; else it is cold
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
    std::size_t most = 0; ///< that reached a server within any second
    double part = 0.0; ///< of what all servers could bear, that they got in the calm part
};

constexpr milliseconds Step{50};
// Nodes look at their part of what a server bears so often: looking costs more than sending here.
constexpr milliseconds LookEach{250};
constexpr milliseconds CalmFrom{4000};
constexpr milliseconds CutAt{10'000};
constexpr milliseconds HealAt{14'000};
constexpr milliseconds KillAt{17'000};
constexpr milliseconds StartAt{18'500};
constexpr milliseconds End{25'000};
// Requests are on their way for so long at most: nodes are busy, and connections are opened.
constexpr milliseconds LongestWay{150};

class emulation
{
public:
    emulation(const fleet_shape &shape, const bounded_load &load, way how, std::uint32_t seed)
        : m_shape(shape)
        , m_load(load)
        , m_how(how)
        , m_random(seed)
        , m_fleet(shape.nodes, shape.dataCenters, seed)
        , m_shares(shape.nodes, std::vector<double>(shape.servers, 0.0))
        , m_paces(shape.nodes)
        , m_paceOf(shape.nodes, 0)
        , m_arrivals(shape.servers)
    {
        for (std::size_t i = 0; i < shape.servers; ++i) {
            server each;
            each.record.id = backend_server_id("i-" + std::to_string(i));
            each.record.service = service_id("s");
            each.record.dataCenter = data_center_id("dc-" + std::to_string(i % shape.dataCenters));
            if (load.limited) {
                each.rateLimit = load.rate;
            } else {
                each.coldStart.rate = load.rate;
                each.coldUntil = m_fleet.clock().now() + 2 * End;
            }
            m_servers.push_back(std::move(each));
        }
    }

    outcome run()
    {
        m_fleet.startAll(milliseconds{300});
        for (milliseconds at{0}; at < End; at += Step) {
            if (at == CutAt)
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
            if (at % LookEach == milliseconds{0})
                lookAtShares();
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
        if (m_how == way::EachNode)
            return 1.0 / static_cast<double>(view.nodes());
        return view.rateShare({record.service, record.dataCenter});
    }
    void lookAtShares()
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
                || std::exchange(m_paceOf[node], m_fleet.starts(node)) != m_fleet.starts(node))
                pace = std::make_unique<rate_pace>(m_fleet.clock());
            for (std::size_t i = 0; i < m_servers.size(); ++i)
                send(node, i);
        }
    }
    void send(std::size_t node, std::size_t index)
    {
        if (!m_paces[node]->allows(m_servers[index], m_shares[node][index]))
            return;
        m_paces[node]->onSent(m_servers[index], m_shares[node][index]);
        std::uniform_int_distribution<std::int64_t> onWay(1, LongestWay.count());
        m_arrivals[index].push_back(m_fleet.clock().now() + milliseconds{onWay(m_random)});
    }
    outcome summary()
    {
        outcome found;
        std::size_t calm = 0;
        const auto begin = m_fleet.clock().now() - End;
        for (auto &each : m_arrivals) {
            std::ranges::sort(each);
            std::size_t first = 0;
            for (std::size_t last = 0; last < each.size(); ++last) {
                while (each[last] - each[first] >= m_load.window())
                    ++first;
                found.most = std::max(found.most, last - first + 1);
            }
            calm += static_cast<std::size_t>(std::ranges::count_if(each, [&](steady_time at) {
                return at >= begin + CalmFrom && at < begin + CutAt;
            }));
        }
        const std::chrono::duration<double> span = CutAt - CalmFrom;
        found.part = static_cast<double>(calm)
            / (m_load.rate * span.count() * static_cast<double>(m_shape.servers));
        return found;
    }

    fleet_shape m_shape;
    bounded_load m_load;
    way m_how;
    std::mt19937 m_random;
    peer_fleet m_fleet;
    std::vector<server> m_servers;
    std::vector<std::vector<double>> m_shares; ///< by node and server
    std::vector<std::unique_ptr<rate_pace>> m_paces;
    std::vector<std::uint64_t> m_paceOf; ///< the start of its node
    std::vector<std::vector<steady_time>> m_arrivals; ///< by server
    std::vector<std::size_t> m_killed;
};

constexpr bounded_load FewWhileCold{1.0};
constexpr bounded_load ManyWhileCold{6.7};
constexpr bounded_load LowLimit{1.0, true};
constexpr bounded_load HighLimit{25.0, true};
constexpr std::uint32_t Seed = 11;

} // namespace

TEMPLATE_TEST_CASE_SIG("servers get no more than they bear, whatever becomes of the nodes", "",
                       ((std::size_t Nodes, std::size_t Servers, std::size_t Load), Nodes, Servers,
                        Load),
                       (4, 1, 0), (4, 1, 1), (4, 1, 2), (4, 1, 3), (4, 12, 0), (4, 12, 1),
                       (4, 12, 2), (4, 12, 3), (86, 3, 0), (86, 3, 1), (86, 3, 2), (86, 3, 3))
{
    const auto load = std::array{FewWhileCold, ManyWhileCold, LowLimit, HighLimit}[Load];
    const auto found = emulation({Nodes, 4, Servers}, load, way::Host, Seed).run();
    INFO("rate " << load.rate << (load.limited ? ", limited" : ", cold"));
    CHECK(static_cast<double>(found.most) <= load.bound());
}

TEST_CASE("cold servers get two thirds of what they bear while nothing disturbs the nodes")
{
    const auto found = emulation({86, 4, 3}, ManyWhileCold, way::Host, Seed).run();
    CHECK(found.part >= 0.66);
}

TEST_CASE("limited servers get what they take while nothing disturbs the nodes")
{
    const auto found = emulation({86, 4, 3}, LowLimit, way::Host, Seed).run();
    CHECK(found.part >= 0.95);
}

TEST_CASE("the figures of the ways to share what servers bear", "[.figures]")
{
    for (const auto &shape : {fleet_shape{4, 2, 1}, fleet_shape{4, 2, 140}, fleet_shape{86, 4, 1},
                              fleet_shape{86, 4, 36}, fleet_shape{86, 4, 140},
                              fleet_shape{350, 7, 1}, fleet_shape{350, 7, 140}}) {
        for (const auto &load : {FewWhileCold, ManyWhileCold, LowLimit, HighLimit}) {
            for (const auto how : {way::EachNode, way::Host}) {
                outcome worst;
                worst.part = 1.0;
                for (const std::uint32_t seed : {11U, 12U, 13U}) {
                    const auto found = emulation(shape, load, how, seed).run();
                    worst.most = std::max(worst.most, found.most);
                    worst.part = std::min(worst.part, found.part);
                }
                std::cout << shape.nodes << " nodes, " << shape.servers << " servers, rate "
                          << load.rate << (load.limited ? " limited" : " cold") << ", way "
                          << static_cast<int>(how) << ": most " << worst.most << " of "
                          << load.bound() << ", part " << worst.part << std::endl;
            }
        }
    }
}
