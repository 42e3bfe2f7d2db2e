#include "gateway/servers/pool_splitter.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const service_id Service("s");

struct fixture
{
    manual_clock clock;
    server_directory directory{clock};
    pool_splitter widths{directory, {3, 2}};

    void put(const std::string &dataCenter, int first, int count, bool leaving = false)
    {
        for (int i = first; i < first + count; ++i) {
            server_record record;
            record.id = backend_server_id(dataCenter + std::to_string(i));
            record.service = Service;
            record.dataCenter = data_center_id(dataCenter);
            record.leaving = leaving;
            directory.put(record);
        }
    }
    void remove(const std::string &dataCenter, int number)
    {
        directory.remove(backend_server_id(dataCenter + std::to_string(number)));
    }
    std::string poolIn(const std::string &dataCenter)
    {
        return widths.poolFor(Service, data_center_id(dataCenter)).dataCenter.value;
    }
};

} // namespace

TEST_CASE("each data centre has its own pool if all of them have enough servers")
{
    fixture world;
    world.put("a", 0, 5);
    world.put("b", 0, 3);
    CHECK(world.poolIn("a") == "a");
    CHECK(world.poolIn("b") == "b");
}

TEST_CASE("one pool serves all data centres if one of them has few servers")
{
    fixture world;
    world.put("a", 0, 5);
    world.put("b", 0, 2);
    CHECK(world.poolIn("a").empty());
    CHECK(world.poolIn("b").empty());
}

TEST_CASE("a single data centre gets no pool of its own")
{
    fixture world;
    world.put("a", 0, 9);
    CHECK(world.poolIn("a").empty());
}

TEST_CASE("split pools stay split while the number of servers varies by one")
{
    fixture world;
    world.put("a", 0, 5);
    world.put("b", 0, 3);
    CHECK(world.poolIn("b") == "b");
    world.remove("b", 0);
    CHECK(world.poolIn("b") == "b");
    world.put("b", 1, 1, true);
    CHECK(world.poolIn("b").empty());
    world.put("b", 3, 1);
    CHECK(world.poolIn("b").empty());
    world.put("b", 4, 1);
    CHECK(world.poolIn("b") == "b");
}

TEST_CASE("a data centre without servers uses the largest pool of the others")
{
    fixture world;
    world.put("a", 0, 3);
    world.put("b", 0, 5);
    CHECK(world.poolIn("c") == "b");
}

TEST_CASE("the other pools of a split service are those of the other data centres with servers")
{
    fixture world;
    world.put("a", 0, 3);
    world.put("b", 0, 3);
    world.put("c", 0, 3, true);
    const pool_key own{Service, data_center_id("a")};
    CHECK(world.widths.otherPools(own) == std::vector<pool_key>{{Service, data_center_id("b")}});
    world.remove("b", 0);
    world.remove("b", 1);
    CHECK(world.widths.otherPools(own).empty());
}
