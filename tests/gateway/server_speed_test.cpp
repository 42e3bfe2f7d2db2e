#include "engine_emulation.h"
#include "gateway/servers/server_speed.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

steady_time at(milliseconds time)
{
    return steady_time{} + std::chrono::seconds{60} + time;
}

} // namespace

TEST_CASE("server_speed: a few calls are enough to know a slow server")
{
    server_speed speed;
    for (int i = 0; i < 4; ++i)
        speed.onCall(2.0, at(milliseconds{100 * i}));
    CHECK(speed.timeFactor(at(milliseconds{300})) > 1.8);
    CHECK(speed.timeFactor(at(milliseconds{300})) <= 2.0);
}

// Guards against avoiding a server for good that was slow once.
TEST_CASE("server_speed: a record is forgotten within 5 s")
{
    server_speed speed;
    speed.onCall(4.0, at(milliseconds{0}));
    const double fresh = speed.timeFactor(at(milliseconds{0}));
    CHECK(fresh > 2.0);
    CHECK(speed.timeFactor(at(milliseconds{2500})) == Approx((fresh + 1) / 2));
    CHECK(speed.timeFactor(at(milliseconds{5000})) == 1.0);
    CHECK(server_speed{}.timeFactor(at(milliseconds{0})) == 1.0);
}

TEST_CASE("server_speed: a single call has a bounded effect")
{
    server_speed speed;
    speed.onCall(1000.0, at(milliseconds{0}));
    CHECK(speed.timeFactor(at(milliseconds{0})) < 3.0);
}

TEST_CASE("server_speed: a report has its full weight when new and none after 300 ms")
{
    const reported_time report{250, at(milliseconds{0})};
    CHECK(reportedTimeFactor(report, at(milliseconds{0})) == Approx(2.5));
    CHECK(reportedTimeFactor(report, at(milliseconds{150})) == Approx(1.75));
    CHECK(reportedTimeFactor(report, at(milliseconds{300})) == 1.0);
    CHECK(reportedTimeFactor(std::nullopt, at(milliseconds{0})) == 1.0);
    CHECK(reportedTimeFactor(reported_time{0, at(milliseconds{0})}, at(milliseconds{0})) > 0.0);
}

namespace {

/// Returns the outcome of 90 engines at 0.6, 1.0 and 1.6 times the nominal time under noisy
/// neighbours, a third of whose prompts have 17,000 tokens and the others 1,500.
engine_emulation::outcome runUnevenEngines(std::uint32_t seed, disabled_policies without)
{
    engine_emulation emulation({.engines = 90,
                                .speeds = {0.6, 1.0, 1.6},
                                .noisyNeighbours = true,
                                .without = std::move(without),
                                .seed = seed},
                               1);
    std::minstd_rand random(seed);
    std::uniform_int_distribution<int> kind(0, 2);
    int count = 0;
    const auto arrivals = poissonArrivals(random, 160.0, 0, 15, [&] {
        const std::uint32_t tokens = kind(random) == 0 ? 17'000 : 1'500;
        return engine_emulation::arrival{.prompt = {{"own" + std::to_string(++count), tokens}},
                                         .answerTime = 1.5};
    });
    for (const auto &each : arrivals)
        emulation.add(each);
    return emulation.run();
}

} // namespace

// Load: engines of uneven speed. Guards against costs in tokens, which are the same for an engine
// that takes 1.6 times as long as another one.
TEST_CASE("server_speed: engines of uneven speed answer sooner if their speeds are learnt")
{
    double learnt = 0;
    double without = 0;
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        learnt += runUnevenEngines(seed, {}).meanFirstToken();
        without += runUnevenEngines(seed, {policy::ServerSpeeds}).meanFirstToken();
    }
    INFO("mean time to the first token (s): " << learnt / 3 << ", without: " << without / 3);
    CHECK(learnt < 0.9 * without);
}
