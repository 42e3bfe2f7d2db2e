#include "gateway/placement/placement_board.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

/// Two engines, and a board that isn't new. The policy that changes the choice is off, so that
/// parts are read again.
struct world
{
    manual_clock clock;
    server_directory directory{clock};
    placement_board board{clock, directory, {policy::PromptHomesByHash}};
    placement_id lastId = 0;

    world()
    {
        put("e1", 1);
        put("e2", 1);
        (void)place("first");
        clock.advance(std::chrono::seconds{11});
    }
    void put(const std::string &id, std::uint64_t start)
    {
        server_record record;
        record.id = backend_server_id(id);
        record.startedAt = start;
        record.service = service_id("s");
        directory.put(record);
    }
    /// Places a request with a shared part of 5,000 tokens, and ends it.
    placement_result place(const std::string &part, std::vector<backend_server_id> exclude = {})
    {
        placement_query query;
        query.pool.service = service_id("s");
        query.prompt = {{part, 5'000}, {"own", 100}};
        query.exclude = std::move(exclude);
        const auto placed = board.place(++lastId, query);
        board.onEnd(lastId);
        return placed;
    }
};

constexpr repeated_prefill expected(prefill_cause cause)
{
    return {cause, 5'000, 5'000};
}

} // namespace

TEST_CASE("repeated_prefill: a part that is read for the first time is not repeated")
{
    world w;
    CHECK(w.place("part").repeated == repeated_prefill{std::nullopt, 0, 5'000});
    CHECK(w.place("part").repeated == repeated_prefill{});
}

TEST_CASE("repeated_prefill: an engine that was tried already is the cause")
{
    world w;
    const auto keeper = w.place("part").server->record.id;
    CHECK(w.place("part", {keeper}).repeated == expected(prefill_cause::Excluded));
}

TEST_CASE("repeated_prefill: an avoided engine is the cause")
{
    world w;
    const auto keeper = w.place("part").server;
    keeper->avoidUntil = w.clock.now() + std::chrono::seconds{1};
    CHECK(w.place("part").repeated == expected(prefill_cause::Excluded));
}

TEST_CASE("repeated_prefill: a busy engine is the cause")
{
    world w;
    const auto keeper = w.place("part").server->record.id;
    placement_query busy;
    busy.pool.service = service_id("s");
    busy.prompt = {{"other", 20'000}};
    for (const auto *id : {"e1", "e2"}) {
        if (keeper.value != id)
            busy.exclude = {backend_server_id(id)};
    }
    (void)w.board.place(100, busy);
    CHECK(w.place("part").repeated == expected(prefill_cause::SpreadByLoad));
}

TEST_CASE("repeated_prefill: an engine that has ended is the cause, whether it had requests or not")
{
    world w;
    const auto keeper = w.place("part").server->record.id;
    w.directory.remove(keeper);
    CHECK(w.place("part").repeated == expected(prefill_cause::EngineGone));
    world restarted;
    const auto again = restarted.place("part").server->record.id;
    restarted.put(again.value, 2);
    CHECK(restarted.place("part").repeated == expected(prefill_cause::EngineGone));
}

TEST_CASE("repeated_prefill: an engine that evicted the part is the cause")
{
    world w;
    w.directory.remove(backend_server_id("e2"));
    w.board.setCapacity(service_id("s"), 10'000);
    (void)w.place("part");
    w.clock.advance(milliseconds{10});
    (void)w.place("other");
    CHECK(w.place("part").repeated == expected(prefill_cause::Evicted));
}

TEST_CASE(
    "repeated_prefill: a board that has just begun is the cause for parts that it doesn't know")
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{60});
    world w;
    placement_board fresh(w.clock, w.directory);
    placement_query query;
    query.pool.service = service_id("s");
    query.prompt = {{"part", 5'000}, {"own", 100}};
    CHECK(fresh.place(1, query).repeated == expected(prefill_cause::NewBoard));
}

TEST_CASE("repeated_prefill: losses are known for a limited time and number")
{
    manual_clock clock;
    lost_parts lost(clock);
    const service_id service("s");
    lost.add(service, "part", prefill_cause::Evicted);
    CHECK(lost.causeOf(service, "part") == prefill_cause::Evicted);
    CHECK_FALSE(lost.causeOf(service_id("t"), "part"));
    for (int i = 0; i < 1024; ++i)
        lost.add(service, std::to_string(i), prefill_cause::EngineGone);
    CHECK_FALSE(lost.causeOf(service, "part"));
    CHECK(lost.causeOf(service, "1023") == prefill_cause::EngineGone);
    clock.advance(std::chrono::seconds{61});
    CHECK_FALSE(lost.causeOf(service, "1023"));
}
