#include "gateway/placement/placement_board.h"
#include "gateway/placement/prompt_homes.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::uint64_t LargeInput = 3'000'000; // bytes; a result of a first stage
constexpr std::uint64_t SmallInput = 60'000; // bytes; a result of a later stage

/// A pool of 9 engines in three data centres, too few for a pool in each.
struct joined_pool
{
    manual_clock clock;
    server_directory directory{clock};
    placement_board board{clock, directory};

    joined_pool()
    {
        for (int i = 0; i < 9; ++i) {
            server_record record;
            record.id = backend_server_id("e" + std::to_string(i));
            record.service = service_id("s");
            record.dataCenter = data_center_id("dc" + std::to_string(i % 3));
            record.slots = 64;
            directory.put(record);
        }
    }
    [[nodiscard]] server_ptr place(placement_id id, const std::string &part,
                                   const std::string &inputsIn, std::uint64_t bytes)
    {
        placement_query query;
        query.pool.service = service_id("s");
        query.prompt = {{part, 13'000}, {"own", 300}};
        query.preferredDataCenter = data_center_id(inputsIn);
        query.transferBytes = bytes;
        return board.place(id, query).server;
    }
    [[nodiscard]] std::vector<server_ptr> orderOf(const std::string &part) const
    {
        return homeOrder(part, directory.usable(service_id("s")));
    }
};

/// Returns the first engine of a data centre.
server_ptr firstIn(const std::string &dataCenter, const std::vector<server_ptr> &order)
{
    const auto found = std::ranges::find_if(order, [&](const server_ptr &each) {
        return each->record.dataCenter == data_center_id(dataCenter);
    });
    return found == order.end() ? nullptr : *found;
}

} // namespace

// Guards against homes to which each request has to move its large inputs.
TEST_CASE("local_homes: the home of a part is in the data centre of large inputs")
{
    joined_pool p;
    for (int i = 0; i < 9; ++i) {
        const auto part = "part" + std::to_string(i);
        const auto inputsIn = "dc" + std::to_string(i % 3);
        const auto home = p.place(i, part, inputsIn, LargeInput);
        p.board.onFirstToken(i);
        CHECK(home == firstIn(inputsIn, p.orderOf(part)));
    }
}

// Guards against a part that is read in each data centre though its inputs cost nothing to move.
TEST_CASE("local_homes: small inputs don't change the home of a part")
{
    joined_pool p;
    for (int i = 0; i < 9; ++i) {
        const auto part = "part" + std::to_string(i);
        CHECK(p.place(i, part, "dc" + std::to_string(i % 3), SmallInput)
              == p.orderOf(part).front());
        p.board.onFirstToken(i);
    }
}

TEST_CASE("local_homes: a part that an engine keeps isn't read again in the data centre of inputs")
{
    joined_pool p;
    const auto keeper = p.place(1, "part", "dc0", LargeInput);
    p.board.onFirstToken(1);
    CHECK(p.place(2, "part", "dc1", LargeInput) == keeper);
}

TEST_CASE("local_homes: a data centre without engines leaves the home to the others")
{
    joined_pool p;
    CHECK(p.place(1, "part", "dc7", LargeInput) == p.orderOf("part").front());
}
