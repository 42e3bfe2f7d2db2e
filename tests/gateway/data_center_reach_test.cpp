#include "gateway/peers/data_center_reach.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const data_center_id Own("own");
const data_center_id Other("other");

struct fixture
{
    manual_clock clock;
    data_center_reach reach{clock, Own};

    /// Ticks every 100 ms for so long; tells whether a step came.
    bool seen(reach_step step, milliseconds span)
    {
        bool found = false;
        for (milliseconds passed{0}; passed < span; passed += milliseconds{100}) {
            clock.advance(milliseconds{100});
            const auto events = reach.tick();
            found = found || std::ranges::any_of(events, [&](const reach_event &each) {
                        return each.step == step && each.dataCenter == Other;
                    });
        }
        return found;
    }
};

} // namespace

TEST_CASE("a data centre that was never heard of counts as reached")
{
    fixture world;
    CHECK_FALSE(world.seen(reach_step::Lost, milliseconds{5000}));
    CHECK(world.reach.reaches(Other));
}

TEST_CASE("a silent data centre is asked, its servers too, and is lost after half a second")
{
    fixture world;
    world.reach.onHeard(Other);
    world.reach.onUse(Other);
    CHECK_FALSE(world.seen(reach_step::AskPeers, milliseconds{100}));
    CHECK(world.seen(reach_step::AskPeers, milliseconds{100}));
    CHECK(world.seen(reach_step::AskServers, milliseconds{200}));
    CHECK(world.reach.reaches(Other));
    CHECK(world.seen(reach_step::Lost, milliseconds{200}));
    CHECK_FALSE(world.reach.reaches(Other));
}

TEST_CASE("one sign of life keeps a data centre, and brings a lost one back")
{
    fixture world;
    world.reach.onHeard(Other);
    world.reach.onUse(Other);
    CHECK_FALSE(world.seen(reach_step::Lost, milliseconds{400}));
    world.reach.onHeard(Other);
    CHECK_FALSE(world.seen(reach_step::Lost, milliseconds{400}));
    CHECK(world.seen(reach_step::Lost, milliseconds{200}));
    world.reach.onHeard(Other);
    CHECK(world.seen(reach_step::Regained, milliseconds{100}));
    CHECK(world.reach.reaches(Other));
}

TEST_CASE("a lost data centre goes on being asked")
{
    fixture world;
    world.reach.onHeard(Other);
    world.reach.onUse(Other);
    CHECK(world.seen(reach_step::Lost, milliseconds{600}));
    CHECK(world.seen(reach_step::AskPeers, milliseconds{400}));
    CHECK(world.seen(reach_step::AskServers, milliseconds{400}));
}

TEST_CASE("a pause of this process isn't taken for silence of the others")
{
    fixture world;
    world.reach.onHeard(Other);
    world.reach.onUse(Other);
    world.clock.advance(milliseconds{3000});
    CHECK(world.reach.tick().empty());
    CHECK(world.reach.reaches(Other));
}

TEST_CASE("the own data centre is always reached")
{
    fixture world;
    world.reach.onHeard(Own);
    world.seen(reach_step::Lost, milliseconds{2000});
    CHECK(world.reach.reaches(Own));
}

// Guards against questions that each node sends to each data centre all the time.
TEST_CASE("a data centre where this node has no work is asked seldom, and lost later")
{
    fixture world;
    world.reach.onHeard(Other);
    CHECK_FALSE(world.seen(reach_step::AskPeers, milliseconds{2400}));
    CHECK(world.seen(reach_step::AskPeers, milliseconds{200}));
    CHECK_FALSE(world.seen(reach_step::Lost, milliseconds{600}));
    CHECK(world.seen(reach_step::Lost, milliseconds{200}));
    CHECK_FALSE(world.reach.reaches(Other));
}

TEST_CASE(
    "the silence of a data centre counts from its first use on, and is looked into for a while")
{
    fixture world;
    world.reach.onHeard(Other);
    CHECK_FALSE(world.seen(reach_step::Lost, milliseconds{1800}));
    world.reach.onUse(Other);
    CHECK_FALSE(world.seen(reach_step::Lost, milliseconds{400}));
    world.reach.onHeard(Other);
    CHECK(world.seen(reach_step::AskPeers, milliseconds{300}));
    world.reach.onHeard(Other);
    for (int i = 0; i < 30; ++i) {
        world.reach.onHeard(Other);
        CHECK_FALSE(world.seen(reach_step::Lost, milliseconds{100}));
    }
    CHECK_FALSE(world.seen(reach_step::AskPeers, milliseconds{800}));
}

TEST_CASE("a lost data centre is asked until it answers, used or not")
{
    fixture world;
    world.reach.onHeard(Other);
    world.reach.onUse(Other);
    CHECK(world.seen(reach_step::Lost, milliseconds{600}));
    world.seen(reach_step::Lost, milliseconds{20'000});
    CHECK(world.seen(reach_step::AskPeers, milliseconds{400}));
    world.reach.onHeard(Other);
    CHECK(world.seen(reach_step::Regained, milliseconds{100}));
}
