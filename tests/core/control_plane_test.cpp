// Runs membership and configuration managers of many nodes against each other under random faults.
#include "core/control_fake_network.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstdlib>
#include <iostream>

using namespace orchidlead;
using namespace orchidlead::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261202;
constexpr milliseconds InForceBound{4000};

/// Never returns to an older version, but serves before its configuration is confirmed.
struct serve_unconfirmed_policy : monotonic_version_policy
{
    static constexpr bool ConfirmBeforeServing = false;
};

template <class Network>
void settle(Network &net, std::size_t nodes, std::size_t dataCenters)
{
    net.publish(1, "one");
    net.addFleet(nodes, dataCenters);
    net.runUntil([&] { return net.agreed() && net.inForce(1); }, 60s);
    REQUIRE(net.agreed());
    REQUIRE(net.inForce(1));
}

template <class Network>
bool anyRegressed(Network &net)
{
    for (std::size_t i = 0; i < net.size(); ++i) {
        if (net.at(i).regressed)
            return true;
    }
    return false;
}

/// Applies random faults and changes to a fleet of eight nodes in four data centres.
template <class Policy>
class fault_script
{
public:
    static constexpr std::size_t Nodes = 8;

    explicit fault_script(std::uint64_t seed)
        : m_net(seed)
        , m_random(seed)
    {
        m_net.publish(1, "one");
        m_net.addFleet(Nodes, 4);
        m_net.run(10s);
    }

    void runSteps(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
            m_net.run(milliseconds{randomBelow(3000)});
        }
    }

    /// Ends all faults and gives the fleet time to recover.
    void repair()
    {
        m_net.heal();
        m_net.cutPlatform({});
        m_net.setServiceUp(true);
        m_net.faults = {};
        for (std::size_t i = 0; i < Nodes; ++i) {
            if (!m_net.at(i).running)
                m_net.start(i);
            if (m_net.at(i).paused)
                m_net.wake(i);
        }
        m_net.listWithout({}); // for nodes that started without the platform
        m_net.run(30s);
    }

    control_fake_network<Policy> &network() { return m_net; }
    [[nodiscard]] std::uint64_t publishNext()
    {
        ++m_version;
        m_net.publish(m_version, "version " + std::to_string(m_version));
        return m_version;
    }

private:
    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    void step()
    {
        const auto index = static_cast<std::size_t>(randomBelow(Nodes));
        auto &node = m_net.at(index);
        switch (randomBelow(12)) {
        case 0:
            return m_net.kill(index);
        case 1:
            return m_net.start(index); // restarts a running node, replaces a killed one
        case 2:
            return m_net.pause(index);
        case 3:
            if (node.running && node.paused)
                m_net.wake(index);
            return;
        case 4:
            return m_net.cut({{"dc-" + std::to_string(randomBelow(4)), 1}});
        case 5:
            return m_net.heal();
        case 6:
            return m_net.cutPlatform({static_cast<int>(randomBelow(3))});
        case 7:
            return m_net.setServiceUp(randomBelow(2) == 0);
        case 8:
            m_net.faults = {randomBelow(3) * 0.1, randomBelow(2) * 0.05, 1ms,
                            milliseconds{5 + randomBelow(60)}};
            return;
        case 9: // the service returns to an earlier version
            return m_net.publish(1 + randomBelow(m_version), "version stale");
        case 10:
            ++m_version;
            return m_net.publish(m_version, "invalid " + std::to_string(m_version));
        default:
            (void)publishNext();
        }
    }

    control_fake_network<Policy> m_net;
    std::mt19937_64 m_random;
    std::uint64_t m_version = 1;
};

} // namespace

TEST_CASE("a published version is in force on all nodes within 4 s")
{
    const auto nodes = GENERATE(8, 56);
    control_fake_network<> net(Seed);
    settle(net, nodes, nodes / 2 < 7 ? 4 : 7);
    net.faults = {0.05, 0.01, 1ms, 30ms};
    for (std::uint64_t version = 2; version < 22; ++version) {
        net.publish(version, "version " + std::to_string(version));
        const auto taken = net.runUntil([&] { return net.inForce(version); }, 2 * InForceBound);
        CAPTURE(nodes, version, taken.count());
        CHECK(taken <= InForceBound);
        net.run(1s);
    }
}

TEST_CASE("a data centre that was cut off gets the current version within 4 s of reconnecting")
{
    control_fake_network<> net(Seed);
    settle(net, 24, 4);
    // One data centre loses the platform and the other data centres.
    net.cut({{"dc-2", 2}});
    net.cutPlatform({2});
    net.run(1s);
    net.publish(2, "two");
    net.run(1s);
    CHECK(net.inForce(2, 0));
    CHECK(net.inForce(1, 2));
    net.heal();
    const auto taken = net.runUntil([&] { return net.inForce(2); }, 2 * InForceBound);
    CAPTURE(taken.count());
    CHECK(taken <= InForceBound);
}

TEST_CASE("a version is in force within 4 s after all readers of a data centre were killed")
{
    control_fake_network<> net(Seed);
    settle(net, 40, 4);
    int killed = 0;
    for (std::size_t i = 0; i < net.size(); ++i) {
        if (net.at(i).vm.dataCenter.value == "dc-0" && net.at(i).manager->isReader()) {
            net.kill(i);
            ++killed;
        }
    }
    REQUIRE(killed == 3);
    net.publish(2, "two");
    const auto taken = net.runUntil([&] { return net.inForce(2); }, 2 * InForceBound);
    CAPTURE(taken.count());
    CHECK(taken <= InForceBound);
}

TEST_CASE("the read rate at the configuration service does not grow with the fleet")
{
    std::map<std::size_t, std::uint64_t> calls;
    for (const std::size_t nodes : {16, 48}) {
        control_fake_network<> net(Seed);
        settle(net, nodes, 4);
        net.run(60s);
        const auto before = net.serviceCalls();
        net.run(5min);
        calls[nodes] = net.serviceCalls() - before;
    }
    CAPTURE(calls[16], calls[48]);
    INFO("12 readers, each with a watch of 30 s: 24 calls a minute");
    CHECK(calls[16] <= 5 * 24 + 12);
    CHECK(calls[48] <= 5 * 24 + 12);
}

TEST_CASE("a rolling restart with a stale service keeps the newest version")
{
    control_fake_network<> net(Seed);
    settle(net, 8, 4);
    net.publish(5, "five");
    net.run(5s);
    REQUIRE(net.inForce(5));
    net.publish(3, "three");
    for (std::size_t i = 0; i < net.size(); ++i) {
        net.start(i);
        net.run(10s);
        CAPTURE(i);
        CHECK(net.at(i).manager->readyToServe());
        CHECK(net.at(i).manager->stamp().version == 5);
    }
    CHECK(net.inForce(5));
}

TEST_CASE("without confirmation a restarted node serves the version of a stale service")
{
    control_fake_network<serve_unconfirmed_policy> net(Seed);
    settle(net, 8, 4);
    net.publish(5, "five");
    net.run(5s);
    REQUIRE(net.inForce(5));
    net.publish(3, "three");
    net.faults = {0, 0, 20ms, 40ms}; // the service answers faster than the peers
    bool servedStale = false;
    for (std::size_t i = 0; i < net.size(); ++i) {
        net.start(i);
        for (int step = 0; step < 400; ++step) {
            net.run(5ms);
            const auto &manager = *net.at(i).manager;
            servedStale = servedStale || (manager.readyToServe() && manager.stamp().version == 3);
        }
    }
    CHECK(servedStale);
}

TEST_CASE("versions never regress and the fleet converges after random faults")
{
    std::uint64_t events = 0;
    rc::prop("", [&events] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        fault_script<monotonic_version_policy> script(seed);
        script.runSteps(40);
        auto &net = script.network();
        RC_ASSERT(!anyRegressed(net));
        script.repair();
        const auto version = script.publishNext();
        const auto taken = net.runUntil([&] { return net.inForce(version); }, 2 * InForceBound);
        events += net.events();
        RC_LOG(std::to_string(taken.count()) + " ms to version " + std::to_string(version));
        RC_ASSERT(taken <= InForceBound);
        RC_ASSERT(net.agreed());
        RC_ASSERT(!anyRegressed(net));
        for (std::size_t i = 0; i < net.size(); ++i)
            RC_ASSERT(net.at(i).manager->readyToServe());
    });
    std::cout << "control plane: " << events << " events\n";
}

TEST_CASE("random faults cause a regression when nodes accept any offered version")
{
    int regressed = 0;
    constexpr int Scripts = 20;
    for (int i = 0; i < Scripts; ++i) {
        fault_script<unchecked_policy> script(Seed + i);
        script.runSteps(40);
        regressed += anyRegressed(script.network()) ? 1 : 0;
    }
    CAPTURE(regressed);
    CHECK(regressed >= Scripts / 4);
}
