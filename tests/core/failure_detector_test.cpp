#include <orchidlead/failure_detector.h>

#include <catch2/catch.hpp>

using namespace orchidlead;
using std::chrono::microseconds;

namespace {

const steady_time Start{std::chrono::hours{1}};

failure_detector poolOf(std::uint32_t members)
{
    failure_detector detector;
    for (std::uint32_t slot = 0; slot < members; ++slot)
        detector.setMember(slot, true);
    return detector;
}

health_change failTimes(failure_detector &detector, std::uint32_t slot, int times, steady_time at)
{
    health_change last = health_change::None;
    for (int time = 0; time < times; ++time)
        last = detector.onFailure(slot, at);
    return last;
}

} // namespace

TEST_CASE("consecutive failures eject a server and a successful probe restores it")
{
    failure_detector detector = poolOf(6);
    CHECK(failTimes(detector, 2, 2, Start) == health_change::None);
    CHECK(detector.onSuccess(2) == health_change::None);
    CHECK(failTimes(detector, 2, 3, Start) == health_change::Ejected);
    CHECK(detector.startDueProbes(Start).empty());
    CHECK(detector.startDueProbes(Start + milliseconds{1000}) == std::vector<std::uint32_t>{2});
    CHECK(detector.health(2) == server_health::Probing);
    CHECK(detector.onSuccess(2) == health_change::Restored);
    CHECK(detector.suspectedShare() == 0.0);
}

TEST_CASE("each failed probe doubles the time until the next one up to a maximum")
{
    failure_detector detector = poolOf(6);
    failTimes(detector, 0, 3, Start);
    steady_time now = Start;
    for (const int seconds : {1, 2, 4, 8, 16, 30, 30}) {
        CAPTURE(seconds);
        REQUIRE(detector.nextProbeAt() == now + std::chrono::seconds{seconds});
        now = *detector.nextProbeAt();
        REQUIRE(detector.startDueProbes(now).size() == 1);
        CHECK(detector.onFailure(0, now) == health_change::Ejected);
    }
}

TEST_CASE("at most a fraction of the pool is ejected")
{
    failure_detector detector = poolOf(6);
    for (std::uint32_t slot = 0; slot < 6; ++slot)
        failTimes(detector, slot, 10, Start);
    CHECK(detector.suspectedShare() == Approx(2.0 / 6.0));
    failure_detector single = poolOf(1);
    CHECK(failTimes(single, 0, 10, Start) == health_change::None);
}

TEST_CASE("a removed server no longer counts as suspected")
{
    failure_detector detector = poolOf(6);
    failTimes(detector, 3, 3, Start);
    detector.setMember(3, false);
    CHECK(detector.suspectedShare() == 0.0);
    CHECK_FALSE(detector.nextProbeAt().has_value());
    CHECK(detector.onFailure(3, Start) == health_change::None);
}

TEST_CASE("the risk-aware threshold is shorter with less slack and with more suspected servers")
{
    const risk_aware_suspicion_timeout threshold;
    suspicion_input view{microseconds{50'000}, microseconds{100'000}, microseconds{10'000'000},
                         0.0};
    const microseconds relaxed = threshold.suspicionTimeout(view);
    view.suspectedShare = 0.3;
    const microseconds moreSuspected = threshold.suspicionTimeout(view);
    view.slack = microseconds{300'000};
    const microseconds urgent = threshold.suspicionTimeout(view);
    CHECK(moreSuspected < relaxed);
    CHECK(urgent < moreSuspected);
    CHECK(urgent > view.tail);
}
