#include "gateway/servers/cold_start_pace.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr double RatePerSecond = 4.0;
constexpr milliseconds Step{10};

struct fixture
{
    manual_clock clock;
    cold_start_pace pace{clock};
    server cold;

    fixture()
    {
        cold.record.id = backend_server_id("i-1");
        cold.record.service = service_id("s");
        cold.coldUntil = clock.now() + std::chrono::seconds{60};
        cold.coldStart.rate = RatePerSecond;
    }
    /// Sends whatever may go, for so long; gives how many went.
    int sendFor(milliseconds time, double share)
    {
        int sent = 0;
        for (milliseconds passed{0}; passed < time; passed += Step) {
            if (pace.allows(cold, share)) {
                pace.onSent(cold);
                ++sent;
            }
            clock.advance(Step);
        }
        return sent;
    }
};

} // namespace

TEST_CASE("a cold server gets three quarters of what it bears from the node that has all of it")
{
    // Each step may delay a request by itself, so a little less than 60.
    fixture f;
    const int sent = f.sendFor(std::chrono::seconds{20}, 1.0);
    CHECK(sent <= 60);
    CHECK(sent >= 58);
}

TEST_CASE("a node with a part of it sends so much less, and one with none nothing")
{
    fixture f;
    const int sent = f.sendFor(std::chrono::seconds{20}, 0.5);
    CHECK(sent <= 30);
    CHECK(sent >= 29);
    CHECK(f.sendFor(std::chrono::seconds{20}, 0.0) == 0);
}

TEST_CASE("what wasn't sent isn't made up for in a burst")
{
    fixture f;
    f.pace.onSent(f.cold);
    f.clock.advance(std::chrono::seconds{20});
    CHECK(f.sendFor(std::chrono::seconds{1}, 1.0) <= 4);
}

TEST_CASE("a server that is warm, or whose service names no rate, isn't bounded")
{
    fixture f;
    f.cold.coldUntil = f.clock.now();
    CHECK(f.pace.allows(f.cold, 0.0));
    f.cold.coldUntil = f.clock.now() + std::chrono::seconds{60};
    f.cold.coldStart.rate = 0.0;
    CHECK(f.pace.allows(f.cold, 0.0));
}

TEST_CASE("each cold server is paced for itself")
{
    fixture f;
    f.pace.onSent(f.cold);
    CHECK_FALSE(f.pace.allows(f.cold, 1.0));
    auto other = f.cold;
    other.record.id = backend_server_id("i-2");
    CHECK(f.pace.allows(other, 1.0));
    auto again = f.cold;
    again.record.born = 77;
    CHECK(f.pace.allows(again, 1.0));
}
