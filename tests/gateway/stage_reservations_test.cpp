#include "gateway/admission/stage_reservations.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr stage_rank Urgent{0, 0};
constexpr stage_rank Usual{1, 0};
constexpr stage_rank Background{2, 0};

/// The reservations of a pool that takes 100 pieces per second and has nothing waiting.
struct pool_fixture
{
    manual_clock clock;
    stage_reservations reservations{clock};
    pool_estimate pool{milliseconds{0}, 0, 100.0, 0.0, milliseconds{200}};
    reservation_id lastId = 0;

    reservation_query makeQuery(std::uint32_t pieces, milliseconds startsIn,
                                milliseconds latestStart, stage_rank rank = Usual)
    {
        reservation_query query;
        query.id = ++lastId;
        query.attempt = "r" + std::to_string(lastId);
        query.rank = rank;
        query.stages.push_back({0, pieces, 1'000'000, startsIn, latestStart});
        return query;
    }
    reservation_answer ask(const reservation_query &query)
    {
        const auto answer = reservations.evaluate(query, {query.stages.size(), pool});
        if (answer.granted)
            reservations.reserve(nullptr, query);
        return answer;
    }
    reservation_answer ask(std::uint32_t pieces, milliseconds startsIn, milliseconds latestStart,
                           stage_rank rank = Usual)
    {
        return ask(makeQuery(pieces, startsIn, latestStart, rank));
    }
};

} // namespace

// Guards against admitting by the waiting pieces alone: requests that start at the same time would
// all be admitted before the first pieces arrive.
TEST_CASE("reserved pieces that have not arrived count as ahead of later requests")
{
    pool_fixture f;
    CHECK(f.ask(40, milliseconds{0}, milliseconds{600}).granted);
    const auto second = f.ask(40, milliseconds{0}, milliseconds{600});
    CHECK(second.granted); // begins after 400 ms and a margin of a call
    CHECK(second.wait == milliseconds{600});
    const auto third = f.ask(10, milliseconds{0}, milliseconds{600});
    CHECK_FALSE(third.granted); // would begin after 1000 ms
    CHECK(third.reservedAhead == 80);
    CHECK(third.retryAfter == milliseconds{400});
}

TEST_CASE("a repeat of a refused request at the reported time gets a place")
{
    pool_fixture f;
    REQUIRE(f.ask(100, milliseconds{0}, milliseconds{600}).granted);
    const auto refused = f.ask(10, milliseconds{0}, milliseconds{600});
    REQUIRE_FALSE(refused.granted);
    for (int i = 0; i < 100; ++i)
        f.reservations.onPieceArrived("r1", 0);
    f.pool.wait = milliseconds{1000} - refused.retryAfter; // what is left of the arrived pieces
    f.clock.advance(refused.retryAfter);
    CHECK(f.ask(10, milliseconds{0}, milliseconds{600}).granted);
}

// Guards against refusals because of work that arrives after the request would have begun.
TEST_CASE("work reserved for after the latest start of a request doesn't delay it")
{
    pool_fixture f;
    REQUIRE(f.ask(100, milliseconds{800}, milliseconds{2500}).granted);
    CHECK(f.ask(10, milliseconds{0}, milliseconds{100}).granted);
    const auto between = f.ask(10, milliseconds{900}, milliseconds{1000});
    CHECK_FALSE(between.granted);
}

// Guards against a broken promise: the pieces of the first request would begin too late.
TEST_CASE("a request is refused that would make a reserved one of its rank late")
{
    pool_fixture f;
    REQUIRE(f.ask(10, milliseconds{300}, milliseconds{400}).granted);
    const auto before = f.ask(60, milliseconds{100}, milliseconds{1000});
    CHECK_FALSE(before.granted);
    CHECK(before.retryAfter == milliseconds{300});
    CHECK(f.ask(25, milliseconds{100}, milliseconds{1000}).granted);
}

TEST_CASE("a more urgent rank gets its place ahead of reserved work of other ranks")
{
    pool_fixture f;
    REQUIRE(f.ask(100, milliseconds{0}, milliseconds{500}, Usual).granted);
    CHECK_FALSE(f.ask(10, milliseconds{0}, milliseconds{500}, Background).granted);
    CHECK_FALSE(f.ask(10, milliseconds{0}, milliseconds{500}, Usual).granted);
    CHECK(f.ask(10, milliseconds{0}, milliseconds{500}, Urgent).granted);
}

// 1 MB per piece and 20 MB of freed room per second: room is for 20 pieces per second.
TEST_CASE("reserved results count against the room for results if it is scarcer than server time")
{
    pool_fixture f;
    f.pool.bytesPerSecond = 20e6;
    REQUIRE(f.ask(10, milliseconds{0}, milliseconds{500}).granted);
    const auto second = f.ask(1, milliseconds{0}, milliseconds{500});
    CHECK_FALSE(second.granted);
    CHECK(second.wait == milliseconds{700});
}

TEST_CASE("a request gets places for all its stages of a pool or none")
{
    pool_fixture f;
    auto query = f.makeQuery(10, milliseconds{0}, milliseconds{600});
    query.stages.push_back({3, 10, 1'000'000, milliseconds{900}, milliseconds{300}});
    CHECK_FALSE(f.ask(query).granted);
    CHECK(f.reservations.reservedPieces() == 0);
    query.stages[1].latestStart = milliseconds{1200};
    CHECK(f.ask(query).granted);
    CHECK(f.reservations.reservedPieces() == 20);
}

TEST_CASE("pieces consume the reservation of their attempt and stage as they arrive")
{
    pool_fixture f;
    REQUIRE(f.ask(2, milliseconds{0}, milliseconds{600}).granted);
    CHECK_FALSE(f.reservations.onPieceArrived("other", 0));
    CHECK_FALSE(f.reservations.onPieceArrived("r1", 1));
    CHECK(f.reservations.onPieceArrived("r1", 0));
    CHECK(f.reservations.reservedPieces() == 1);
    CHECK(f.reservations.onPieceArrived("r1", 0));
    CHECK_FALSE(f.reservations.onPieceArrived("r1", 0));
}

// Guards against capacity that stays reserved for a sender that has failed.
TEST_CASE("a reservation lapses half a second after its pieces were due")
{
    pool_fixture f;
    REQUIRE(f.ask(10, milliseconds{300}, milliseconds{600}).granted);
    f.clock.advance(milliseconds{800});
    CHECK(f.reservations.reservedPieces() == 10);
    f.clock.advance(milliseconds{1});
    CHECK(f.reservations.reservedPieces() == 0);
    CHECK_FALSE(f.reservations.onPieceArrived("r1", 0));
}

TEST_CASE("a reservation is released by its sender, and all of a sender with it")
{
    pool_fixture f;
    const int first = 0;
    const int second = 0;
    for (const auto *sender : {&first, &second}) {
        f.lastId = 0; // senders choose their ids independently
        f.reservations.reserve(sender, f.makeQuery(1, milliseconds{0}, milliseconds{600}));
        f.reservations.reserve(sender, f.makeQuery(2, milliseconds{0}, milliseconds{600}));
    }
    f.reservations.release(&first, 2);
    CHECK(f.reservations.reservedPieces() == 4);
    f.reservations.releaseAll(&second);
    CHECK(f.reservations.reservedPieces() == 1);
}

TEST_CASE("the number of reservations is bounded")
{
    pool_fixture f;
    f.pool.piecesPerSecond = 1e9;
    for (int i = 0; i < 5000; ++i)
        f.ask(1, milliseconds{100}, milliseconds{600});
    CHECK(f.reservations.reservedPieces() == 4096);
}

TEST_CASE("a pool without servers admits requests, whose pieces end with its reason")
{
    pool_fixture f;
    f.pool.piecesPerSecond = 0;
    CHECK(f.ask(10, milliseconds{0}, milliseconds{0}).granted);
}
