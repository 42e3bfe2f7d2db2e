#include "gateway/publication/evacuations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const data_center_id A("a");
const data_center_id B("b");

} // namespace

TEST_CASE("changes come into force in the order in which the store took them")
{
    evacuation_state state;
    CHECK(state.onChange(A, true, 5));
    CHECK(state.holds(A));
    CHECK_FALSE(state.onChange(A, true, 6));
    CHECK(state.onChange(A, false, 7));
    CHECK_FALSE(state.holds(A));
}

TEST_CASE("what is told again, or late, changes nothing")
{
    evacuation_state state;
    REQUIRE(state.onChange(A, true, 5));
    REQUIRE(state.onChange(A, false, 9));
    state.knowUpTo(12);
    CHECK_FALSE(state.onChange(A, true, 5));
    CHECK_FALSE(state.take({11, {A, B}}));
    CHECK(state.list().dataCenters.empty());
    CHECK(state.take({13, {B}}));
    CHECK(state.holds(B));
}

TEST_CASE("a list that is as new says nothing")
{
    evacuation_state state;
    REQUIRE(state.take({4, {A}}));
    CHECK_FALSE(state.take({4, {}}));
    CHECK(state.holds(A));
}

TEST_CASE("a node that hears lists in any order ends with the latest")
{
    std::array<evacuation_list, 5> lists{{{3, {A}}, {8, {A, B}}, {11, {B}}, {17, {}}, {20, {A}}}};
    std::mt19937 random(7);
    for (int round = 0; round < 100; ++round) {
        std::ranges::shuffle(lists, random);
        evacuation_state state;
        for (const auto &each : lists)
            state.take(each);
        CHECK(state.list() == evacuation_list{20, {A}});
    }
}
