#include "gateway/relay/relay_selector.h"

#include <orchidlead/clock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const region_id Region{"r"};

relay_candidate candidate(const std::string &vm, const std::string &dataCenter,
                          const region_id &region = Region)
{
    return {vm_id(vm), {"10.0.0.1", 1}, data_center_id(dataCenter), region};
}

struct selector_test
{
    manual_clock clock;
    relay_selector selector{clock, data_center_id("own"), 1};
};

} // namespace

TEST_CASE("relay_selector: peers of the own data centre are chosen before others")
{
    selector_test t;
    t.selector.setCandidates({candidate("far", "other"), candidate("near", "own")});
    for (int i = 0; i < 20; ++i)
        CHECK(t.selector.choose(Region)->vm.value == "near");
    t.selector.onRefused(vm_id("near"), relay_result::CutOff);
    CHECK(t.selector.choose(Region)->vm.value == "far");
}

TEST_CASE("relay_selector: no peer of another region is chosen")
{
    selector_test t;
    t.selector.setCandidates({candidate("a", "own", region_id("elsewhere"))});
    CHECK_FALSE(t.selector.choose(Region));
    CHECK(t.selector.choose(region_id("elsewhere")));
}

TEST_CASE("relay_selector: a peer that refused is chosen again after a while, a full one soonest")
{
    selector_test t;
    t.selector.setCandidates({candidate("a", "own")});
    t.selector.onRefused(vm_id("a"), relay_result::Busy);
    CHECK_FALSE(t.selector.choose(Region));
    t.clock.advance(milliseconds{100});
    CHECK(t.selector.choose(Region));
    t.selector.onRefused(vm_id("a"), std::nullopt);
    t.clock.advance(milliseconds{999});
    CHECK_FALSE(t.selector.choose(Region));
    t.clock.advance(milliseconds{1});
    CHECK(t.selector.choose(Region));
}

// Guards against trying only peers that lost their servers together with this node.
TEST_CASE("relay_selector: a data centre where a relay failed is chosen as a last resort")
{
    selector_test t;
    t.selector.setCandidates({candidate("a", "own"), candidate("b", "own"), candidate("c", "x")});
    const data_center_id own("own");
    for (int i = 0; i < 20; ++i)
        CHECK(t.selector.choose(Region, {own})->vm.value == "c");
    CHECK(t.selector.choose(Region, {own, data_center_id("x")}));
}

// Guards against sending half of all calls to a relay that is suspended.
TEST_CASE("relay_selector: a peer that left a call unanswered is chosen if others are slow as well")
{
    selector_test t;
    t.selector.setCandidates({candidate("a", "own"), candidate("b", "x")});
    REQUIRE(t.selector.choose(Region)->vm.value == "a");
    t.selector.onUnanswered(vm_id("a"));
    int chosen = 0;
    for (int i = 0; i < 40; ++i)
        chosen += t.selector.choose(Region)->vm.value == "a" ? 1 : 0;
    CHECK(chosen < 20); // both draws have to be of this peer
    t.selector.onUnanswered(vm_id("b"));
    CHECK(t.selector.choose(Region)->vm.value == "a");
    t.clock.advance(milliseconds{1000});
    CHECK(t.selector.choose(Region)->vm.value == "a");
}

// Guards against offering a node of a large data centre no peer but those beside it.
TEST_CASE("relay_selector: peers of other data centres are considered however many near ones are")
{
    selector_test t;
    std::vector<relay_candidate> all;
    for (int i = 0; i < 500; ++i)
        all.push_back(candidate("near" + std::to_string(i), "own"));
    for (int i = 0; i < 3; ++i)
        all.push_back(candidate("far" + std::to_string(i), "x"));
    t.selector.setCandidates(all);
    CHECK(t.selector.choose(Region)->dataCenter.value == "own");
    CHECK(t.selector.choose(Region, {data_center_id("own")})->dataCenter.value == "x");
}

namespace {

constexpr int CallsPerNode = 40;
constexpr int DataCenters = 4;

/// Returns the calls of the nodes of whole data centres for which no relay was found.
int countUnrelayed(int nodes, int cutDataCenters)
{
    manual_clock clock;
    std::vector<relay_candidate> all;
    for (int i = 0; i < nodes; ++i)
        all.push_back(candidate(std::to_string(i), "dc" + std::to_string(i % DataCenters)));
    const auto isCutOff = [&](int node) { return node % DataCenters < cutDataCenters; };
    int unrelayed = 0;
    for (int node = 0; node < nodes; ++node) {
        if (!isCutOff(node))
            continue;
        const auto &own = all[static_cast<std::size_t>(node)].dataCenter;
        relay_selector selector(clock, own, static_cast<std::uint32_t>(node));
        selector.setCandidates(all);
        for (int call = 0; call < CallsPerNode; ++call) {
            std::vector<data_center_id> failed;
            bool relayed = false;
            for (std::uint32_t i = 0; i < MaxRelaysTried && !relayed; ++i) {
                const auto chosen = selector.choose(Region, failed);
                if (!chosen)
                    break;
                relayed = !isCutOff(std::stoi(chosen->vm.value));
                if (relayed) {
                    selector.onStarted(chosen->vm);
                } else {
                    selector.onRefused(chosen->vm, relay_result::CutOff);
                    failed.push_back(chosen->dataCenter);
                }
            }
            unrelayed += relayed ? 0 : 1;
        }
    }
    return unrelayed;
}

/// How the calls of the cut-off part of a fleet in four data centres spread over the rest.
struct relay_spread
{
    int cutOff = 0;
    double mean = 0; ///< calls for each node that relays
    int largest = 0; ///< calls of the busiest relay
    int refusals = 0; ///< by peers that are cut off as well
};

// Nodes with the lowest numbers are cut off. Their calls don't end, so the spread shows the choice.
relay_spread spreadOf(int nodes, int cutOff)
{
    manual_clock clock;
    std::vector<relay_candidate> all;
    for (int i = 0; i < nodes; ++i)
        all.push_back(candidate(std::to_string(i), "dc" + std::to_string(i % DataCenters)));
    std::map<std::string, int> calls;
    relay_spread spread;
    spread.cutOff = cutOff;
    for (int node = 0; node < cutOff; ++node) {
        relay_selector selector(clock, data_center_id("dc" + std::to_string(node % DataCenters)),
                                static_cast<std::uint32_t>(node));
        selector.setCandidates(all);
        for (int i = 0; i < CallsPerNode; ++i) {
            auto chosen = selector.choose(Region);
            while (chosen && std::stoi(chosen->vm.value) < cutOff) {
                selector.onRefused(chosen->vm, relay_result::CutOff);
                ++spread.refusals;
                chosen = selector.choose(Region);
            }
            REQUIRE(chosen);
            selector.onStarted(chosen->vm);
            spread.largest = std::max(spread.largest, ++calls[chosen->vm.value]);
        }
    }
    spread.mean = static_cast<double>(cutOff) * CallsPerNode / (nodes - cutOff);
    return spread;
}

} // namespace

// A third and a half of 8, 86 and 350 nodes send their calls through the rest.
TEST_CASE("relay_selector: the calls of cut-off nodes spread evenly over the others")
{
    const auto nodes = GENERATE(8, 86, 350);
    const auto divisor = GENERATE(3, 2);
    const auto spread = spreadOf(nodes, nodes / divisor);
    INFO(nodes << " nodes, " << spread.cutOff << " cut off, mean " << spread.mean << ", largest "
               << spread.largest << ", refusals " << spread.refusals);
    CHECK(spread.largest <= 2 * spread.mean + 4);
}

// Guards against refusing the first callers of data centres that are cut off whole.
TEST_CASE("relay_selector: each call of data centres that are cut off whole finds a relay")
{
    const auto nodes = GENERATE(8, 86, 350, 1000);
    const auto cutDataCenters = GENERATE(1, 2);
    INFO(nodes << " nodes, data centres cut off " << cutDataCenters << " of " << DataCenters);
    CHECK(countUnrelayed(nodes, cutDataCenters) == 0);
}

TEST_CASE("figures of the time that a new list of relays takes", "[.figures]")
{
    constexpr int Lists = 1000;
    for (const int nodes : {8, 86, 350, 700}) {
        selector_test t;
        std::vector<relay_candidate> all;
        for (int i = 0; i < nodes; ++i)
            all.push_back(candidate(std::to_string(i), "dc" + std::to_string(i % DataCenters)));
        const auto began = std::chrono::steady_clock::now();
        for (int i = 0; i < Lists; ++i)
            t.selector.setCandidates(all);
        const std::chrono::duration<double, std::micro> took =
            std::chrono::steady_clock::now() - began;
        std::cout << nodes << " nodes: us for each list " << took.count() / Lists << '\n';
    }
}

TEST_CASE("figures of the spread of relayed calls", "[.figures]")
{
    for (const int nodes : {8, 86, 350, 700}) {
        for (const int divisor : {3, 2}) {
            const auto began = std::chrono::steady_clock::now();
            const auto spread = spreadOf(nodes, nodes / divisor);
            const std::chrono::duration<double, std::micro> took =
                std::chrono::steady_clock::now() - began;
            std::cout << nodes << " nodes, " << spread.cutOff << " cut off: mean " << spread.mean
                      << ", largest " << spread.largest << ", refusals for each cut-off node "
                      << static_cast<double>(spread.refusals) / spread.cutOff
                      << ", us for each call " << took.count() / (spread.cutOff * CallsPerNode)
                      << '\n';
        }
    }
}
