#include "gateway/stages/result_room.h"

#include <catch2/catch.hpp>

#include <limits>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::uint64_t Room = 600;
constexpr std::uint64_t ResultBytes = 100;
constexpr milliseconds Lifetime{4000};
const server_start First{backend_server_id("s0"), {}};
const server_start Second{backend_server_id("s1"), {}};

struct room_fixture
{
    manual_clock clock;
    result_room room{clock};

    room_fixture() { room.setLimits(Room, Lifetime); }

    /// Stores results that a server has computed.
    void store(const server_start &at, int count, const std::string &prefix)
    {
        for (int i = 0; i < count; ++i) {
            room.reserve(at, ResultBytes);
            room.record(at, prefix + std::to_string(i), ResultBytes);
        }
    }
};

} // namespace

TEST_CASE("result_room: storage is held from the reservation until the free")
{
    room_fixture w;
    w.room.reserve(First, ResultBytes);
    CHECK(w.room.heldBytesAt(First) == ResultBytes);
    w.room.record(First, "a", ResultBytes);
    CHECK(w.room.freeBytesAt(First) == Room - ResultBytes);
    CHECK(w.room.freeBytesAt(Second) == Room);
    w.room.onFreed("a");
    w.room.onFreed("a");
    CHECK(w.room.heldBytesAt(First) == 0);
}

TEST_CASE("result_room: a reservation without a result is released")
{
    room_fixture w;
    w.room.reserve(First, ResultBytes);
    w.room.release(First, ResultBytes);
    CHECK(w.room.freeBytesAt(First) == Room);
}

// Guards against storage that stays counted as held when requests that free results are lost.
TEST_CASE("result_room: results that aren't freed expire, named or not")
{
    room_fixture w;
    w.store(First, 4, "a");
    w.room.reserve(First, ResultBytes);
    w.room.recordUnnamed(First, ResultBytes);
    w.clock.advance(Lifetime - milliseconds{1});
    w.room.dropExpired();
    CHECK(w.room.heldBytesAt(First) == 5 * ResultBytes);
    w.clock.advance(milliseconds{1});
    w.room.dropExpired();
    CHECK(w.room.heldBytesAt(First) == 0);
}

TEST_CASE("result_room: more than the storage of a server leaves none free")
{
    room_fixture w;
    w.store(First, 7, "a");
    CHECK(w.room.freeBytesAt(First) == 0);
    w.room.setLimits(0, Lifetime);
    CHECK(w.room.freeBytesAt(First) == std::numeric_limits<std::uint64_t>::max());
}

// Guards against a server that is sent further results although it has no storage for them, and
// against one that gets none although small results fit.
TEST_CASE("result_room: a refusal counts a server as full for results of that size")
{
    room_fixture w;
    w.room.setLearnsSizes(false);
    w.store(First, 3, "a");
    w.room.onRefused(First, ResultBytes);
    CHECK(w.room.freeBytesAt(First) == ResultBytes - 1);
    CHECK(w.room.freeBytesAt(Second) == Room);
    REQUIRE(w.room.nextChangeAt());
    CHECK(*w.room.nextChangeAt() == w.clock.now() + result_room::CorrectionTime);
    SECTION("until a result there is freed")
    {
        w.room.onFreed("a0");
        CHECK(w.room.freeBytesAt(First) >= ResultBytes);
        CHECK(w.room.freeBytesAt(First) < 2 * ResultBytes);
    }
    SECTION("for a limited time without a free")
    {
        w.clock.advance(result_room::CorrectionTime);
        w.room.dropExpired();
        CHECK(w.room.freeBytesAt(First) == 3 * ResultBytes);
    }
    SECTION("also after further refusals")
    {
        w.room.onRefused(First, ResultBytes);
        w.room.onRefused(First, ResultBytes);
        CHECK(w.room.freeBytesAt(First) == ResultBytes - 1);
        w.clock.advance(result_room::CorrectionTime);
        w.room.onRefused(First, ResultBytes / 10);
        CHECK(w.room.freeBytesAt(First) == ResultBytes / 10 - 1);
    }
}

// Guards against a call with many refused results that teaches a ratio no single call shows.
TEST_CASE("result_room: the refusals of one call teach the size of results once")
{
    room_fixture one;
    one.store(First, 3, "a");
    one.room.onRefused(First, ResultBytes);
    room_fixture many;
    many.store(First, 3, "a");
    many.room.onRefusals(First, std::vector(5, ResultBytes));
    CHECK(many.room.sizeRatio() == one.room.sizeRatio());
    CHECK(many.room.freeBytesAt(First) == one.room.freeBytesAt(First));
}

TEST_CASE("result_room: refusals teach larger sizes, and calls without them teach published ones")
{
    room_fixture w;
    w.store(First, 3, "a");
    for (int i = 0; i < 20; ++i)
        w.room.onRefused(First, ResultBytes);
    // Four results did not fit where six of the published size would.
    CHECK(w.room.sizeRatio() > 1.4);
    CHECK(w.room.sizeRatio() <= 1.5);
    w.store(Second, 1, "b");
    CHECK(w.room.freeBytesAt(Second) < Room - ResultBytes);
    for (int i = 0; i < 200; ++i)
        w.room.onAllStored();
    CHECK(w.room.sizeRatio() < 1.02);
}

// Guards against wait estimates that use a hold time of results of another size, or none.
TEST_CASE("result_room: hold times are averages by size class and phase")
{
    room_fixture w;
    constexpr std::uint64_t Small = Room / 64;
    w.room.setInitialHold(milliseconds{300});
    CHECK(w.room.isSmall(Small));
    CHECK_FALSE(w.room.isSmall(Small + 1));
    CHECK(w.room.holdTime(ResultBytes) == milliseconds{300});
    w.room.reserve(First, ResultBytes);
    w.room.reserve(First, Small);
    w.clock.advance(milliseconds{200});
    w.room.record(First, "large", ResultBytes);
    w.room.record(First, "small", Small);
    w.clock.advance(milliseconds{500});
    w.room.onFreeRequested("large");
    w.clock.advance(milliseconds{20});
    const auto held = w.room.onFreed("large");
    REQUIRE(held);
    CHECK(held->call == milliseconds{200});
    CHECK(held->needed == milliseconds{500});
    CHECK(held->freeing == milliseconds{20});
    CHECK(w.room.holdTime(ResultBytes) == milliseconds{720});
    CHECK(w.room.holdTime(Small) == milliseconds{300});
    CHECK(w.room.totalHeldBytes() == Small);
    CHECK_FALSE(w.room.onFreed("large"));
}

namespace {

/// Two servers, the first of which holds as many results as fit, from a call that started now.
struct full_server : room_fixture
{
    full_server()
    {
        room.setInitialHold(milliseconds{800});
        store(First, 6, "a");
    }
    [[nodiscard]] milliseconds waitFor(double servers, std::uint64_t results) const
    {
        return std::chrono::duration_cast<milliseconds>(
            room.forecast(servers, ResultBytes).waitFor(results * ResultBytes));
    }
};

} // namespace

// Guards against refusals by a pool that has storage, whatever is known about hold times.
TEST_CASE("result_room: there is no wait for storage that is free")
{
    full_server w;
    CHECK(w.waitFor(2, 6) == milliseconds{0});
    CHECK(w.waitFor(2, 7) > milliseconds{0});
    w.room.setLimits(0, Lifetime);
    CHECK(w.waitFor(1, 100) == milliseconds{0});
}

TEST_CASE("result_room: results are expected to be freed a hold time after the start of their call")
{
    full_server w;
    CHECK(w.waitFor(1, 6) >= milliseconds{750});
    w.clock.advance(milliseconds{300});
    w.store(Second, 6, "b");
    const auto first = w.waitFor(2, 6);
    CHECK(first > milliseconds{450});
    CHECK(first <= milliseconds{550});
    CHECK(w.waitFor(2, 12) > milliseconds{750});
    // Pieces that wait behind as many as all servers hold wait for the results of these.
    CHECK(w.waitFor(2, 18) >= first + milliseconds{800});
}

TEST_CASE("result_room: a result that is larger than the storage has none in future")
{
    full_server w;
    CHECK(w.room.forecast(1, Room + 1).waitFor(Room + 1) == room_forecast::Never);
}

// Guards against an idle server that gets no result as earlier ones were larger than published.
TEST_CASE("result_room: an empty server has storage for a result whatever was learnt")
{
    room_fixture w;
    w.store(Second, 3, "a");
    for (int i = 0; i < 20; ++i)
        w.room.onRefused(Second, ResultBytes);
    CHECK(w.room.freeBytesAt(First) == Room);
    CHECK(w.room.forecast(2, Room).waitFor(Room) == std::chrono::microseconds{0});
}

// Guards against counting the storage of crashed servers as free, and against hold times that grow
// by results which were lost with them.
TEST_CASE("result_room: a server that has ended holds nothing, and its results teach no hold time")
{
    room_fixture w;
    w.store(First, 1, "first");
    w.clock.advance(milliseconds{500});
    w.room.onFreed("first0");
    w.store(Second, 3, "second");
    const auto before = w.room.holdTime(ResultBytes);
    w.room.forgetServers([](const server_start &start) { return start != Second; });
    CHECK(w.room.totalHeldBytes() == 0);
    w.store(First, 1, "lost");
    w.clock.advance(Lifetime);
    w.room.dropExpired();
    CHECK(w.room.totalHeldBytes() == 0);
    CHECK(w.room.holdTime(ResultBytes) == before);
}

// Guards against refusals for lack of storage while it isn't known of any server.
TEST_CASE("result_room: without servers there is no wait for storage")
{
    room_fixture w;
    CHECK(w.room.forecast(0, ResultBytes).waitFor(ResultBytes).count() == 0);
}

TEST_CASE("result_room: a rate-limited server that is empty has all of its storage")
{
    room_fixture w;
    CHECK(w.room.forecast(0.5, ResultBytes).waitFor(Room).count() == 0);
}
