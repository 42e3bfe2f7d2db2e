#include "gateway/stages/decaying_rate.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE("the estimate converges to a steady rate within a few seconds")
{
    manual_clock clock;
    decaying_rate rate;
    for (int i = 0; i < 400; ++i) {
        clock.advance(milliseconds{25});
        rate.onEvent(clock.now());
    }
    CHECK(rate.perSecond(clock.now()) == Approx(40.0).epsilon(0.05));
}

TEST_CASE("the estimated rate decays after the events end")
{
    manual_clock clock;
    decaying_rate rate;
    for (int i = 0; i < 100; ++i)
        rate.onEvent(clock.now());
    clock.advance(milliseconds{5000});
    CHECK(rate.perSecond(clock.now()) < 1.0);
}
