#include "gateway/exchange/retry_allowance.h"

#include <catch2/catch.hpp>

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
