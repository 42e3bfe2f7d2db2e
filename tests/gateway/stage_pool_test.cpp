#include "gateway/stages/stage_pool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::uint64_t PieceBytes = 100;

stage_capacity makeCapacity()
{
    stage_capacity capacity;
    capacity.maxPiecesPerCall = 4;
    capacity.callOverhead = milliseconds{200};
    capacity.timePerPiece = std::chrono::milliseconds{10};
    capacity.resultMemoryBytes = 6 * PieceBytes;
    capacity.resultLifetime = milliseconds{4000};
    return capacity;
}

struct pool_fixture
{
    manual_clock clock;
    service_retry_budget retryBudget{clock, {0.0, 1000.0, milliseconds{10'000}}};
    stage_pool pool{clock, service_id("s"), retryBudget};
    std::vector<server_ptr> servers;
    piece_token lastToken = 0;

    explicit pool_fixture(std::size_t count = 1)
    {
        pool.setCapacity(makeCapacity());
        for (std::size_t i = 0; i < count; ++i) {
            servers.push_back(std::make_shared<server>());
            servers.back()->record.id = backend_server_id("s" + std::to_string(i));
            servers.back()->record.dataCenter = data_center_id(i == 0 ? "a" : "b");
        }
    }

    piece_token submit(const std::string &request, std::uint32_t piece, milliseconds softDeadline,
                       std::uint32_t priority = 1)
    {
        piece_task job;
        job.token = ++lastToken;
        job.request.attempt = request;
        job.request.piece = piece;
        job.rank.priority = priority;
        job.softDeadline = clock.now() + softDeadline;
        job.deadline = clock.now() + softDeadline + milliseconds{5000};
        job.resultBytes = PieceBytes;
        pool.submit(job);
        return job.token;
    }
    /// Ends a call with a result handle for each piece.
    std::vector<piece_outcome> answer(const stage_call &call)
    {
        std::vector<piece_result> results;
        for (std::size_t i = 0; i < call.pieces.size(); ++i)
            results.emplace_back("h" + std::to_string(call.id) + "/" + std::to_string(i));
        return pool.onEnd(call.id, stage_call_end::Answered, results);
    }
    std::vector<piece_outcome> fail(const stage_call &call, piece_failure why)
    {
        const std::vector<piece_result> results(call.pieces.size(), piece_result{why});
        return pool.onEnd(call.id, stage_call_end::Answered, results);
    }
};

std::vector<std::string> requestsOf(const stage_call &call)
{
    std::vector<std::string> names;
    std::ranges::transform(call.pieces, std::back_inserter(names), &piece_request::attempt);
    return names;
}

} // namespace

TEST_CASE("pieces submitted while all servers are busy share the next call")
{
    pool_fixture w;
    w.submit("r1", 0, milliseconds{2000});
    const auto first = w.pool.nextCall(w.servers);
    REQUIRE(first);
    w.submit("r2", 0, milliseconds{2000});
    w.submit("r3", 0, milliseconds{2000});
    CHECK_FALSE(w.pool.nextCall(w.servers));
    CHECK(w.answer(*first).size() == 1);
    const auto second = w.pool.nextCall(w.servers);
    REQUIRE(second);
    CHECK(requestsOf(*second) == std::vector<std::string>{"r2", "r3"});
}

TEST_CASE("pieces are ordered by priority, then by target time, with late ones last")
{
    pool_fixture w;
    w.submit("late", 0, milliseconds{100}, 0);
    w.submit("later", 0, milliseconds{3000});
    w.submit("sooner", 0, milliseconds{2000});
    w.submit("urgent", 0, milliseconds{4000}, 0);
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    CHECK(requestsOf(*call) == std::vector<std::string>{"urgent", "sooner", "later", "late"});
}

TEST_CASE("pieces of equal priority are ordered by route priority")
{
    pool_fixture w;
    w.submit("minor", 0, milliseconds{1000});
    piece_task major;
    major.token = 99;
    major.request.attempt = "major";
    major.rank.priority = 1;
    major.rank.routePriority = 0;
    major.softDeadline = w.clock.now() + milliseconds{3000};
    major.deadline = major.softDeadline;
    piece_task minor = major;
    minor.token = 98;
    minor.request.attempt = "third";
    minor.rank.routePriority = 2;
    minor.softDeadline = w.clock.now() + milliseconds{900};
    w.pool.submit(minor);
    w.pool.submit(major);
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    CHECK(requestsOf(*call).back() == "third");
}

TEST_CASE("the pieces of one request aren't split while they can wait for a common call")
{
    pool_fixture w;
    w.submit("r1", 0, milliseconds{1000});
    w.submit("r1", 1, milliseconds{1000});
    w.submit("r1", 2, milliseconds{1000});
    for (std::uint32_t i = 0; i < 3; ++i)
        w.submit("r2", i, milliseconds{2000});
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    CHECK(requestsOf(*call) == std::vector<std::string>{"r1", "r1", "r1"});
}

TEST_CASE("the pieces of a request are split after the maximum group wait")
{
    pool_fixture w;
    for (std::uint32_t i = 0; i < 3; ++i)
        w.submit("r1", i, milliseconds{1000});
    for (std::uint32_t i = 0; i < 3; ++i)
        w.submit("r2", i, milliseconds{2000});
    w.clock.advance(milliseconds{400});
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    CHECK(requestsOf(*call) == std::vector<std::string>{"r1", "r1", "r1", "r2"});
}

TEST_CASE("no call is made without room for its results until results are freed")
{
    pool_fixture w;
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("r1", i, milliseconds{2000});
    const auto first = w.pool.nextCall(w.servers);
    const auto outcomes = w.answer(*first);
    for (std::uint32_t i = 0; i < 3; ++i)
        w.submit("r2", i, milliseconds{2000});
    CHECK_FALSE(w.pool.nextCall(w.servers));
    w.pool.onFreed(std::get<std::string>(outcomes[0].result));
    const auto second = w.pool.nextCall(w.servers);
    REQUIRE(second);
    CHECK(second->pieces.size() == 3);
}

TEST_CASE("results that aren't freed expire")
{
    pool_fixture w;
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("r1", i, milliseconds{2000});
    (void)w.answer(*w.pool.nextCall(w.servers));
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("r2", i, milliseconds{9000});
    CHECK_FALSE(w.pool.nextCall(w.servers));
    w.clock.advance(milliseconds{4100});
    CHECK(w.pool.nextCall(w.servers));
    CHECK(w.pool.heldBytesAt({backend_server_id("s0"), {}}) == 4 * PieceBytes);
}

TEST_CASE("pieces of a refused call wait again, and the server is paused")
{
    pool_fixture w(2);
    w.submit("r1", 0, milliseconds{2000});
    const auto first = w.pool.nextCall(w.servers);
    CHECK(w.pool.onEnd(first->id, stage_call_end::NotRun, {}).empty());
    const auto second = w.pool.nextCall(w.servers);
    REQUIRE(second);
    CHECK(second->server != first->server);
    CHECK(w.pool.heldBytesAt(first->server->record.start()) == 0);
}

TEST_CASE("a piece is retried after missing room but not after a lost input")
{
    pool_fixture w;
    w.submit("r1", 0, milliseconds{2000});
    CHECK(w.fail(*w.pool.nextCall(w.servers), piece_failure::NoRoom).empty());
    REQUIRE(w.pool.wakeAt());
    w.clock.advance(milliseconds{200});
    const auto outcomes = w.fail(*w.pool.nextCall(w.servers), piece_failure::InputGone);
    REQUIRE(outcomes.size() == 1);
    CHECK(std::get<piece_failure>(outcomes[0].result) == piece_failure::InputGone);
}

// Guards against the loss of a server's whole capacity after one result didn't fit.
TEST_CASE("stage_pool: a server refuses a result for lack of storage")
{
    pool_fixture w;
    const auto submitSmall = [&] {
        piece_task job;
        job.token = ++w.lastToken;
        job.request.attempt = "small";
        job.softDeadline = w.clock.now() + milliseconds{2000};
        job.deadline = job.softDeadline;
        job.resultBytes = PieceBytes / 10;
        w.pool.submit(job);
    };
    const bool usesRoom = GENERATE(true, false);
    w.pool.setUsesResultRoom(usesRoom);
    w.submit("large", 0, milliseconds{2000});
    CHECK(w.fail(*w.pool.nextCall(w.servers), piece_failure::NoRoom).empty());
    submitSmall();
    const auto next = w.pool.nextCall(w.servers);
    if (usesRoom) {
        REQUIRE(next);
        CHECK(requestsOf(*next) == std::vector<std::string>{"small"});
    } else {
        CHECK_FALSE(next);
        w.clock.advance(milliseconds{150});
        CHECK(w.pool.nextCall(w.servers));
    }
}

TEST_CASE("stage_pool: the pool wakes when a result expires that was never freed")
{
    pool_fixture w;
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("r1", i, milliseconds{2000});
    (void)w.answer(*w.pool.nextCall(w.servers));
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("r2", i, milliseconds{9000});
    CHECK_FALSE(w.pool.nextCall(w.servers));
    REQUIRE(w.pool.wakeAt());
    CHECK(*w.pool.wakeAt() == w.clock.now() + makeCapacity().resultLifetime);
}

namespace {

/// A server that holds as many results as fit, whose free isn't due for 0.5 s.
struct full_pool : pool_fixture
{
    full_pool()
    {
        for (int call = 0; call < 2; ++call) {
            for (std::uint32_t i = 0; i < 3; ++i)
                submit("held" + std::to_string(call), i, milliseconds{4000});
            (void)answer(*pool.nextCall(servers));
        }
    }
};

} // namespace

// Guards against pieces that wait in vain: in an overload burst they were dropped after 440 to 1070
// ms.
TEST_CASE("stage_pool: a piece that can't have storage in time is dropped on arrival")
{
    full_pool w;
    const bool usesRoom = GENERATE(true, false);
    w.pool.setUsesResultRoom(usesRoom);
    const auto late = w.submit("late", 0, milliseconds{600});
    w.submit("in time", 0, milliseconds{1500});
    const auto dropped = w.pool.expire(1);
    if (usesRoom) {
        REQUIRE(dropped.size() == 1);
        CHECK(dropped[0].token == late);
    } else {
        CHECK(dropped.empty());
    }
}

TEST_CASE("stage_pool: the expected wait is the longer one of those for storage and for servers")
{
    full_pool w;
    // Without a measured hold time: a full call of 240 ms and 300 ms, counted from the call's
    // start.
    const auto wait = w.pool.expectedWait({1, 0}, 1, PieceBytes);
    CHECK(wait > milliseconds{450});
    CHECK(wait <= milliseconds{540});
    CHECK(w.pool.expectedWait({1, 0}, 1, PieceBytes / 20) == milliseconds{0});
    CHECK(w.pool.expectedWait({1, 0}, 2, PieceBytes) == milliseconds{0});
    w.pool.setUsesResultRoom(false);
    CHECK(w.pool.expectedWait({1, 0}, 1, PieceBytes) == milliseconds{0});
}

// Guards against pieces that are computed, and occupy storage, for requests that were refused.
TEST_CASE("stage_pool: the waiting pieces of a request are dropped together")
{
    pool_fixture w;
    const bool usesRoom = GENERATE(true, false);
    w.pool.setUsesResultRoom(usesRoom);
    SECTION("when one passed its deadline")
    {
        piece_task job;
        job.token = 50;
        job.request.attempt = "r1";
        job.deadline = w.clock.now() + milliseconds{10};
        w.pool.submit(job);
        w.submit("r1", 1, milliseconds{2000});
        w.submit("r2", 0, milliseconds{2000});
        w.clock.advance(milliseconds{20});
        CHECK(w.pool.expire(1).size() == (usesRoom ? 2 : 1));
        CHECK(w.pool.waiting() == (usesRoom ? 1 : 2));
    }
    SECTION("when one failed in a call")
    {
        while (w.retryBudget.tryAcquire(service_id("s")))
            ;
        for (std::uint32_t i = 0; i < 5; ++i)
            w.submit("r1", i, milliseconds{2000});
        w.submit("r2", 0, milliseconds{3000});
        const auto call = w.pool.nextCall(w.servers);
        REQUIRE(call->pieces.size() == 4);
        CHECK(w.pool.onEnd(call->id, stage_call_end::Broken, {}).size() == (usesRoom ? 5 : 4));
        CHECK(w.pool.waiting() == (usesRoom ? 1 : 2));
    }
}

TEST_CASE("stage_pool: the pieces of a request are late together")
{
    pool_fixture w;
    const bool usesRoom = GENERATE(true, false);
    w.pool.setUsesResultRoom(usesRoom);
    for (int i = 0; i < 8; ++i)
        w.submit("ahead" + std::to_string(i), 0, milliseconds{60'000}, 0);
    w.clock.advance(milliseconds{30'000}); // the arrivals before are forgotten
    // Eight pieces take 480 ms; a call after these and spare time of 120 ms end in time, but one
    // after two more pieces doesn't.
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("group", i, milliseconds{900});
    CHECK(w.pool.expire(1).size() == (usesRoom ? 4 : 2));
}

TEST_CASE("stage_pool: a group is begun in parts only if storage for the rest is free in time")
{
    pool_fixture w;
    const bool usesRoom = GENERATE(true, false);
    w.pool.setUsesResultRoom(usesRoom);
    for (std::uint32_t i = 0; i < 3; ++i)
        w.submit("held", i, milliseconds{2000});
    (void)w.answer(*w.pool.nextCall(w.servers));
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("short", i, milliseconds{600});
    w.clock.advance(milliseconds{300});
    const auto call = w.pool.nextCall(w.servers);
    CHECK(call.has_value() == !usesRoom);
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("long", i, milliseconds{2000});
    w.clock.advance(milliseconds{100});
    if (usesRoom)
        CHECK_FALSE(w.pool.nextCall(w.servers)); // it waits until it fits in one call
    w.clock.advance(milliseconds{200});
    if (usesRoom) {
        const auto parts = w.pool.nextCall(w.servers);
        REQUIRE(parts);
        CHECK(parts->pieces.size() == 3);
    }
}

TEST_CASE("stage_pool: an idle pool refuses nothing for lack of storage")
{
    pool_fixture w;
    for (std::uint32_t i = 0; i < 6; ++i)
        w.submit("r" + std::to_string(i), 0, milliseconds{1000});
    CHECK(w.pool.expectedWait({0, 0}, 1, PieceBytes) == milliseconds{0});
    CHECK(w.pool.expire(1).empty());
}

TEST_CASE("a failed piece is reported when the retry budget is used up")
{
    pool_fixture w;
    while (w.retryBudget.tryAcquire(service_id("s")))
        ;
    w.submit("r1", 0, milliseconds{2000});
    const auto call = w.pool.nextCall(w.servers);
    const auto outcomes = w.pool.onEnd(call->id, stage_call_end::Broken, {});
    REQUIRE(outcomes.size() == 1);
    CHECK(std::get<piece_failure>(outcomes[0].result) == piece_failure::Error);
}

TEST_CASE("a call that wasn't sent is retried without using the retry budget")
{
    pool_fixture w;
    while (w.retryBudget.tryAcquire(service_id("s")))
        ;
    w.submit("r1", 0, milliseconds{2000});
    const auto call = w.pool.nextCall(w.servers);
    CHECK(w.pool.onEnd(call->id, stage_call_end::NotSent, {}).empty());
    CHECK(w.pool.waiting() == 1);
}

TEST_CASE("late pieces are dropped only while pieces in time keep all servers busy")
{
    pool_fixture w;
    w.submit("late", 0, milliseconds{50});
    CHECK(w.pool.expire(1).empty());
    for (std::uint32_t i = 0; i < 5; ++i)
        w.submit("r" + std::to_string(i), 0, milliseconds{3000});
    const auto outcomes = w.pool.expire(1);
    REQUIRE(outcomes.size() == 1);
    CHECK(std::get<piece_failure>(outcomes[0].result) == piece_failure::Late);
}

TEST_CASE("the result of a withdrawn piece is returned without a token")
{
    pool_fixture w;
    const auto token = w.submit("r1", 0, milliseconds{2000});
    const auto call = w.pool.nextCall(w.servers);
    w.pool.withdraw(token);
    const auto outcomes = w.answer(*call);
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].token == 0);
    CHECK(std::holds_alternative<std::string>(outcomes[0].result));
}

TEST_CASE("pieces prefer a server in the data centre of their inputs")
{
    pool_fixture w(2);
    piece_task job;
    job.token = 1;
    job.request.attempt = "r1";
    job.softDeadline = w.clock.now() + milliseconds{2000};
    job.deadline = job.softDeadline;
    job.preferredDataCenter = data_center_id("b");
    w.pool.submit(job);
    CHECK(w.pool.nextCall(w.servers)->server->record.id.value == "s1");
}

TEST_CASE("the summary covers only the activity since the last one")
{
    pool_fixture w;
    w.submit("r1", 0, milliseconds{2000});
    (void)w.pool.nextCall(w.servers);
    const auto summary = w.pool.takeSummary();
    CHECK(summary.calls == 1);
    CHECK(summary.ranks.at(1).pieces == 1);
    CHECK(w.pool.takeSummary().calls == 0);
}

namespace {

/// Advances with each reading, as a real clock may.
class advancing_clock final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override
    {
        m_now += std::chrono::microseconds{1};
        return m_now;
    }
    [[nodiscard]] wall_time wallNow() const override { return {}; }

private:
    mutable steady_time m_now{std::chrono::hours{24}};
};

} // namespace

TEST_CASE("sorting keeps a consistent order when a piece becomes late meanwhile")
{
    const advancing_clock clock;
    service_retry_budget retryBudget(clock, {0.0, 1000.0, milliseconds{10'000}});
    const auto only = std::make_shared<server>();
    only->record.id = backend_server_id("s0");
    stage_capacity capacity = makeCapacity();
    capacity.maxPiecesPerCall = 100;
    capacity.resultMemoryBytes = 0;
    // The first piece is the most urgent, and becomes late at a different time of the sort in each
    // iteration. The last piece belongs directly behind it.
    constexpr std::array<std::uint32_t, 7> Priorities{0, 5, 5, 5, 5, 5, 1};
    constexpr int Moments = 150;
    for (int moment = 0; moment < Moments; ++moment) {
        stage_pool pool(clock, service_id("s"), retryBudget);
        pool.setCapacity(capacity);
        const auto begin = clock.now();
        for (std::size_t i = 0; i < Priorities.size(); ++i) {
            piece_task job;
            job.token = i + 1;
            job.request.attempt = "r" + std::to_string(i);
            job.rank.priority = Priorities[i];
            job.softDeadline = begin + std::chrono::seconds{1};
            if (i == 0)
                job.softDeadline =
                    begin + capacity.callOverhead + std::chrono::microseconds{moment};
            job.deadline = begin + std::chrono::seconds{5};
            pool.submit(job);
        }
        const auto call = pool.nextCall({only});
        REQUIRE(call);
        CHECK(call->pieces.size() == Priorities.size());
    }
}

TEST_CASE("a piece with large inputs waits for a local server while its soft deadline allows")
{
    pool_fixture w(2);
    milliseconds softDeadline{3000};
    const auto submitAt = [&](const std::string &request, std::uint64_t inputBytes) {
        piece_task job;
        job.token = ++w.lastToken;
        job.request.attempt = request;
        job.softDeadline = w.clock.now() + softDeadline;
        job.deadline = job.softDeadline;
        job.preferredDataCenter = data_center_id("b");
        job.inputBytes = inputBytes;
        w.pool.submit(job);
    };
    submitAt("first", 1'000'000);
    const auto busy = w.pool.nextCall(w.servers);
    REQUIRE(busy);
    REQUIRE(busy->server->record.dataCenter.value == "b");

    submitAt("large", 1'000'000);
    CHECK_FALSE(w.pool.nextCall(w.servers));
    const auto wake = w.pool.wakeAt();
    REQUIRE(wake);
    CHECK(*wake - w.clock.now() == milliseconds{700});

    SECTION("and goes to that server when it becomes idle")
    {
        w.clock.advance(milliseconds{50});
        w.answer(*busy);
        const auto call = w.pool.nextCall(w.servers);
        REQUIRE(call);
        CHECK(call->server->record.dataCenter.value == "b");
    }
    SECTION("and goes to another data centre after the maximum wait")
    {
        w.clock.advance(milliseconds{700});
        const auto call = w.pool.nextCall(w.servers);
        REQUIRE(call);
        CHECK(call->server->record.dataCenter.value == "a");
    }
    SECTION("and goes to another data centre when a full call would just meet its soft deadline")
    {
        const auto fullCall = makeCapacity().callOverhead
            + makeCapacity().timePerPiece * static_cast<int>(makeCapacity().maxPiecesPerCall);
        softDeadline = std::chrono::duration_cast<milliseconds>(fullCall) + milliseconds{30};
        submitAt("due", 1'000'000);
        CHECK_FALSE(w.pool.nextCall(w.servers));
        w.clock.advance(milliseconds{30});
        const auto call = w.pool.nextCall(w.servers);
        REQUIRE(call);
        CHECK(requestsOf(*call) == std::vector<std::string>{"due"});
    }
    SECTION("but doesn't wait if its inputs are small")
    {
        submitAt("small", 1000);
        const auto call = w.pool.nextCall(w.servers);
        REQUIRE(call);
        CHECK(requestsOf(*call) == std::vector<std::string>{"small"});
    }
    SECTION("and doesn't wait if that data centre has no server")
    {
        w.servers.pop_back();
        CHECK(w.pool.nextCall(w.servers));
    }
    SECTION("and doesn't wait if more pieces wait than the servers take at once")
    {
        const auto round = w.servers.size() * makeCapacity().maxPiecesPerCall;
        while (w.pool.waiting() < round)
            submitAt("r" + std::to_string(w.pool.waiting()), 1'000'000);
        CHECK_FALSE(w.pool.nextCall(w.servers));
        submitAt("more", 1'000'000);
        CHECK(w.pool.nextCall(w.servers));
    }
}

TEST_CASE("a new piece that the queue makes late is dropped at once under overload")
{
    pool_fixture w;
    const auto fullCall = milliseconds{200} + 4 * milliseconds{10};
    for (int i = 0; i < 8; ++i)
        w.submit("ahead" + std::to_string(i), 0, milliseconds{5000}, 0);
    const auto hopeless = w.submit("hopeless", 0, 2 * fullCall, 1);
    const auto served = w.submit("served", 0, 9 * fullCall, 1);
    const auto dropped = w.pool.expire(1);
    REQUIRE(dropped.size() == 1);
    CHECK(dropped[0].token == hopeless);
    CHECK(served != hopeless);
}

// Guards against a broken promise: the host had reserved a place for the piece.
TEST_CASE("a piece with a reservation is dropped only when it can't begin in time any more")
{
    pool_fixture w;
    for (std::uint32_t i = 0; i < 12; ++i)
        w.submit("ahead", i, milliseconds{5000}, 0);
    const auto unreserved = w.submit("unreserved", 0, milliseconds{600});
    const auto reserved = ++w.lastToken;
    piece_task job;
    job.token = reserved;
    job.request.attempt = "reserved";
    job.rank.priority = 1;
    job.softDeadline = w.clock.now() + milliseconds{600};
    job.deadline = w.clock.now() + milliseconds{5000};
    job.resultBytes = PieceBytes;
    job.reserved = true;
    w.pool.submit(job);
    const auto first = w.pool.expire(1);
    REQUIRE(first.size() == 1);
    CHECK(first[0].token == unreserved);
    w.clock.advance(milliseconds{400}); // a call that starts now ends at the soft deadline
    CHECK(w.pool.expire(1).empty());
    w.clock.advance(milliseconds{1});
    const auto second = w.pool.expire(1);
    REQUIRE(second.size() == 1);
    CHECK(second[0].token == reserved);
}

// Guards against a granted piece that ends late and makes the pieces behind it late too.
TEST_CASE("a reserved piece that would end late in the next call gives way to pieces in time")
{
    const auto fullCall = milliseconds{200} + 4 * milliseconds{10};
    const auto firstCallAfter = [&](milliseconds missed) {
        pool_fixture w;
        piece_task job;
        job.request.attempt = "reserved";
        job.rank.priority = 1;
        job.softDeadline = w.clock.now() + fullCall - missed;
        job.deadline = w.clock.now() + milliseconds{5000};
        job.reserved = true;
        w.pool.submit(job);
        for (std::uint32_t i = 0; i < 4; ++i)
            w.submit("in time" + std::to_string(i), 0, 2 * fullCall);
        CHECK(w.pool.expire(1).empty());
        return requestsOf(*w.pool.nextCall(w.servers)).front();
    };
    CHECK(firstCallAfter(milliseconds{0}) == "reserved");
    CHECK(firstCallAfter(milliseconds{1}) == "in time0");
}

TEST_CASE("a later-stage piece is dropped when the queue makes it late, but needs no spare time")
{
    // Eight urgent pieces take 0.63 s, including the expected arrivals of more. A new piece must
    // have half a call, 0.12 s, to spare beside that and its own call.
    const auto isDropped = [](milliseconds softDeadline, std::vector<std::string> inputs) {
        pool_fixture w;
        for (int i = 0; i < 8; ++i)
            w.submit("ahead" + std::to_string(i), 0, milliseconds{5000}, 0);
        piece_task job;
        job.token = 100;
        job.request.inputs = std::move(inputs);
        job.rank.priority = 1;
        job.softDeadline = w.clock.now() + softDeadline;
        job.deadline = w.clock.now() + milliseconds{5000};
        w.pool.submit(job);
        return !w.pool.expire(1).empty();
    };
    CHECK(isDropped(milliseconds{700}, {"h/1"}));
    CHECK_FALSE(isDropped(milliseconds{900}, {"h/1"}));
    CHECK(isDropped(milliseconds{900}, {}));
    CHECK_FALSE(isDropped(milliseconds{1000}, {}));
}

TEST_CASE("the expected wait of a rank counts preceding pieces but not late ones")
{
    pool_fixture w;
    w.submit("late", 0, milliseconds{100}, 0);
    for (int i = 0; i < 8; ++i)
        w.submit("r" + std::to_string(i), 0, milliseconds{60'000}, 1);
    // Without a result the piece waits for the time of a server alone.
    w.clock.advance(milliseconds{30'000});
    CHECK(w.pool.expectedWait({0, 0}, 1, 0) == milliseconds{0});
    CHECK(w.pool.expectedWait({1, 0}, 1, 0) == milliseconds{480});
    // A server that is limited to a quarter of its possible calls.
    CHECK(w.pool.expectedWait({1, 0}, 0.25, 0) == milliseconds{1920});
    CHECK(w.pool.expectedWait({2, 0}, 2, 0) == milliseconds{240});
}

TEST_CASE("arrivals of more urgent pieces increase the expected wait of other ranks")
{
    pool_fixture w;
    for (int i = 0; i < 8; ++i)
        w.submit("r" + std::to_string(i), 0, milliseconds{60'000}, 1);
    w.clock.advance(milliseconds{30'000});
    for (int i = 0; i < 8; ++i)
        (void)w.submit("urgent" + std::to_string(i), 0, milliseconds{100}, 0);
    CHECK(w.pool.expectedWait({1, 0}, 1, PieceBytes) > milliseconds{480});
    CHECK(w.pool.expectedWait({0, 0}, 1, PieceBytes) == milliseconds{0});
}

TEST_CASE("stage_pool: a piece that may have crashed servers isn't retried")
{
    pool_fixture w(2);
    const auto crashing = requestDigestOf({customer_id("c"), "h", "/p", "crash"});
    w.pool.setMayRetry([&](const request_digest &request) { return request != crashing; });
    piece_task job;
    job.token = 7;
    job.request.digest = crashing;
    job.deadline = w.clock.now() + milliseconds{5000};
    w.pool.submit(job);
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    SECTION("after its connection broke")
    {
        const auto outcomes = w.pool.onEnd(call->id, stage_call_end::Broken, {});
        REQUIRE(outcomes.size() == 1);
        CHECK(std::get<piece_failure>(outcomes.front().result) == piece_failure::Error);
        CHECK(w.pool.waiting() == 0);
    }
    SECTION("except after a call that wasn't sent")
    {
        CHECK(w.pool.onEnd(call->id, stage_call_end::NotSent, {}).empty());
        CHECK(w.pool.waiting() == 1);
    }
}

// Guards against pieces staying in a pool whose data centre is cut off. Its servers refuse
// connections at once.
TEST_CASE("stage_pool: a piece that may change pools fails if servers are unreachable")
{
    pool_fixture w(3);
    piece_task job;
    job.token = 7;
    job.deadline = w.clock.now() + milliseconds{5000};
    job.mayChangePool = true;
    const auto failToSend = [&] {
        return w.pool.onEnd(w.pool.nextCall(w.servers)->id, stage_call_end::NotSent, {});
    };
    w.pool.submit(job);
    SECTION("after the second unreachable server")
    {
        CHECK(failToSend().empty());
        const auto outcomes = failToSend();
        REQUIRE(outcomes.size() == 1);
        CHECK(std::get<piece_failure>(outcomes.front().result)
              == piece_failure::ServersUnreachable);
    }
    SECTION("at once while all servers are paused, but not afterwards")
    {
        w.servers.resize(1);
        CHECK(failToSend().empty());
        REQUIRE_FALSE(w.pool.nextCall(w.servers));
        CHECK(w.pool.failUnreached(w.servers).size() == 1);
        w.clock.advance(milliseconds{5000});
        w.pool.submit(job);
        CHECK(w.pool.failUnreached(w.servers).empty());
        CHECK(w.pool.nextCall(w.servers));
    }
    SECTION("but waits while a server is only busy")
    {
        w.servers.resize(1);
        piece_task first = job;
        first.token = 6;
        w.pool.submit(first);
        REQUIRE(w.pool.nextCall(w.servers));
        CHECK(w.pool.failUnreached(w.servers).empty());
    }
    SECTION("but waits if it may not change pools")
    {
        w.pool.withdraw(job.token);
        job.mayChangePool = false;
        w.pool.submit(job);
        CHECK(failToSend().empty());
        CHECK(failToSend().empty());
        CHECK(w.pool.failUnreached(w.servers).empty());
    }
}

// Guards against a piece that runs in two pools: one in a call may have run, and one that was
// redirected is withdrawn from this pool.
TEST_CASE("waiting pieces that may be redirected are taken out by group, and those of calls aren't")
{
    pool_fixture w;
    const auto submitGroup = [&](const std::string &request, bool mayBeRedirected) {
        for (std::uint32_t i = 0; i < 2; ++i) {
            piece_task job;
            job.token = ++w.lastToken;
            job.request.attempt = request;
            job.request.piece = i;
            job.softDeadline = w.clock.now() + milliseconds{2000};
            job.deadline = job.softDeadline;
            job.resultBytes = PieceBytes;
            job.mayBeRedirected = mayBeRedirected;
            w.pool.submit(job);
        }
    };
    submitGroup("running", true);
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    submitGroup("fixed", false);
    submitGroup("movable", true);
    auto groups = w.pool.redirectableGroups(1);
    REQUIRE(groups.size() == 1);
    CHECK(groups[0].tokens == std::vector<std::uint64_t>{5, 6});
    CHECK(groups[0].resultBytes == 2 * PieceBytes);
    CHECK(groups[0].wait >= milliseconds{200}); // behind a full call
    const pool_key other{service_id("s"), data_center_id("b")};
    const auto out = w.pool.takeGroups({{other, groups[0].tokens, 1}});
    REQUIRE(out.size() == 2);
    CHECK(out[0].result == piece_result{piece_failure::Redirected});
    CHECK(out[0].redirectedTo == other);
    CHECK(w.pool.waiting() == 2);
    // A piece that waits again after a call that may have run it stays.
    CHECK(w.pool.onEnd(call->id, stage_call_end::Broken, {}).empty());
    CHECK(w.pool.waiting() == 4);
    CHECK(w.pool.redirectableGroups(1).empty());
}

TEST_CASE("the load of a pool has its idle servers, free result storage and waits by rank")
{
    pool_fixture w(3);
    w.submit("r1", 0, milliseconds{2000});
    REQUIRE(w.pool.nextCall(w.servers));
    w.servers[2]->coldUntil = w.clock.now() + milliseconds{1000};
    const pool_key key{service_id("s"), data_center_id("a")};
    const auto idle = w.pool.loadOf(key, w.servers, 3);
    CHECK(idle.waiting == 0);
    CHECK(idle.idleServers == 1);
    CHECK(idle.freeResultBytes == 17 * PieceBytes);
    CHECK(idle.piecesPerSecond == Approx(3 * 4 / 0.24));
    CHECK(idle.waits.empty());
    for (std::uint32_t i = 0; i < 12; ++i)
        w.submit("r2", i, milliseconds{2000}, 1 + i % 2);
    const auto loaded = w.pool.loadOf(key, w.servers, 3);
    CHECK(loaded.waiting == 12);
    REQUIRE(loaded.waits.size() == 2);
    CHECK(loaded.waits[0].rank.priority == 1);
    CHECK(loaded.waits[0].wait < loaded.waits[1].wait);
}

// Guards against requests that fail because a few servers had no storage for a result.
TEST_CASE("stage_pool: a piece without storage waits until it is late, whatever the retry budget")
{
    pool_fixture w;
    while (w.retryBudget.tryAcquire(service_id("s")))
        ;
    w.submit("r", 0, milliseconds{5000});
    constexpr int Refusals = 8; // more than the calls that other failures allow
    for (int i = 0; i < Refusals; ++i) {
        const auto call = w.pool.nextCall(w.servers);
        REQUIRE(call);
        CHECK(w.fail(*call, piece_failure::NoRoom).empty());
        w.clock.advance(milliseconds{150});
    }
    CHECK(w.pool.waiting() == 1);
}

// Guards against a piece that keeps its request waiting until the next event at the pool, although
// it can no longer begin in time.
TEST_CASE("stage_pool: the pool wakes when a waiting piece becomes late and when it expires")
{
    pool_fixture w;
    for (std::uint32_t i = 0; i < 4; ++i)
        w.submit("r1", i, milliseconds{2000});
    (void)w.answer(*w.pool.nextCall(w.servers));
    const auto submittedAt = w.clock.now();
    for (std::uint32_t i = 0; i < 3; ++i)
        w.submit("r2", i, milliseconds{400}); // two of them fit
    CHECK_FALSE(w.pool.nextCall(w.servers));
    const auto late = submittedAt + milliseconds{200} + std::chrono::microseconds{1};
    CHECK(*w.pool.wakeAt() == late);
    w.clock.advance(late - w.clock.now());
    CHECK(w.pool.expire(1).size() == 3); // no storage for them in time
}

// Guards against a call that is ended, and its request with it, before it can be replaced.
TEST_CASE("stage_pool: a call past its timeout stays open if the retry budget is used up")
{
    pool_fixture w(2);
    service_retry_budget none{w.clock, {0.0, 0.0, milliseconds{10'000}}};
    stage_pool pool{w.clock, service_id("s"), none};
    pool.setCapacity(makeCapacity());
    piece_task job;
    job.token = 1;
    job.softDeadline = w.clock.now() + milliseconds{1000};
    job.deadline = w.clock.now() + milliseconds{5000};
    pool.submit(job);
    const auto call = pool.nextCall(w.servers);
    REQUIRE(call);
    w.clock.advance(call->timeout);
    const auto action = pool.onTimeout(call->id, w.servers);
    CHECK_FALSE(action.ends);
    CHECK_FALSE(action.second);
    const auto outcomes = pool.onEnd(call->id, stage_call_end::Answered, {std::string("h1")});
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].token == 1);
    CHECK(std::holds_alternative<std::string>(outcomes[0].result));
}

// Guards against pieces that wait for silent servers for good, and against a call that is ended
// although its pieces are in no other one.
TEST_CASE("stage_pool: pieces of two silent servers are sent to a third, and the first call ends")
{
    pool_fixture w(3);
    const auto token = w.submit("r1", 0, milliseconds{2000});
    const auto first = w.pool.nextCall(w.servers);
    REQUIRE(first);
    w.clock.advance(first->timeout);
    const auto second = w.pool.onTimeout(first->id, w.servers);
    REQUIRE(second.second);
    CHECK(second.replaced == 0);
    CHECK(second.second->overdueServer == first->server);
    CHECK_FALSE(w.pool.onTimeout(first->id, w.servers).second);
    w.clock.advance(second.second->timeout);
    const auto third = w.pool.onTimeout(second.second->id, w.servers);
    REQUIRE(third.second);
    CHECK(third.replaced == first->id);
    CHECK(w.pool.onEnd(first->id, stage_call_end::Broken, {}).empty());
    // A failure of the third call leaves the second one, whose result is used.
    CHECK(w.pool.onEnd(third.second->id, stage_call_end::Broken, {}).empty());
    const auto outcomes = w.answer(*second.second);
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].token == token);
    CHECK(w.pool.waiting() == 0);
}

// Guards against a connection that is held for a server that hangs for good.
TEST_CASE("stage_pool: a call whose pieces are withdrawn or past their deadline is ended")
{
    const bool withdrawn = GENERATE(true, false);
    pool_fixture w;
    const auto token = w.submit("r1", 0, milliseconds{2000});
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    if (withdrawn)
        w.pool.withdraw(token);
    w.clock.advance(call->timeout);
    CHECK_FALSE(w.pool.onTimeout(call->id, w.servers).ends);
    w.clock.advance(withdrawn ? milliseconds{2000} : milliseconds{7000});
    CHECK(w.pool.onTimeout(call->id, w.servers).ends);
    const auto outcomes = w.pool.onEnd(call->id, stage_call_end::Broken, {});
    CHECK(outcomes.size() == (withdrawn ? 0 : 1));
    for (const auto &each : outcomes)
        CHECK(std::get<piece_failure>(each.result) == piece_failure::Late);
}

namespace {

/// Submits a piece that requires a version; empty: any.
piece_token submitAt(pool_fixture &w, const std::optional<software_version> &version)
{
    piece_task job;
    job.token = ++w.lastToken;
    job.request.attempt = "r" + std::to_string(job.token);
    job.softDeadline = w.clock.now() + milliseconds{600};
    job.deadline = job.softDeadline + milliseconds{5000};
    job.mayBeHedged = true;
    job.version = version;
    w.pool.submit(job);
    return job.token;
}

} // namespace

// Guards against pieces of requests with different versions that share a call.
TEST_CASE("stage_pool: a call has only pieces that its server's software version may compute")
{
    pool_fixture w(2);
    w.servers[0]->record.version = software_version("v1");
    w.servers[1]->record.version = software_version("v2");
    submitAt(w, software_version("v1"));
    submitAt(w, software_version("v2"));
    submitAt(w, software_version("v1"));
    submitAt(w, software_version("v2"));
    const std::vector<std::vector<std::string>> expected{{"r1", "r3"}, {"r2", "r4"}};
    for (const auto &requests : expected) {
        const auto call = w.pool.nextCall(w.servers);
        REQUIRE(call);
        CHECK(requestsOf(*call) == requests);
        const auto outcomes = w.answer(*call);
        REQUIRE(outcomes.size() == 2);
        CHECK(outcomes.front().version == call->server->record.version);
        w.servers.erase(w.servers.begin());
    }
}

TEST_CASE("stage_pool: a piece waits for a busy server of its software version")
{
    pool_fixture w(2);
    w.servers[0]->record.version = software_version("v1");
    w.servers[1]->record.version = software_version("v2");
    submitAt(w, software_version("v1"));
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    submitAt(w, software_version("v1"));
    CHECK_FALSE(w.pool.nextCall(w.servers));
    CHECK(w.pool.failWithoutVersion(w.servers).empty());
    w.answer(*call);
    CHECK(w.pool.nextCall(w.servers));
}

// Guards against a piece that waits for a server of a version that has left until it is late.
TEST_CASE("stage_pool: a piece whose software version has no server any more fails")
{
    pool_fixture w;
    w.servers[0]->record.version = software_version("v2");
    const auto token = submitAt(w, software_version("v1"));
    submitAt(w, std::nullopt);
    submitAt(w, software_version("v2"));
    const auto outcomes = w.pool.failWithoutVersion(w.servers);
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes.front().token == token);
    CHECK(std::get<piece_failure>(outcomes.front().result) == piece_failure::NoServerOfVersion);
    CHECK(w.pool.waiting() == 2);
}

// Guards against a second call that computes a piece at another version than the first one.
TEST_CASE("stage_pool: second calls go to servers of the software version that pieces require")
{
    const bool sameVersion = GENERATE(true, false);
    pool_fixture w(2);
    w.servers[0]->record.version = software_version("v1");
    w.servers[1]->record.version = software_version(sameVersion ? "v1" : "v2");
    submitAt(w, software_version("v1"));
    const auto call = w.pool.nextCall(w.servers);
    REQUIRE(call);
    w.clock.advance(call->timeout);
    CHECK(w.pool.onTimeout(call->id, w.servers).second.has_value() == sameVersion);
}
