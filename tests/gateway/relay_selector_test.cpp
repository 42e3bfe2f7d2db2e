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

namespace {

constexpr int CallsPerNode = 40;

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
        all.push_back(candidate(std::to_string(i), "dc" + std::to_string(i % 4)));
    std::map<std::string, int> calls;
    relay_spread spread;
    spread.cutOff = cutOff;
    for (int node = 0; node < cutOff; ++node) {
        relay_selector selector(clock, data_center_id("dc" + std::to_string(node % 4)),
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
