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

TEST_CASE("evacuation changes apply in the order of their store revisions")
{
    evacuation_state state;
    CHECK(state.applyChange(A, true, 5));
    CHECK(state.isEvacuated(A));
    CHECK_FALSE(state.applyChange(A, true, 6));
    CHECK(state.applyChange(A, false, 7));
    CHECK_FALSE(state.isEvacuated(A));
}

TEST_CASE("repeated and outdated evacuation changes have no effect")
{
    evacuation_state state;
    REQUIRE(state.applyChange(A, true, 5));
    REQUIRE(state.applyChange(A, false, 9));
    state.advanceRevision(12);
    CHECK_FALSE(state.applyChange(A, true, 5));
    CHECK_FALSE(state.replaceIfNewer({11, {A, B}}));
    CHECK(state.list().dataCenters.empty());
    CHECK(state.replaceIfNewer({13, {B}}));
    CHECK(state.isEvacuated(B));
}

TEST_CASE("an evacuation list with the same revision is ignored")
{
    evacuation_state state;
    REQUIRE(state.replaceIfNewer({4, {A}}));
    CHECK_FALSE(state.replaceIfNewer({4, {}}));
    CHECK(state.isEvacuated(A));
}

TEST_CASE("evacuation lists received in any order result in the latest list")
{
    std::array<evacuation_list, 5> lists{{{3, {A}}, {8, {A, B}}, {11, {B}}, {17, {}}, {20, {A}}}};
    std::mt19937 random(7);
    for (int round = 0; round < 100; ++round) {
        std::ranges::shuffle(lists, random);
        evacuation_state state;
        for (const auto &each : lists)
            state.replaceIfNewer(each);
        CHECK(state.list() == evacuation_list{20, {A}});
    }
}
