#include "gateway/exchange/answer_time_model.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

// Guards against an estimate from so few requests that it says nothing.
TEST_CASE("the time of a route is unknown until several of its requests have ended")
{
    answer_time_model model;
    for (int i = 0; i < 3; ++i)
        model.onEnd("a", milliseconds{300});
    CHECK_FALSE(model.estimateFor("a"));
    model.onEnd("a", milliseconds{300});
    CHECK(model.estimateFor("a"));
    CHECK_FALSE(model.estimateFor("b"));
}

// Guards against taking the time of an average request for that of almost all requests.
TEST_CASE("the longest expected time exceeds all of a regular series of times")
{
    answer_time_model model;
    for (int i = 0; i < 40; ++i)
        model.onEnd("a", milliseconds{i % 2 == 0 ? 200 : 1000});
    const auto found = model.estimateFor("a");
    REQUIRE(found);
    CHECK(found->average > milliseconds{400});
    CHECK(found->average < milliseconds{800});
    CHECK(found->longest > milliseconds{1000});
}

// Guards against an estimate that stays with the times of a load that has passed.
TEST_CASE("the expected time follows a change of the load")
{
    answer_time_model model;
    for (int i = 0; i < 40; ++i)
        model.onEnd("a", milliseconds{5000});
    for (int i = 0; i < 40; ++i)
        model.onEnd("a", milliseconds{100});
    CHECK(model.estimateFor("a")->longest < milliseconds{1000});
}
