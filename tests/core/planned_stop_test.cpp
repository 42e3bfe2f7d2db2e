#include "core/node/planned_stop.h"

#include <catch2/catch.hpp>

using namespace orchidlead;

namespace {

constexpr milliseconds Notice{5000};
constexpr milliseconds Drain{30000};
constexpr milliseconds Close{1000};

struct stop_harness
{
    void tickAfter(milliseconds time)
    {
        clock.advance(time);
        (void)stop.tick(progress);
    }

    manual_clock clock;
    planned_stop stop{{Notice, Drain, Close}, clock};
    stop_progress progress;
};

} // namespace

TEST_CASE("a node that was not asked to stop keeps running")
{
    stop_harness harness;
    harness.progress = {true, true, true, {}};
    harness.tickAfter(std::chrono::hours{10});
    CHECK(harness.stop.phase() == stop_phase::Running);
}

TEST_CASE("an idle node serves for the whole notice period")
{
    stop_harness harness;
    harness.progress = {true, true, true, {}};
    harness.stop.begin();
    harness.tickAfter(Notice - milliseconds{1});
    CHECK(harness.stop.phase() == stop_phase::Noticing);
    harness.tickAfter(milliseconds{1});
    CHECK(harness.stop.phase() == stop_phase::Draining);
}

TEST_CASE("a stop waits for open requests and the key handover and then for the last answers")
{
    stop_harness harness;
    harness.stop.begin();
    harness.tickAfter(Notice);
    harness.progress.idle = true;
    harness.tickAfter(milliseconds{1});
    CHECK(harness.stop.phase() == stop_phase::Draining);
    harness.progress.keysHandedOver = true;
    harness.tickAfter(milliseconds{1});
    CHECK(harness.stop.phase() == stop_phase::Closing);
    harness.tickAfter(Close);
    CHECK(harness.stop.phase() == stop_phase::Stopped);
}

TEST_CASE("an open request extends the drain phase to its deadline")
{
    stop_harness harness;
    harness.progress.lastDeadline = harness.clock.now() + Notice + 2 * Drain;
    harness.stop.begin();
    harness.tickAfter(Notice);
    harness.tickAfter(2 * Drain);
    CHECK(harness.stop.phase() == stop_phase::Draining);
}

TEST_CASE("a request that outlives its deadline does not block the stop")
{
    stop_harness harness;
    harness.stop.begin();
    harness.tickAfter(Notice);
    harness.tickAfter(Drain - milliseconds{1});
    CHECK(harness.stop.phase() == stop_phase::Draining);
    harness.tickAfter(milliseconds{1});
    CHECK(harness.stop.phase() == stop_phase::Closing);
}

TEST_CASE("keys that no peer takes over do not block the stop of an idle node")
{
    stop_harness harness;
    harness.progress = {true, false, false, {}};
    harness.stop.begin();
    harness.tickAfter(Notice);
    harness.tickAfter(Drain);
    CHECK(harness.stop.phase() == stop_phase::Closing);
}

TEST_CASE("a second begin does not restart the stop")
{
    stop_harness harness;
    harness.stop.begin();
    harness.tickAfter(Notice);
    harness.stop.begin();
    CHECK(harness.stop.phase() == stop_phase::Draining);
}
