#include <orchidlead/clock.h>

#include <catch2/catch.hpp>

#include <ctime>

using namespace orchidlead;

TEST_CASE("the monotonic time of system_clock_source includes suspensions of the machine")
{
    // CLOCK_BOOTTIME is the only monotonic system clock that includes suspensions.
    timespec sinceBoot{};
    REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &sinceBoot) == 0);
    const auto expected = std::chrono::seconds{sinceBoot.tv_sec};
    const auto read = system_clock_source().now().time_since_epoch();
    INFO("expected " << expected.count() << " s");
    CHECK(read >= expected);
    CHECK(read < expected + std::chrono::seconds{60});
}
