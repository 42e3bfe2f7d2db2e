#include <orchidlead/clock.h>

#include <catch2/catch.hpp>

#include <ctime>

using namespace orchidlead;

TEST_CASE("system_clock_source: its time goes on while the machine is suspended")
{
    // Since boot, suspensions included: the only clock of the system that does both.
    timespec sinceBoot{};
    REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &sinceBoot) == 0);
    const auto expected = std::chrono::seconds{sinceBoot.tv_sec};
    const auto read = system_clock_source().now().time_since_epoch();
    INFO("expected " << expected.count() << " s");
    CHECK(read >= expected);
    CHECK(read < expected + std::chrono::seconds{60});
}
