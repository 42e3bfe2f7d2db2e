#include "gateway/peers/data_center_reachability.h"

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
    data_center_reachability reachability{clock, Own};

    /// Ticks every 100 ms over the span; returns whether an event of this type occurred.
    bool seen(reachability_event_type type, milliseconds span)
    {
        bool found = false;
        for (milliseconds passed{0}; passed < span; passed += milliseconds{100}) {
            clock.advance(milliseconds{100});
            const auto events = reachability.tick();
            found = found || std::ranges::any_of(events, [&](const reachability_event &each) {
                        return each.type == type && each.dataCenter == Other;
                    });
        }
        return found;
    }
};

} // namespace

TEST_CASE("a data centre without any signal so far is considered reachable")
{
    fixture world;
    CHECK_FALSE(world.seen(reachability_event_type::Lost, milliseconds{5000}));
    CHECK(world.reachability.isReachable(Other));
}

TEST_CASE("a silent data centre and its servers are probed, and it is lost after half a second")
{
    fixture world;
    world.reachability.onLivenessSignal(Other);
    world.reachability.onTraffic(Other);
    CHECK_FALSE(world.seen(reachability_event_type::ProbePeers, milliseconds{100}));
    CHECK(world.seen(reachability_event_type::ProbePeers, milliseconds{100}));
    CHECK(world.seen(reachability_event_type::ProbeServers, milliseconds{200}));
    CHECK(world.reachability.isReachable(Other));
    CHECK(world.seen(reachability_event_type::Lost, milliseconds{200}));
    CHECK_FALSE(world.reachability.isReachable(Other));
}

TEST_CASE("one liveness signal keeps a data centre reachable, and makes a lost one reachable")
{
    fixture world;
    world.reachability.onLivenessSignal(Other);
    world.reachability.onTraffic(Other);
    CHECK_FALSE(world.seen(reachability_event_type::Lost, milliseconds{400}));
    world.reachability.onLivenessSignal(Other);
    CHECK_FALSE(world.seen(reachability_event_type::Lost, milliseconds{400}));
    CHECK(world.seen(reachability_event_type::Lost, milliseconds{200}));
    world.reachability.onLivenessSignal(Other);
    CHECK(world.seen(reachability_event_type::Regained, milliseconds{100}));
    CHECK(world.reachability.isReachable(Other));
}

TEST_CASE("probes to a data centre and its servers continue after it is lost")
{
    fixture world;
    world.reachability.onLivenessSignal(Other);
    world.reachability.onTraffic(Other);
    CHECK(world.seen(reachability_event_type::Lost, milliseconds{600}));
    CHECK(world.seen(reachability_event_type::ProbePeers, milliseconds{400}));
    CHECK(world.seen(reachability_event_type::ProbeServers, milliseconds{400}));
}

TEST_CASE("a pause of this process does not count as silence of a data centre")
{
    fixture world;
    world.reachability.onLivenessSignal(Other);
    world.reachability.onTraffic(Other);
    world.clock.advance(milliseconds{3000});
    CHECK(world.reachability.tick().empty());
    CHECK(world.reachability.isReachable(Other));
}

TEST_CASE("a node's own data centre is always reachable")
{
    fixture world;
    world.reachability.onLivenessSignal(Own);
    world.seen(reachability_event_type::Lost, milliseconds{2000});
    CHECK(world.reachability.isReachable(Own));
}

// Guards against constant probes from each node to each data centre.
TEST_CASE("a data centre without work of this node is probed later and lost later")
{
    fixture world;
    world.reachability.onLivenessSignal(Other);
    CHECK_FALSE(world.seen(reachability_event_type::ProbePeers, milliseconds{2400}));
    CHECK(world.seen(reachability_event_type::ProbePeers, milliseconds{200}));
    CHECK_FALSE(world.seen(reachability_event_type::Lost, milliseconds{600}));
    CHECK(world.seen(reachability_event_type::Lost, milliseconds{200}));
    CHECK_FALSE(world.reachability.isReachable(Other));
}

TEST_CASE("the short limits of silence apply from the first use of a data centre on, for a while")
{
    fixture world;
    world.reachability.onLivenessSignal(Other);
    CHECK_FALSE(world.seen(reachability_event_type::Lost, milliseconds{1800}));
    world.reachability.onTraffic(Other);
    CHECK_FALSE(world.seen(reachability_event_type::Lost, milliseconds{400}));
    world.reachability.onLivenessSignal(Other);
    CHECK(world.seen(reachability_event_type::ProbePeers, milliseconds{300}));
    world.reachability.onLivenessSignal(Other);
    for (int i = 0; i < 30; ++i) {
        world.reachability.onLivenessSignal(Other);
        CHECK_FALSE(world.seen(reachability_event_type::Lost, milliseconds{100}));
    }
    CHECK_FALSE(world.seen(reachability_event_type::ProbePeers, milliseconds{800}));
}

TEST_CASE("a lost data centre is probed until it answers, also when it is no longer used")
{
    fixture world;
    world.reachability.onLivenessSignal(Other);
    world.reachability.onTraffic(Other);
    CHECK(world.seen(reachability_event_type::Lost, milliseconds{600}));
    world.seen(reachability_event_type::Lost, milliseconds{20'000});
    CHECK(world.seen(reachability_event_type::ProbePeers, milliseconds{400}));
    world.reachability.onLivenessSignal(Other);
    CHECK(world.seen(reachability_event_type::Regained, milliseconds{100}));
}
