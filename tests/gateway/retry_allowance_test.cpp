#include "gateway/exchange/retry_allowance.h"

#include <catch2/catch.hpp>

#include <deque>
#include <numeric>
#include <random>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const service_id Service{"s"};

int takeAll(retry_allowance &allowance)
{
    int taken = 0;
    while (allowance.tryTake(Service))
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("second tries are a share of the requests and a part of the reserve")
{
    manual_clock clock;
    retry_allowance allowance(clock, {0.2, 40.0, milliseconds{10'000}});
    allowance.setNodes(8);
    for (int i = 0; i < 100; ++i)
        allowance.onRequest(Service);
    const int taken = takeAll(allowance);
    INFO("taken " << taken);
    CHECK(taken <= 20 + 5);
    CHECK(taken >= 15);
}

TEST_CASE("what was taken counts until the window has passed")
{
    manual_clock clock;
    retry_allowance allowance(clock, {0.0, 10.0, milliseconds{10'000}});
    CHECK(takeAll(allowance) == 8);
    clock.advance(milliseconds{8'000});
    CHECK(takeAll(allowance) == 0);
    clock.advance(milliseconds{3'000});
    CHECK(takeAll(allowance) == 8);
}

TEST_CASE("all nodes together keep the reserve though none hears of the others")
{
    manual_clock clock;
    constexpr std::size_t Nodes = 6;
    int total = 0;
    for (std::size_t i = 0; i < Nodes; ++i) {
        retry_allowance allowance(clock, {0.2, 52.0, milliseconds{10'000}});
        allowance.setNodes(Nodes);
        total += takeAll(allowance);
    }
    CHECK(total <= 52);
}

TEST_CASE("second tries that couldn't be avoided use the allowance up")
{
    manual_clock clock;
    retry_allowance allowance(clock, {0.0, 10.0, milliseconds{10'000}});
    allowance.onForced(Service, 20);
    CHECK_FALSE(allowance.tryTake(Service));
}

TEST_CASE("what was taken, is left and was denied is told for each service")
{
    manual_clock clock;
    retry_allowance allowance(clock, {0.0, 10.0, milliseconds{10'000}});
    CHECK(takeAll(allowance) == 8);
    const auto usage = allowance.takeUsage();
    REQUIRE(usage.size() == 1);
    CHECK(usage.at(Service).taken == 8);
    CHECK(usage.at(Service).left == 0.0);
    CHECK(usage.at(Service).denied == 1);
    CHECK(allowance.takeUsage().at(Service).denied == 0);
}

// The pattern: more nodes than the reserve has tries, and few requests a node.
TEST_CASE("a reserve of less than one try a node is used, and not beyond the bound")
{
    const auto nodes = static_cast<std::size_t>(GENERATE(600, 1200, 2000));
    const auto requestsEach = milliseconds{GENERATE(1000, 8000)};
    constexpr double Share = 0.2;
    constexpr double Reserve = 640.0;
    constexpr milliseconds Window{10'000};
    constexpr milliseconds Step{1000};
    manual_clock clock;
    std::mt19937 random(1);
    std::uniform_real_distribution<double> place(0.0, 1.0);
    std::vector<retry_allowance> allowances;
    for (std::size_t i = 0; i < nodes; ++i) {
        allowances.emplace_back(clock,
                                retry_allowance_options{Share, Reserve, Window, place(random)});
        allowances.back().setNodes(nodes);
    }
    std::deque<double> granted; // of each step of the last window
    std::size_t asked = 0;
    std::size_t all = 0;
    for (milliseconds now{0}; now < 10 * Window; now += Step) {
        clock.advance(Step);
        double newest = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            if ((now + i * Step) % requestsEach != milliseconds{0})
                continue;
            allowances[i].onRequest(Service);
            ++asked;
            newest += allowances[i].tryTake(Service) ? 1 : 0;
        }
        all += static_cast<std::size_t>(newest);
        granted.push_back(newest);
        if (granted.size() > static_cast<std::size_t>(Window / Step))
            granted.pop_front();
        const double requests = static_cast<double>(nodes) * (Window / requestsEach + 1);
        CHECK(std::accumulate(granted.begin(), granted.end(), 0.0) <= Share * requests + Reserve);
    }
    INFO("granted " << all << " of " << asked << " by " << nodes << " nodes");
    const double allowed = 10 * Reserve + Share * static_cast<double>(asked);
    // A node that has one try in a window, and a request each eight seconds, has each second one
    // repeated.
    CHECK(static_cast<double>(all) >= 0.5 * std::min(allowed, static_cast<double>(asked)));
}
