#include "gateway/placement/placement_board.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

struct world
{
    manual_clock clock;
    server_directory directory{clock};
    placement_board board;

    explicit world(const disabled_policies &without = {})
        : board(clock, directory, without)
    {
        for (const std::string id : {"e1", "e2"}) {
            server_record record;
            record.id = backend_server_id(id);
            record.service = service_id("s");
            record.dataCenter = data_center_id(id == "e1" ? "a" : "b");
            directory.put(record);
        }
    }
};

placement_query makeQuery(std::vector<prompt_part> prompt)
{
    placement_query query;
    query.pool.service = service_id("s");
    query.prompt = std::move(prompt);
    return query;
}

} // namespace

TEST_CASE("requests that share prompt parts go to the engine that caches them")
{
    world w;
    const auto first = w.board.place(1, makeQuery({{"shared", 2000}, {"own1", 500}})).server;
    w.board.onEnd(1);
    CHECK(w.board.place(2, makeQuery({{"shared", 2000}, {"own2", 500}})).server == first);
}

TEST_CASE("a request that needs a software version goes to engines of that version in any pool")
{
    world w;
    server_record record;
    record.id = backend_server_id("e3");
    record.service = service_id("s");
    record.dataCenter = data_center_id("b");
    record.version = software_version("v2");
    w.directory.put(record);
    auto query = makeQuery({{"shared", 2000}, {"own", 500}});
    query.pool.dataCenter = data_center_id("a");
    query.version = software_version("v2");
    const auto placed = w.board.place(1, query);
    REQUIRE(placed.server);
    CHECK(placed.server->record.id.value == "e3");
    query.version = software_version("v3");
    CHECK_FALSE(w.board.place(2, query).server);
}

TEST_CASE("a part counts as cached only if all parts before it are cached")
{
    // By cost alone: the home engine of the second prompt may be any.
    world w({policy::PromptHomesByHash});
    const auto first = w.board.place(1, makeQuery({{"a", 100}, {"b", 3000}, {"own", 10}})).server;
    w.board.onEnd(1);
    // The other engine has no cached parts and no streams, so reading the whole prompt costs the
    // same there.
    auto busy = makeQuery({{"x", 100}, {"b", 3000}, {"own", 10}});
    (void)w.board.place(2, makeQuery({{"a", 100}, {"b", 3000}, {"own", 10}}));
    CHECK(w.board.place(3, busy).server != first);
}

TEST_CASE("unread prompts make an engine more expensive for other requests")
{
    world w;
    const auto first = w.board.place(1, makeQuery({{"p", 5000}})).server;
    CHECK(w.board.place(2, makeQuery({{"q", 5000}})).server != first);
    w.board.onFirstToken(1);
    CHECK(w.board.place(3, makeQuery({{"r", 100}})).server == first);
}

TEST_CASE("a request with large inputs goes to their data centre")
{
    world w;
    auto query = makeQuery({{"p", 500}});
    query.preferredDataCenter = data_center_id("b");
    query.transferBytes = 3'000'000;
    CHECK(w.board.place(1, query).server->record.id.value == "e2");
}

TEST_CASE("engines that were already tried or removed are not chosen")
{
    world w;
    auto query = makeQuery({{"p", 500}});
    query.exclude = {backend_server_id("e1")};
    CHECK(w.board.place(1, query).server->record.id.value == "e2");
    w.directory.remove(backend_server_id("e2"));
    CHECK(w.board.place(2, query).server == nullptr);
}

TEST_CASE("the end of a request is counted once, and unknown ids are ignored")
{
    world w;
    (void)w.board.place(1, makeQuery({{"p", 500}}));
    w.board.onEnd(1);
    w.board.onEnd(1);
    w.board.onFirstToken(77);
    CHECK(w.board.activeCount() == 0);
}

TEST_CASE("placements whose end was not reported expire")
{
    world w;
    (void)w.board.place(1, makeQuery({{"p", 500}}));
    w.clock.advance(std::chrono::seconds{61});
    (void)w.board.place(2, makeQuery({{"q", 500}}));
    CHECK(w.board.activeCount() == 1);
}

TEST_CASE("the least recently used parts are evicted when an engine is full")
{
    world w;
    w.directory.remove(backend_server_id("e2"));
    w.board.setCapacity(service_id("s"), 1000);
    (void)w.board.place(1, makeQuery({{"old", 600}, {"own", 1}}));
    w.board.onEnd(1);
    w.clock.advance(milliseconds{10});
    (void)w.board.place(2, makeQuery({{"new", 600}, {"own", 1}}));
    w.board.onEnd(2);
    server_record record;
    record.id = backend_server_id("e3");
    record.service = service_id("s");
    w.directory.put(record);
    // No part of "old" is left at e1, so one stream there is enough to prefer e3.
    (void)w.board.place(3, makeQuery({{"new", 600}, {"own", 1}}));
    CHECK(w.board.place(4, makeQuery({{"old", 600}, {"own", 1}})).server->record.id.value == "e3");
}

// Servers with a rate limit for the requests of all nodes together.

TEST_CASE("a rate-limited server gets requests at its limit, and other servers get the rest")
{
    world w;
    w.directory.find(backend_server_id("e1"))->rateLimit = 2.0;
    int sentToLimited = 0;
    for (int i = 0; i < 200; ++i) {
        const auto placed = w.board.place(i, makeQuery({}), 1.0);
        REQUIRE(placed.server);
        CHECK(placed.wait == milliseconds{0});
        CHECK_FALSE(placed.allRateLimited);
        sentToLimited += placed.server->record.id.value == "e1" ? 1 : 0;
        w.clock.advance(milliseconds{50});
    }
    CHECK(sentToLimited >= 18);
    CHECK(sentToLimited <= 21);
}

TEST_CASE("if all servers are rate-limited, a request waits for its turn within its maximum wait")
{
    world w;
    for (const auto *id : {"e1", "e2"})
        w.directory.find(backend_server_id(id))->rateLimit = 1.0;
    auto query = makeQuery({});
    query.admitted = true;
    query.clientTimeout = milliseconds{1200};
    std::vector<milliseconds> waits;
    for (int i = 0; i < 4; ++i) {
        const auto placed = w.board.place(i, query, 1.0);
        REQUIRE(placed.server);
        CHECK(placed.allRateLimited);
        waits.push_back(placed.wait);
    }
    CHECK(waits
          == std::vector{milliseconds{0}, milliseconds{0}, milliseconds{1000}, milliseconds{1000}});
    const auto none = w.board.place(4, query, 1.0);
    CHECK_FALSE(none.server);
    CHECK(none.wait == milliseconds{2000});
    CHECK(w.board.activeCount() == 4);
}

TEST_CASE("a board without a share of the limits places nothing on rate-limited servers")
{
    world w;
    for (const auto *id : {"e1", "e2"})
        w.directory.find(backend_server_id(id))->rateLimit = 1.0;
    auto query = makeQuery({});
    query.clientTimeout = milliseconds{60'000};
    CHECK_FALSE(w.board.place(1, query, 0.0).server);
    const auto told = w.board.admit(query, 0.0);
    CHECK_FALSE(told.granted);
    CHECK(told.allRateLimited);
    w.directory.find(backend_server_id("e2"))->rateLimit.reset();
    CHECK(w.board.place(2, query, 0.0).server->record.id.value == "e2");
    CHECK(w.board.admit(query, 0.0).granted);
}
