#include "gateway/peers/process_end_detector.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const peer_process Process{vm_id("g2"), 17};
constexpr milliseconds Tick{50};

struct detector_fixture
{
    detector_fixture()
    {
        known.address = {"127.0.0.1", 7000};
        detector.onLinkClosed(Process);
    }

    /// Runs the detector for a time, with the same result of each connection attempt.
    void run(milliseconds time, connect_result result)
    {
        for (milliseconds passed{0}; passed < time; passed += Tick) {
            const auto actions = detector.tick();
            attempts += actions.connects.size();
            pings += actions.pings.size();
            ended += actions.ended.size();
            undecided += actions.undecided.size();
            clock.advance(Tick);
            for (const auto &each : actions.connects)
                detector.onConnectResult(each.process, result);
        }
    }

    manual_clock clock;
    process_knowledge known;
    process_end_detector detector{clock, [this](const peer_process &) { return known; }};
    std::size_t attempts = 0;
    std::size_t pings = 0;
    std::size_t ended = 0;
    std::size_t undecided = 0;
};

} // namespace

// Guards against results of a killed node that occupy storage until the membership notices.
TEST_CASE("process_end_detector: a process that refuses connections and stays silent has ended")
{
    detector_fixture f;
    f.run(milliseconds{500}, connect_result::Refused);
    CHECK(f.ended == 1);
    CHECK(f.attempts == 1);
    CHECK(f.pings == 1);
}

// Guards against freeing results of live requests behind a firewall that refuses connections.
TEST_CASE("process_end_detector: a process that sends a datagram after a refusal has not ended")
{
    detector_fixture f;
    for (milliseconds passed{0}; passed < milliseconds{2000}; passed += Tick) {
        f.run(Tick, connect_result::Refused);
        f.known.lastReceivedAt = f.clock.now();
        f.clock.advance(milliseconds{1});
    }
    CHECK(f.ended == 0);
    CHECK(f.attempts == process_end_detector::MaxAttempts);
}

// Guards against freeing results of live requests because a link closed, and against attempts
// without end.
TEST_CASE("process_end_detector: without a refusal the membership decides")
{
    const auto result = GENERATE(connect_result::Opened, connect_result::Unclear);
    detector_fixture f;
    f.run(milliseconds{3000}, result);
    CHECK(f.attempts == process_end_detector::MaxAttempts);
    CHECK(f.ended == 0);
    SECTION("the node dies or starts again")
    {
        f.known.hasEnded = true;
        f.run(Tick, result);
        CHECK(f.ended == 1);
    }
    SECTION("the node stays alive")
    {
        f.run(process_end_detector::MaxWatchTime, result);
        CHECK(f.ended == 0);
        CHECK(f.undecided == 1);
    }
}

TEST_CASE("process_end_detector: no connection is opened while the address isn't known")
{
    detector_fixture f;
    f.known.address.reset();
    f.run(milliseconds{1000}, connect_result::Refused);
    CHECK(f.attempts == 0);
    CHECK(f.ended == 0);
}

// Guards against a data centre whose links all close at once and use up the file descriptors, and
// against attempts that are counted as open after their process was decided about.
TEST_CASE("process_end_detector: the number of simultaneous attempts is bounded")
{
    detector_fixture f;
    const auto watchAll = [&] {
        for (incarnation start = 1; start <= 2 * process_end_detector::MaxOpenAttempts; ++start)
            f.detector.onLinkClosed({vm_id("g"), start});
        return f.detector.tick().connects.size();
    };
    CHECK(watchAll() == process_end_detector::MaxOpenAttempts);
    CHECK(f.detector.tick().connects.empty());
    f.known.hasEnded = true;
    (void)f.detector.tick();
    f.known.hasEnded = false;
    CHECK(watchAll() == process_end_detector::MaxOpenAttempts);
}
