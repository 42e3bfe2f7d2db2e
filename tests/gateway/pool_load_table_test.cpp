#include "gateway/stages/pool_load_table.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const pool_key PoolA{service_id("s"), data_center_id("a")};
const pool_key PoolB{service_id("s"), data_center_id("b")};
const pool_key PoolC{service_id("s"), data_center_id("c")};
constexpr std::uint32_t FullCall = 8;

struct fixture
{
    manual_clock clock;
    pool_load_table table{clock};

    void report(const pool_key &pool, std::uint32_t idleServers = 2)
    {
        pool_load load;
        load.pool = pool;
        load.idleServers = idleServers;
        table.onReport(load);
    }
};

} // namespace

TEST_CASE("the wait of a rank covers the pieces of more urgent ranks")
{
    pool_load load;
    load.waits = {{{0, 0}, milliseconds{50}}, {{1, 0}, milliseconds{200}}};
    CHECK(load.waitOf({0, 0}) == milliseconds{50});
    CHECK(load.waitOf({0, 5}) == milliseconds{50});
    CHECK(load.waitOf({2, 0}) == milliseconds{200});
}

// Guards against decisions by a load that has long changed: the host is slow, or a link is broken.
TEST_CASE("a report of another pool is used for 300 ms")
{
    fixture f;
    CHECK_FALSE(f.table.find(PoolA, PoolB));
    f.report(PoolB);
    f.clock.advance(milliseconds{300});
    REQUIRE(f.table.find(PoolA, PoolB));
    CHECK(f.table.find(PoolA, PoolB)->age == milliseconds{300});
    f.clock.advance(milliseconds{1});
    CHECK_FALSE(f.table.find(PoolA, PoolB));
}

// Guards against filling the same idle servers twice: by decisions between two reports, and by a
// report that was sent before the redirected pieces arrived.
TEST_CASE("redirected pieces count until a report can contain them")
{
    fixture f;
    f.report(PoolB);
    f.table.onRedirected(PoolB, 8, 800);
    f.table.onRedirected(PoolB, 4, 400);
    CHECK(f.table.find(PoolA, PoolB)->sentPieces == 12);
    CHECK(f.table.find(PoolA, PoolB)->sentResultBytes == 1200);
    f.clock.advance(milliseconds{10});
    f.report(PoolB);
    CHECK(f.table.find(PoolA, PoolB)->sentPieces == 12);
    f.clock.advance(milliseconds{100});
    f.report(PoolB);
    CHECK(f.table.find(PoolA, PoolB)->sentPieces == 0);
}

TEST_CASE("a pool that received pieces sends none back for a while, and may send to a third pool")
{
    fixture f;
    f.table.onReceived(PoolA, PoolB);
    f.report(PoolB);
    f.report(PoolC);
    CHECK_FALSE(f.table.find(PoolA, PoolB));
    CHECK(f.table.find(PoolA, PoolC));
    CHECK(f.table.find(PoolC, PoolB));
    f.clock.advance(milliseconds{700});
    f.report(PoolB);
    CHECK(f.table.find(PoolA, PoolB));
}

TEST_CASE("a pool is reported every 100 ms while pieces wait, and once after the last have left")
{
    fixture f;
    CHECK_FALSE(f.table.takeReport(PoolA, 0, FullCall));
    CHECK(f.table.takeReport(PoolA, 20, FullCall));
    f.clock.advance(milliseconds{99});
    CHECK_FALSE(f.table.takeReport(PoolA, 50, FullCall));
    f.clock.advance(milliseconds{1});
    CHECK(f.table.takeReport(PoolA, 20, FullCall));
    f.clock.advance(milliseconds{100});
    CHECK(f.table.takeReport(PoolA, 0, FullCall));
    f.clock.advance(milliseconds{100});
    CHECK_FALSE(f.table.takeReport(PoolA, 0, FullCall));
}

TEST_CASE("a change by no more than a full call to no waiting pieces is not reported")
{
    fixture f;
    CHECK(f.table.takeReport(PoolA, FullCall, FullCall));
    f.clock.advance(milliseconds{100});
    CHECK_FALSE(f.table.takeReport(PoolA, 0, FullCall));
}

TEST_CASE("reports of each asking pool are answered every 100 ms")
{
    fixture f;
    CHECK(f.table.takeAnswer(PoolA, PoolB));
    CHECK(f.table.takeAnswer(PoolA, PoolC));
    CHECK_FALSE(f.table.takeAnswer(PoolA, PoolB));
    f.clock.advance(milliseconds{100});
    CHECK(f.table.takeAnswer(PoolA, PoolB));
}
