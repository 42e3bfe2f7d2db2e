#include "gateway/publication/configuration_pull.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

std::vector<vm_id> makeOrder(std::size_t count)
{
    std::vector<vm_id> order;
    for (std::size_t i = 0; i < count; ++i)
        order.emplace_back("vm-" + std::to_string(i));
    return order;
}

/// A data centre in which a version was published to the two readers. Its nodes pull the version
/// from each other over links that send one message at a time.
class pull_world
{
public:
    /// `transfer`: how long one configuration occupies the link of a node.
    pull_world(std::size_t nodes, milliseconds transfer)
        : order(makeOrder(nodes))
        , m_transfer(transfer)
        , m_inForce(nodes)
        , m_busyUntil(nodes)
    {
        for (const auto &each : order)
            m_pulls.emplace_back(m_clock, each);
    }

    void kill(std::size_t node) { m_down.insert(node); }
    void refuseAtStore() { m_storeRefuses = true; }

    /// Publishes a version, runs until all live nodes have it, and returns the elapsed time.
    milliseconds publish(std::uint64_t version)
    {
        m_version = version;
        const auto began = m_clock.now();
        for (std::size_t reader = 0; reader < 2; ++reader) {
            if (!m_down.contains(reader))
                take(reader);
        }
        for (std::size_t node = 2; node < order.size(); ++node) {
            const std::size_t announcer = m_down.contains(0) ? 1 : 0;
            m_pulls[node].onVersionAnnounced(version, order[announcer]);
            ask(node);
        }
        while (!allNodesHave() && m_clock.now() - began < milliseconds{10'000})
            step();
        return std::chrono::duration_cast<milliseconds>(m_clock.now() - began);
    }

    std::vector<vm_id> order;
    std::size_t storeCalls = 0;
    std::size_t maxSentByNode = 0; ///< largest number of configurations sent by one node

private:
    void step()
    {
        m_clock.advance(milliseconds{1});
        while (!m_events.empty() && m_events.top().at <= m_clock.now()) {
            const auto event = m_events.top();
            m_events.pop();
            event.action();
        }
        for (std::size_t node = 0; node < order.size(); ++node) {
            if (m_clock.now().time_since_epoch() / milliseconds{1} % 100 == 0)
                ask(node);
        }
    }
    void later(milliseconds delay, std::function<void()> action)
    {
        m_events.push({m_clock.now() + delay, ++m_count, std::move(action)});
    }
    [[nodiscard]] bool allNodesHave() const
    {
        for (std::size_t node = 0; node < order.size(); ++node) {
            if (m_inForce[node] != m_version && !m_down.contains(node))
                return false;
        }
        return true;
    }
    void ask(std::size_t node)
    {
        if (m_down.contains(node))
            return;
        while (const auto step = m_pulls[node].next(order)) {
            if (step->from == configuration_source::Store) {
                ++storeCalls;
                if (!m_storeRefuses)
                    later(milliseconds{10}, [this, node] { take(node); });
                continue;
            }
            const auto peer =
                static_cast<std::size_t>(std::ranges::find(order, step->peer) - order.begin());
            later(milliseconds{1}, [this, node, peer] { onRequest(peer, node); });
        }
    }
    void onRequest(std::size_t node, std::size_t from)
    {
        if (m_down.contains(node))
            return;
        if (m_inForce[node] == m_version)
            send(node, from);
        else
            m_awaiting[node].insert(from);
    }
    void send(std::size_t node, std::size_t to)
    {
        maxSentByNode = std::max(maxSentByNode, ++m_sent[node]);
        m_busyUntil[node] = std::max(m_busyUntil[node], m_clock.now()) + m_transfer;
        later(std::chrono::duration_cast<milliseconds>(m_busyUntil[node] - m_clock.now()),
              [this, to] { take(to); });
    }
    void take(std::size_t node)
    {
        if (m_inForce[node] == m_version)
            return;
        m_inForce[node] = m_version;
        m_pulls[node].onVersionInForce(m_version);
        for (const auto each : std::exchange(m_awaiting[node], {}))
            send(node, each);
    }

    struct timed_event
    {
        steady_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        friend bool operator>(const timed_event &left, const timed_event &right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    manual_clock m_clock;
    milliseconds m_transfer;
    std::vector<configuration_pull> m_pulls;
    std::vector<std::uint64_t> m_inForce;
    std::vector<steady_time> m_busyUntil;
    std::map<std::size_t, std::set<std::size_t>> m_awaiting;
    std::map<std::size_t, std::size_t> m_sent;
    std::set<std::size_t> m_down;
    bool m_storeRefuses = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_count = 0;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
};

/// The minimum bound for a configuration to be in force, minus the pause between two watches.
constexpr milliseconds Bound{1400};
/// 40 KB over 10 Mbit/s: a large configuration on the slowest link.
constexpr milliseconds LargeTransfer{32};

} // namespace

TEST_CASE("nodes of a data centre forward configurations along a tree")
{
    const auto order = makeOrder(60);
    CHECK(parentOf(order[0], order).empty());
    CHECK(parentOf(order[1], order).empty());
    CHECK(parentOf(order[2], order) == order[0]);
    CHECK(parentOf(order[6], order) == order[1]);
    CHECK(parentOf(vm_id("elsewhere"), order).empty());
    std::map<vm_id, int> children;
    for (const auto &each : order)
        ++children[parentOf(each, order)];
    children.erase(vm_id{});
    for (const auto &[parent, count] : children)
        CHECK(count <= 4);
}

// A configuration change in a large fleet: a data centre of 60 nodes, a large text and slow links.
TEST_CASE(
    "60 nodes get a version in time without store calls, and no node sends it to more than four")
{
    pull_world world(60, LargeTransfer);
    const auto taken = world.publish(7);
    INFO("took " << taken.count() << " ms, most sent " << world.maxSentByNode);
    CHECK(taken <= Bound);
    CHECK(world.storeCalls == 0);
    CHECK(world.maxSentByNode <= 4);
}

TEST_CASE("nodes whose parents have failed receive a version in time, few of them from the store")
{
    pull_world world(60, LargeTransfer);
    for (const std::size_t failed : {1U, 3U, 5U, 7U, 11U, 13U})
        world.kill(failed);
    const auto taken = world.publish(7);
    INFO("took " << taken.count() << " ms, " << world.storeCalls << " calls");
    CHECK(taken <= Bound);
    CHECK(world.storeCalls <= 12);
}

TEST_CASE("nodes receive a version in time while the store refuses all pulling nodes")
{
    pull_world world(60, LargeTransfer);
    world.refuseAtStore();
    world.kill(4);
    const auto taken = world.publish(7);
    INFO("took " << taken.count() << " ms, " << world.storeCalls << " calls");
    CHECK(taken <= Bound);
}

TEST_CASE("versions published in quick succession are each requested once")
{
    manual_clock clock;
    const auto order = makeOrder(10);
    configuration_pull pull(clock, order[9]);
    pull.onVersionAnnounced(5, order[0]);
    auto step = pull.next(order);
    REQUIRE(step);
    CHECK(step->peer == order[1]);
    pull.onVersionAnnounced(6, order[0]);
    CHECK_FALSE(pull.next(order));
    pull.onVersionInForce(5);
    step = pull.next(order);
    REQUIRE(step);
    CHECK(step->version == 6);
    CHECK(step->peer == order[1]);
    pull.onVersionInForce(6);
    CHECK_FALSE(pull.next(order));
}

TEST_CASE("a parent whose link closes is skipped at once")
{
    manual_clock clock;
    const auto order = makeOrder(10);
    configuration_pull pull(clock, order[9]);
    pull.onVersionAnnounced(5, order[0]);
    REQUIRE(pull.next(order));
    pull.onPeerFailed(order[1]);
    const auto step = pull.next(order);
    REQUIRE(step);
    CHECK(step->peer == order[0]);
}

TEST_CASE("without answers store calls become rarer and alternate with requests to the announcer")
{
    manual_clock clock;
    const auto order = makeOrder(10);
    configuration_pull pull(clock, order[9]);
    pull.onVersionAnnounced(5, order[0]);
    std::size_t store = 0;
    std::size_t peers = 0;
    for (int i = 0; i < 100; ++i) {
        while (const auto step = pull.next(order))
            ++(step->from == configuration_source::Store ? store : peers);
        clock.advance(milliseconds{100});
    }
    INFO(store << " calls to the store and " << peers << " to peers in 10 s");
    CHECK(store >= 4);
    CHECK(store <= 6);
    CHECK(peers >= 4);
}
