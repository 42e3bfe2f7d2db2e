#include "gateway/servers/rate_pacer.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr double RatePerSecond = 4.0;
constexpr milliseconds Step{10};

struct fixture
{
    manual_clock clock;
    rate_pacer pace{clock};
    server cold;

    fixture()
    {
        cold.record.id = backend_server_id("i-1");
        cold.record.service = service_id("s");
        cold.coldUntil = clock.now() + std::chrono::seconds{60};
        cold.coldStart.requestsPerSecond = RatePerSecond;
    }
    /// Sends requests for this time whenever the pacer allows it; returns how many were sent.
    int sendFor(milliseconds time, double share)
    {
        int sent = 0;
        for (milliseconds passed{0}; passed < time; passed += Step) {
            if (pace.allows(cold, share)) {
                pace.onSent(cold, share);
                ++sent;
            }
            clock.advance(Step);
        }
        return sent;
    }
};

} // namespace

TEST_CASE("a cold server gets three quarters of its rate from a node with the whole share")
{
    // Each step may delay a request by itself, so slightly fewer than 60 are sent.
    fixture f;
    const int sent = f.sendFor(std::chrono::seconds{20}, 1.0);
    CHECK(sent <= 60);
    CHECK(sent >= 58);
}

TEST_CASE("a node sends in proportion to its share, and nothing without a share")
{
    fixture f;
    const int sent = f.sendFor(std::chrono::seconds{20}, 0.5);
    CHECK(sent <= 30);
    CHECK(sent >= 29);
    CHECK(f.sendFor(std::chrono::seconds{20}, 0.0) == 0);
}

TEST_CASE("a cold server gets no burst after an idle period")
{
    fixture f;
    f.pace.onSent(f.cold, 1.0);
    f.clock.advance(std::chrono::seconds{20});
    CHECK(f.sendFor(std::chrono::seconds{1}, 1.0) <= 4);
}

TEST_CASE("a server that is warm or whose service sets no cold rate is not limited")
{
    fixture f;
    f.cold.coldUntil = f.clock.now();
    CHECK(f.pace.allows(f.cold, 0.0));
    f.cold.coldUntil = f.clock.now() + std::chrono::seconds{60};
    f.cold.coldStart.requestsPerSecond = 0.0;
    CHECK(f.pace.allows(f.cold, 0.0));
}

TEST_CASE("each start of a cold server is paced separately")
{
    fixture f;
    f.pace.onSent(f.cold, 1.0);
    CHECK_FALSE(f.pace.allows(f.cold, 1.0));
    auto other = f.cold;
    other.record.id = backend_server_id("i-2");
    CHECK(f.pace.allows(other, 1.0));
    auto again = f.cold;
    again.record.startedAt = 77;
    CHECK(f.pace.allows(again, 1.0));
}

TEST_CASE("a limited server gets its full rate, and a short burst after an idle period")
{
    constexpr double Limit = 20.0;
    fixture f;
    f.cold.coldUntil = f.clock.now();
    f.cold.rateLimit = Limit;
    const int first = f.sendFor(std::chrono::seconds{10}, 1.0);
    CHECK(first >= 200);
    CHECK(first <= 204);
    f.clock.advance(std::chrono::seconds{5});
    int burst = 0;
    for (; f.pace.allows(f.cold, 1.0); ++burst)
        f.pace.onSent(f.cold, 1.0);
    CHECK(burst == 4);
}

TEST_CASE("a server with a limit of zero gets one request every four seconds")
{
    fixture f;
    f.cold.coldUntil = f.clock.now();
    f.cold.rateLimit = 0.0;
    CHECK(f.sendFor(std::chrono::seconds{40}, 1.0) == 10);
}

TEST_CASE("the lower of two limits applies")
{
    fixture f;
    f.cold.rateLimit = 1.0;
    CHECK(f.sendFor(std::chrono::seconds{20}, 1.0) == 20);
    f.cold.rateLimit = 1000.0;
    CHECK(f.sendFor(std::chrono::seconds{20}, 1.0) <= 61);
}

TEST_CASE("scheduled requests are spaced at the rate of the limit")
{
    fixture f;
    f.cold.coldUntil = f.clock.now();
    f.cold.rateLimit = 2.0;
    const auto begin = f.clock.now();
    for (int i = 0; i < 4; ++i) {
        CHECK(f.pace.nextAllowedAt(f.cold, 1.0) - begin == milliseconds{500} * i);
        f.pace.onSent(f.cold, 1.0);
    }
}
