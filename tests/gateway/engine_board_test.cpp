#include "gateway/engines/engine_board.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

struct world
{
    manual_clock clock;
    server_directory directory{clock};
    engine_board board{clock, directory};

    world()
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

engine_wish makeWish(std::vector<prompt_part> prompt)
{
    engine_wish wish;
    wish.pool.service = service_id("s");
    wish.prompt = std::move(prompt);
    return wish;
}

} // namespace

TEST_CASE("requests that share parts go to the engine that keeps them")
{
    world w;
    const auto first = w.board.place(1, makeWish({{"shared", 2000}, {"own1", 500}}));
    w.board.onEnd(1);
    CHECK(w.board.place(2, makeWish({{"shared", 2000}, {"own2", 500}})) == first);
}

TEST_CASE("a part counts as kept only where all parts before it are")
{
    world w;
    const auto first = w.board.place(1, makeWish({{"a", 100}, {"b", 3000}, {"own", 10}}));
    w.board.onEnd(1);
    // The other engine has nothing: reading all costs as much there, and it has no streams.
    auto busy = makeWish({{"x", 100}, {"b", 3000}, {"own", 10}});
    (void)w.board.place(2, makeWish({{"a", 100}, {"b", 3000}, {"own", 10}}));
    CHECK(w.board.place(3, busy) != first);
}

TEST_CASE("prompts that are still to be read send others elsewhere")
{
    world w;
    const auto first = w.board.place(1, makeWish({{"p", 5000}}));
    CHECK(w.board.place(2, makeWish({{"q", 5000}})) != first);
    w.board.onFirstAnswer(1);
    CHECK(w.board.place(3, makeWish({{"r", 100}})) == first);
}

TEST_CASE("large inputs draw a request to their data centre")
{
    world w;
    auto wish = makeWish({{"p", 500}});
    wish.near = data_center_id("b");
    wish.nearBytes = 3'000'000;
    CHECK(w.board.place(1, wish)->record.id.value == "e2");
}

TEST_CASE("engines that were tried, leave or are gone aren't chosen")
{
    world w;
    auto wish = makeWish({{"p", 500}});
    wish.exclude = {backend_server_id("e1")};
    CHECK(w.board.place(1, wish)->record.id.value == "e2");
    w.directory.remove(backend_server_id("e2"));
    CHECK(w.board.place(2, wish) == nullptr);
}

TEST_CASE("the end of a request is counted once, and unknown ones are ignored")
{
    world w;
    (void)w.board.place(1, makeWish({{"p", 500}}));
    w.board.onEnd(1);
    w.board.onEnd(1);
    w.board.onFirstAnswer(77);
    CHECK(w.board.open() == 0);
}

TEST_CASE("placements whose end was never told are forgotten")
{
    world w;
    (void)w.board.place(1, makeWish({{"p", 500}}));
    w.clock.advance(std::chrono::seconds{61});
    (void)w.board.place(2, makeWish({{"q", 500}}));
    CHECK(w.board.open() == 1);
}

TEST_CASE("the least recently used parts yield where an engine keeps no more")
{
    world w;
    w.directory.remove(backend_server_id("e2"));
    w.board.setCapacity(service_id("s"), 1000);
    (void)w.board.place(1, makeWish({{"old", 600}, {"own", 1}}));
    w.board.onEnd(1);
    w.clock.advance(milliseconds{10});
    (void)w.board.place(2, makeWish({{"new", 600}, {"own", 1}}));
    w.board.onEnd(2);
    server_record record;
    record.id = backend_server_id("e3");
    record.service = service_id("s");
    w.directory.put(record);
    // Nothing of "old" is left at e1, so a stream there is enough to prefer e3.
    (void)w.board.place(3, makeWish({{"new", 600}, {"own", 1}}));
    CHECK(w.board.place(4, makeWish({{"old", 600}, {"own", 1}}))->record.id.value == "e3");
}
