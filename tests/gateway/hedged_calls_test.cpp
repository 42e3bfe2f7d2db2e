#include "gateway/peers/peer_frames.h"
#include "gateway/stages/stage_pool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::uint64_t PieceBytes = 100;

/// Soft deadline with which a second call of one to four pieces is made as soon as the first one is
/// overdue.
constexpr milliseconds NoTimeToSpare{600};

/// A pool of two servers on which one call is overdue. A call takes 200 ms plus 10 ms per piece.
struct hedge_fixture
{
    manual_clock clock;
    service_retry_budget retryBudget;
    stage_pool pool{clock, service_id("s"), retryBudget};
    std::vector<server_ptr> servers;
    piece_token lastToken = 0;

    explicit hedge_fixture(double retryReserve = 1000.0, int callsBefore = 40)
        : retryBudget(clock, {0.0, retryReserve, milliseconds{10'000}})
    {
        stage_capacity capacity;
        capacity.maxPiecesPerCall = 4;
        capacity.callOverhead = milliseconds{200};
        capacity.timePerPiece = milliseconds{10};
        capacity.resultMemoryBytes = 6 * PieceBytes;
        capacity.resultLifetime = milliseconds{60'000};
        pool.setCapacity(capacity);
        for (const auto *name : {"s0", "s1"}) {
            servers.push_back(std::make_shared<server>());
            servers.back()->record.id = backend_server_id(name);
        }
        for (int i = 0; i < callsBefore; ++i) {
            const auto token = submit();
            const auto call = pool.nextCall(servers);
            clock.advance(milliseconds{210});
            for (const auto &each : answer(*call)) {
                REQUIRE(each.token == token);
                pool.onFreed(std::get<std::string>(each.result));
            }
        }
    }

    piece_token submit(bool mayBeHedged = true, milliseconds softDeadline = NoTimeToSpare)
    {
        piece_task job;
        job.token = ++lastToken;
        job.request.attempt = "r" + std::to_string(lastToken);
        job.resultBytes = PieceBytes;
        job.softDeadline = clock.now() + softDeadline;
        job.deadline = job.softDeadline + milliseconds{5000};
        job.mayBeHedged = mayBeHedged;
        pool.submit(job);
        return job.token;
    }
    std::vector<piece_outcome> answer(const stage_call &call)
    {
        std::vector<piece_result> results;
        for (std::size_t i = 0; i < call.pieces.size(); ++i)
            results.emplace_back("h" + std::to_string(call.id) + "/" + std::to_string(i));
        return pool.onEnd(call.id, stage_call_end::Answered, results);
    }
    std::vector<piece_outcome> breakOff(const stage_call &call)
    {
        return pool.onEnd(call.id, stage_call_end::Broken, {});
    }
    /// Starts a call and waits until it is overdue.
    stage_call startOverdue()
    {
        auto call = pool.nextCall(servers);
        REQUIRE(call);
        REQUIRE(pool.wakeAt());
        clock.advance(*pool.wakeAt() - clock.now());
        return *call;
    }
    [[nodiscard]] std::uint64_t heldAt(const stage_call &call) const
    {
        return pool.heldBytesAt(call.server->record.start());
    }
};

} // namespace

// Guards against a second result that is reported, or kept, beside the first one.
TEST_CASE("hedged_calls: the first result counts and the other one is returned to be freed")
{
    const bool hedgedIsFirst = GENERATE(true, false);
    hedge_fixture w;
    const auto token = w.submit();
    const auto first = w.startOverdue();
    const auto hedged = w.pool.nextCall(w.servers);
    REQUIRE(hedged);
    CHECK(hedged->server != first.server);
    CHECK(hedged->overdueServer == first.server);
    CHECK(hedged->overdueAge == milliseconds{337}); // 1.5 times the expected duration, and 22 ms
    CHECK(w.heldAt(first) == PieceBytes);
    CHECK(w.heldAt(*hedged) == PieceBytes);
    const auto sooner = w.answer(hedgedIsFirst ? *hedged : first);
    REQUIRE(sooner.size() == 1);
    CHECK(sooner[0].token == token);
    const auto later = w.answer(hedgedIsFirst ? first : *hedged);
    REQUIRE(later.size() == 1);
    CHECK(later[0].token == 0);
    for (const auto &each : {sooner[0], later[0]})
        w.pool.onFreed(std::get<std::string>(each.result));
    CHECK(w.heldAt(first) == 0);
    CHECK(w.heldAt(*hedged) == 0);
    const auto counts = w.pool.takeHedgeCounts();
    CHECK(counts.used == (hedgedIsFirst ? 1U : 0U));
    CHECK(counts.freed == (hedgedIsFirst ? 0U : 1U));
}

// Guards against a piece that is lost, retried or charged while its other call runs.
TEST_CASE("hedged_calls: after one call failed the other one is the piece's only call")
{
    const bool hedgedFails = GENERATE(true, false);
    const bool noRoom = GENERATE(true, false);
    hedge_fixture w;
    const auto token = w.submit();
    const auto first = w.startOverdue();
    const auto hedged = w.pool.nextCall(w.servers);
    REQUIRE(hedged);
    const auto takenBefore = w.retryBudget.takeUsage().at(service_id("s")).taken;
    const auto &failing = hedgedFails ? *hedged : first;
    const auto &other = hedgedFails ? first : *hedged;
    CHECK(w.pool
              .onEnd(failing.id, noRoom ? stage_call_end::Answered : stage_call_end::NotRun,
                     {piece_failure::NoRoom})
              .empty());
    CHECK(w.pool.waiting() == 0);
    CHECK(w.heldAt(failing) == 0);
    CHECK(w.retryBudget.takeUsage().at(service_id("s")).taken == takenBefore);
    SECTION("the other one answers")
    {
        const auto outcomes = w.answer(other);
        REQUIRE(outcomes.size() == 1);
        CHECK(outcomes[0].token == token);
    }
    SECTION("the other one fails too, and the piece is retried once")
    {
        CHECK(w.breakOff(other).empty());
        CHECK(w.pool.waiting() == 1);
    }
}

TEST_CASE("hedged_calls: both results of a withdrawn piece are returned to be freed")
{
    hedge_fixture w;
    const auto token = w.submit();
    const auto first = w.startOverdue();
    const auto hedged = w.pool.nextCall(w.servers);
    REQUIRE(hedged);
    w.pool.withdraw(token);
    CHECK(w.answer(first).at(0).token == 0);
    CHECK(w.answer(*hedged).at(0).token == 0);
    CHECK(w.pool.takeHedgeCounts().freed == 1);
}

TEST_CASE("hedged_calls: no second call is made against one of its conditions")
{
    SECTION("the request may not be repeated")
    {
        hedge_fixture w;
        w.submit(false);
        REQUIRE(w.pool.nextCall(w.servers));
        CHECK_FALSE(w.pool.wakeAt());
        w.clock.advance(milliseconds{400});
        CHECK_FALSE(w.pool.nextCall(w.servers));
    }
    SECTION("the policy is disabled")
    {
        hedge_fixture w;
        w.pool.setHedgesCalls(false);
        w.submit();
        REQUIRE(w.pool.nextCall(w.servers));
        w.clock.advance(milliseconds{400});
        CHECK_FALSE(w.pool.nextCall(w.servers));
    }
    SECTION("the piece would be late all the same")
    {
        hedge_fixture w;
        w.submit(true, milliseconds{500});
        REQUIRE(w.pool.nextCall(w.servers));
        CHECK_FALSE(w.pool.wakeAt());
        w.clock.advance(milliseconds{400});
        CHECK_FALSE(w.pool.nextCall(w.servers));
    }
    SECTION("the piece has time to spare")
    {
        hedge_fixture w;
        w.submit(true, milliseconds{2000});
        const auto first = w.startOverdue();
        CHECK(w.pool.nextCall(w.servers)->overdueAge == milliseconds{1737}); // not after 315 ms
    }
    SECTION("a request is suspected of crashing servers")
    {
        hedge_fixture w;
        w.pool.setMayRetry([](const request_digest &) { return false; });
        w.submit();
        w.startOverdue();
        CHECK_FALSE(w.pool.nextCall(w.servers));
    }
    SECTION("the other server lacks storage")
    {
        hedge_fixture w;
        for (int i = 0; i < 8; ++i)
            w.submit();
        const auto first = w.pool.nextCall(w.servers);
        const auto other = w.pool.nextCall(w.servers);
        REQUIRE(first->pieces.size() == 4);
        (void)w.answer(*other); // 4 of 6 results are held
        w.clock.advance(milliseconds{360});
        CHECK_FALSE(w.pool.nextCall(w.servers));
    }
    SECTION("the retry budget is used up")
    {
        hedge_fixture w(0.0);
        w.submit();
        w.startOverdue();
        CHECK_FALSE(w.pool.nextCall(w.servers));
    }
    SECTION("there were fewer than 20 calls for each hedged one")
    {
        hedge_fixture w(1000.0, 19);
        w.submit();
        const auto first = w.startOverdue();
        const auto hedged = w.pool.nextCall(w.servers);
        REQUIRE(hedged); // the 20th
        (void)w.answer(*hedged);
        (void)w.answer(first);
        w.submit();
        w.startOverdue();
        CHECK_FALSE(w.pool.nextCall(w.servers));
    }
}

// Guards against an average that hides a slowdown after its first call, and against one that never
// learns that a server is always slow.
TEST_CASE("hedged_calls: the usual time of a server follows lasting slowness only")
{
    manual_clock clock;
    hedged_calls hedges{clock};
    const server_start slow{backend_server_id("s"), {}};
    const auto overdue = [&] { return hedges.overdueAt(slow, milliseconds{200}) - clock.now(); };
    for (int i = 0; i < 4; ++i)
        hedges.onAnswered(slow, 2.5);
    CHECK(overdue() == milliseconds{300});
    hedges.onAnswered(slow, 2.5);
    CHECK(overdue() == milliseconds{750});
    for (int i = 0; i < 9; ++i)
        hedges.onAnswered(slow, 0.6);
    CHECK(overdue() == milliseconds{300});
}

// Guards against a host that doesn't learn that the request of a piece may not be repeated.
TEST_CASE("hedged_calls: a piece frame says whether the piece may be computed twice")
{
    for (const bool mayBeHedged : {false, true}) {
        submit_piece_frame frame;
        frame.mayBeHedged = mayBeHedged;
        frame_splitter splitter;
        const auto read = splitter.feed(encodeFrame(frame));
        REQUIRE(read);
        CHECK(std::get<submit_piece_frame>(read.value().at(0)).mayBeHedged == mayBeHedged);
    }
}
