#include "gateway/admission/retry_turns.h"
#include "gateway/overload_emulator.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr stage_rank Urgent{0, 0};
constexpr stage_rank LessUrgent{5, 0};
constexpr pool_time Cost{0.01};

turn_query makeQuery(std::uint32_t number, milliseconds wait = milliseconds{500})
{
    turn_query query;
    query.request = makeDigest(number);
    query.customer = customer_id("customer");
    query.rank = Urgent;
    query.cost = Cost;
    query.wait = wait;
    return query;
}

/// A pool that grants its whole capacity to the urgent rank.
struct busy_pool
{
    manual_clock clock;
    retry_turns turns{clock};

    busy_pool()
    {
        for (int i = 0; i < 500; ++i) {
            clock.advance(milliseconds{10});
            turns.onGranted(Urgent, Cost);
        }
    }
};

} // namespace

TEST_CASE("a request that is refused repeatedly keeps one turn and its time")
{
    busy_pool pool;
    const auto first = pool.turns.grant(makeQuery(1));
    CHECK(first.held);
    CHECK(first.retryAfter == milliseconds{500});
    pool.clock.advance(milliseconds{100});
    CHECK(pool.turns.isEarly(makeDigest(1)));
    CHECK_FALSE(pool.turns.redeem(makeDigest(1)));
    const auto second = pool.turns.grant(makeQuery(1, milliseconds{2000}));
    CHECK(second.held);
    CHECK(second.retryAfter == milliseconds{400});
    CHECK(pool.turns.size() == 1);
}

TEST_CASE("a turn is redeemed once, from 300 ms before to 1 s after its time")
{
    const auto redeemAfter = [](milliseconds delay) {
        busy_pool pool;
        (void)pool.turns.grant(makeQuery(1, milliseconds{1000}));
        pool.clock.advance(delay);
        const bool redeemed = pool.turns.redeem(makeDigest(1));
        CHECK_FALSE(pool.turns.redeem(makeDigest(1)));
        return redeemed;
    };
    CHECK_FALSE(redeemAfter(milliseconds{699}));
    CHECK(redeemAfter(milliseconds{700}));
    CHECK(redeemAfter(milliseconds{2000}));
    CHECK_FALSE(redeemAfter(milliseconds{2001}));
}

TEST_CASE("a request that returns at once is early even if its turn is near")
{
    busy_pool pool;
    (void)pool.turns.grant(makeQuery(1, milliseconds{200}));
    CHECK(pool.turns.isEarly(makeDigest(1)));
    pool.clock.advance(milliseconds{100});
    CHECK(pool.turns.isInWindow(makeDigest(1)));
}

TEST_CASE("a turn whose request doesn't return lapses, and its capacity is no longer reserved")
{
    busy_pool pool;
    (void)pool.turns.grant(makeQuery(1));
    const auto horizon = [&] { return pool.clock.now() + milliseconds{600}; };
    CHECK(pool.turns.costDueBefore(Urgent, horizon()) == Cost);
    pool.clock.advance(milliseconds{700});
    CHECK(pool.turns.costDueBefore(Urgent, horizon()) == pool_time{0});
    pool.clock.advance(milliseconds{900});
    pool.turns.removeLapsed();
    CHECK(pool.turns.counts().lapsed == 1);
    CHECK(pool.turns.size() == 0);
}

TEST_CASE("turns are spread at half of the rate at which the pool serves their rank")
{
    busy_pool pool;
    std::vector<milliseconds> times;
    for (std::uint32_t i = 0; i < 100; ++i)
        times.push_back(pool.turns.grant(makeQuery(i, milliseconds{0})).retryAfter);
    // One turn takes 10 ms of a pool of which turns may have half.
    CHECK(times[50] - times[0] >= milliseconds{900});
    CHECK(times[50] - times[0] <= milliseconds{1100});
    CHECK(times[99] - times[50] >= milliseconds{880});
}

TEST_CASE("turns of a customer are spread at half of its share, and others don't wait for them")
{
    busy_pool pool;
    auto query = makeQuery(1, milliseconds{0});
    query.customerShare = 0.1;
    const auto first = pool.turns.grant(query);
    query.request = makeDigest(2);
    const auto second = pool.turns.grant(query);
    CHECK(second.retryAfter - first.retryAfter >= milliseconds{200});
    query.request = makeDigest(3);
    query.customer = customer_id("other");
    CHECK(pool.turns.grant(query).retryAfter < milliseconds{120});
}

TEST_CASE("no turn is given beyond the time that the client follows, nor beyond five seconds")
{
    busy_pool pool;
    auto query = makeQuery(1, milliseconds{900});
    query.maxWait = milliseconds{800};
    const auto impatient = pool.turns.grant(query);
    CHECK_FALSE(impatient.held);
    CHECK(impatient.retryAfter == milliseconds{900});
    const auto late = pool.turns.grant(makeQuery(2, milliseconds{60'000}));
    CHECK(late.retryAfter <= retry_turns::MaxRetryAfter);
    for (std::uint32_t i = 0; i < 400; ++i)
        CHECK(pool.turns.grant(makeQuery(i + 10)).retryAfter <= retry_turns::MaxRetryAfter);
    CHECK(pool.turns.size() < 300);
}

TEST_CASE("capacity is reserved for turns of the same and of more urgent ranks only")
{
    busy_pool pool;
    (void)pool.turns.grant(makeQuery(1));
    const auto horizon = pool.clock.now() + milliseconds{600};
    CHECK(pool.turns.costDueBefore(LessUrgent, horizon) == Cost);
    auto query = makeQuery(2);
    query.rank = LessUrgent;
    (void)pool.turns.grant(query);
    CHECK(pool.turns.costDueBefore(Urgent, horizon) == Cost);
    CHECK(pool.turns.costDueBefore(LessUrgent, horizon) == Cost * 2);
}

TEST_CASE("turns reserve at most half of a rate that has fallen since")
{
    busy_pool pool;
    for (std::uint32_t i = 0; i < 100; ++i)
        (void)pool.turns.grant(makeQuery(i, milliseconds{3000}));
    pool.clock.advance(milliseconds{2500}); // the rate is 0.08 now
    const auto due = pool.turns.costDueBefore(Urgent, pool.clock.now() + milliseconds{2000});
    CHECK(due <= pool_time{0.5 * 0.09 * 2.15});
}

TEST_CASE("a request that is refused at its turn gets a new one ahead of other turns")
{
    busy_pool pool;
    for (std::uint32_t i = 0; i < 100; ++i)
        (void)pool.turns.grant(makeQuery(i, milliseconds{0}));
    pool.clock.advance(milliseconds{60}); // past the first turn
    CHECK(pool.turns.grant(makeQuery(0, milliseconds{200})).retryAfter == milliseconds{200});
    CHECK(pool.turns.grant(makeQuery(1000, milliseconds{200})).retryAfter >= milliseconds{1800});
}

// Guards against a promise that isn't honoured: neither a turn beside a newer one of its request,
// nor one that has lapsed or exceeds the number of turns, is restored.
TEST_CASE("a restored turn takes the capacity that it had, and only where that is still free")
{
    busy_pool pool;
    const auto first = pool.turns.grant(makeQuery(1));
    pool.clock.advance(first.retryAfter);
    const auto used = pool.turns.take(makeDigest(1));
    REQUIRE(used);
    CHECK(pool.turns.costDueBefore(Urgent, pool.clock.now() + milliseconds{1}) == pool_time{0});
    pool.turns.restore(*used);
    pool.turns.restore(*used);
    CHECK(pool.turns.size() == 1);
    CHECK(pool.turns.isInWindow(makeDigest(1)));
    CHECK(pool.turns.costDueBefore(Urgent, pool.clock.now() + milliseconds{1}) == Cost);
    const auto again = pool.turns.take(makeDigest(1));
    pool.clock.advance(retry_turns::MaxLate + milliseconds{1});
    pool.turns.restore(*again);
    CHECK(pool.turns.size() == 0);
    std::uint32_t number = 1;
    while (pool.turns.size() < retry_turns::MaxTurns) {
        auto query = makeQuery(++number);
        query.cost = pool_time{1e-6};
        REQUIRE(pool.turns.grant(query).held);
    }
    pool.turns.restore({{makeDigest(0), Urgent, pool.clock.now(), pool.clock.now(), Cost}, false});
    CHECK(pool.turns.size() == retry_turns::MaxTurns);
    CHECK_FALSE(pool.turns.isInWindow(makeDigest(0)));
}

TEST_CASE("the number of turns is bounded, and the oldest are evicted first")
{
    manual_clock clock;
    retry_turns turns(clock);
    for (int i = 0; i < 500; ++i) {
        clock.advance(milliseconds{10});
        turns.onGranted(Urgent, pool_time{10.0});
    }
    constexpr std::uint32_t Count = retry_turns::MaxTurns + 100;
    for (std::uint32_t i = 0; i < Count; ++i)
        (void)turns.grant(makeQuery(i, milliseconds{1000}));
    CHECK(turns.size() == retry_turns::MaxTurns);
    CHECK(turns.counts().evicted == 100);
    CHECK_FALSE(turns.isEarly(makeDigest(99)));
    CHECK(turns.isEarly(makeDigest(100)));
}

// Guards against a customer that gets no turn for minutes after its share has decayed.
TEST_CASE("a customer with a decayed share gets a turn again after five seconds")
{
    busy_pool pool;
    pool.clock.advance(milliseconds{20'000});
    auto query = makeQuery(1);
    query.customerShare = 1e-9;
    (void)pool.turns.grant(query);
    pool.clock.advance(milliseconds{6000});
    query = makeQuery(2);
    CHECK(pool.turns.grant(query).held);
}
