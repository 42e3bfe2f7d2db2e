#include "gateway/publication/relay_tree.h"

#include <orchidlead/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

/// Nodes of one data centre in the order that all of them compute.
std::vector<vm_id> makeOrder(std::size_t nodes)
{
    std::vector<vm_id> all;
    for (std::size_t i = 0; i < nodes; ++i)
        all.emplace_back("node-" + std::to_string(i));
    return rendezvousPick("order", all, nodes);
}

std::map<vm_id, std::vector<vm_id>> sourcesOfAll(const std::vector<vm_id> &order)
{
    std::map<vm_id, std::vector<vm_id>> sources;
    for (const auto &each : order)
        sources[each] = positionInTree(each, order).sources;
    return sources;
}

} // namespace

TEST_CASE("in a small data centre all nodes follow both readers of the store")
{
    const auto order = makeOrder(10);
    for (const auto &each : order) {
        const auto place = positionInTree(each, order);
        const bool reads = each == order[0] || each == order[1];
        INFO(each.value);
        CHECK(place.level == (reads ? 0 : 1));
        CHECK(place.sources.size() == (reads ? 1 : 2));
        for (const auto &source : place.sources)
            CHECK((source == order[0] || source == order[1]));
    }
}

// Each node sends every change, and heartbeats several times a second, to its followers. If all
// nodes followed only two readers, the load of the readers would grow with the fleet.
TEST_CASE("the number of followers of a node and the depth of the tree stay small in a large fleet")
{
    const std::size_t nodes = GENERATE(17, 50, 100, 200, 400, 1000);
    const auto order = makeOrder(nodes);
    std::map<vm_id, std::size_t> followers;
    std::size_t deepest = 0;
    for (const auto &each : order) {
        const auto place = positionInTree(each, order);
        deepest = std::max(deepest, place.level);
        for (const auto &source : place.sources)
            ++followers[source];
    }
    const auto most = std::ranges::max_element(followers, {}, [](const auto &entry) {
                          return entry.second;
                      })->second;
    INFO(nodes << " nodes: " << most << " followers at most, " << deepest << " steps");
    CHECK(most <= 20);
    CHECK(deepest <= 5);
}

TEST_CASE("sources precede their followers in the order, so the tree has no cycles")
{
    const auto order = makeOrder(300);
    const auto placeOf = [&](const vm_id &vm) {
        return std::ranges::find(order, vm) - order.begin();
    };
    for (const auto &[vm, sources] : sourcesOfAll(order)) {
        if (positionInTree(vm, order).level == 0)
            continue;
        REQUIRE(sources.size() == 2);
        CHECK(sources[0] != sources[1]);
        for (const auto &source : sources)
            CHECK(placeOf(source) < placeOf(vm));
    }
}

TEST_CASE("when a node stops, few other nodes change their sources")
{
    const auto order = makeOrder(120);
    const auto before = sourcesOfAll(order);
    for (const std::size_t ended : {0U, 5U, 30U, 100U}) {
        auto left = order;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(ended));
        std::size_t changed = 0;
        for (auto [vm, sources] : sourcesOfAll(left)) {
            auto earlier = before.at(vm);
            std::ranges::sort(earlier);
            std::ranges::sort(sources);
            changed += earlier == sources ? 0 : 1;
        }
        INFO("place " << ended << ": " << changed << " nodes");
        CHECK(changed <= 40);
    }
}

TEST_CASE("a leaving node has sources and is not a reader")
{
    const auto order = makeOrder(40);
    const auto place = positionInTree(vm_id("leaving"), order);
    CHECK(place.level > 0);
    CHECK(place.sources.size() == 2);
    CHECK(positionInTree(vm_id("leaving"), {}).sources.empty());
}
