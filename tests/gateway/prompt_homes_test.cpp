#include "engine_emulation.h"
#include "gateway/placement/prompt_homes.h"
#include "gateway/placement/recent_prompt_parts.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const pool_key Pool{service_id("s"), {}};

struct fleet
{
    manual_clock clock;
    server_directory directory{clock};

    explicit fleet(int engines)
    {
        clock.advance(std::chrono::seconds{60});
        for (int i = 0; i < engines; ++i) {
            server_record record;
            record.id = backend_server_id("e" + std::to_string(i));
            record.service = service_id("s");
            record.slots = 64;
            directory.put(record);
        }
    }
};

placement_query makeQuery(const std::string &part)
{
    placement_query query;
    query.pool = Pool;
    query.prompt = {{part, 13'000}, {"own", 300}};
    return query;
}

} // namespace

// Guards against two boards, such as an old host and a new one, that have the same part read twice.
TEST_CASE("prompt_homes: boards that know nothing of each other choose the same engine")
{
    fleet f(60);
    placement_board one(f.clock, f.directory);
    placement_board other(f.clock, f.directory);
    for (int i = 0; i < 20; ++i) {
        const auto query = makeQuery("part" + std::to_string(i));
        const auto chosen = one.place(i, query).server;
        one.onFirstToken(i);
        CHECK(other.place(i, query).server == chosen);
        other.onFirstToken(i);
    }
}

TEST_CASE("prompt_homes: a removed engine moves only its own parts")
{
    fleet f(60);
    const auto before = f.directory.usable(service_id("s"));
    for (int i = 0; i < 50; ++i) {
        const auto order = homeOrder("part" + std::to_string(i), before);
        auto fewer = before;
        std::erase(fewer, order.front());
        CHECK(homeOrder("part" + std::to_string(i), fewer).front() == order[1]);
    }
}

TEST_CASE("prompt_homes: a home that reads a long prompt, is avoided or is full passes the part on")
{
    fleet f(60);
    const auto order = homeOrder("part", f.directory.usable(service_id("s")));
    placement_board board(f.clock, f.directory);
    auto busy = makeQuery("other");
    for (const auto &each : order) {
        if (each != order.front())
            busy.exclude.push_back(each->record.id);
    }
    (void)board.place(1, busy);
    CHECK(board.place(2, makeQuery("part")).server == order[1]);
    board.onFirstToken(1);
    board.onFirstToken(2);
    order[0]->avoidUntil = f.clock.now() + std::chrono::seconds{1};
    placement_board fresh(f.clock, f.directory);
    CHECK(fresh.place(1, makeQuery("part")).server == order[1]);
    fresh.setCapacity(service_id("s"), 1'000); // no engine has room
    CHECK(fresh.place(2, makeQuery("unknown")).server);
}

TEST_CASE(
    "prompt_homes: a request waits behind one other prompt at the engine that keeps its parts, "
    "but not behind two")
{
    fleet f(2);
    placement_board board(f.clock, f.directory);
    const auto keeper = board.place(1, makeQuery("part")).server;
    board.onFirstToken(1);
    auto other = makeQuery("x");
    other.exclude = {
        (keeper->record.id.value == "e0" ? backend_server_id("e1") : backend_server_id("e0"))};
    (void)board.place(2, other);
    CHECK(board.place(3, makeQuery("part")).server == keeper);
    other.prompt.front().id = "y";
    (void)board.place(4, other);
    CHECK(board.place(5, makeQuery("part")).server != keeper);
}

TEST_CASE("prompt_homes: a board that was informed places requests where the parts are")
{
    fleet f(60);
    recent_prompt_parts sent(f.clock);
    const auto keeper = f.directory.find(backend_server_id("e17"));
    sent.onPlaced(Pool, keeper->record.start(), makeQuery("part").prompt);
    placement_board board(f.clock, f.directory);
    auto parts = sent.partsOf(Pool);
    parts.push_back({{backend_server_id("gone"), 1}, "part", 13'000, milliseconds{0}});
    board.learnParts(service_id("s"), parts);
    CHECK(board.place(1, makeQuery("part")).server == keeper);
}

TEST_CASE("recent_prompt_parts: the parts of the last 10 s are kept, the latest 64")
{
    manual_clock clock;
    recent_prompt_parts sent(clock);
    const server_start engine{backend_server_id("e1"), 1};
    for (int i = 0; i < 100; ++i)
        sent.onPlaced(Pool, engine, {{"system", 500}, {"p" + std::to_string(i), 900}, {"own", 1}});
    auto parts = sent.partsOf(Pool);
    REQUIRE(parts.size() == recent_prompt_parts::MaxParts);
    CHECK(parts[0].id == "system");
    CHECK(parts[1].id == "p99");
    CHECK(parts.back().id == "p37");
    clock.advance(std::chrono::seconds{4});
    CHECK(sent.partsOf(Pool).front().ago == std::chrono::seconds{4});
    clock.advance(std::chrono::seconds{7});
    CHECK(sent.partsOf(Pool).empty());
    CHECK(sent.partsOf({service_id("t"), {}}).empty());
}

namespace {

/// What happens to the fleet beside the burst.
struct incident
{
    int hotPercent = 0; ///< share of the requests that have one prompt in common
    bool crashes = false; ///< a quarter of the engines crashes in the burst
    bool lostBoard = false; ///< the board is lost in the burst
    bool unevenSpeeds = false; ///< engines at 0.6, 1.0 and 1.6 times the time, noisy neighbours
};

/// Plays 100 requests per second with 510 shared parts of 13,300 tokens on 60 engines, and a burst
/// of 2.4 times as many for 6 s. 40 nodes send the requests.
engine_emulation::outcome playBurst(const incident &what, std::uint32_t seed,
                                    const disabled_policies &without)
{
    constexpr double Rate = 100;
    constexpr double BurstBegin = 20;
    constexpr double BurstEnd = 26;
    engine_emulation emulation(
        {.speeds = what.unevenSpeeds ? std::vector{0.6, 1.0, 1.6} : std::vector{1.0},
         .noisyNeighbours = what.unevenSpeeds,
         .without = without,
         .seed = seed},
        1);
    std::minstd_rand random(seed);
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> part(0, 509);
    std::uniform_int_distribution<std::size_t> node(0, 39);
    int count = 0;
    const auto make = [&] {
        const auto id = percent(random) < what.hotPercent ? std::string("hot")
                                                          : "p" + std::to_string(part(random));
        return engine_emulation::arrival{
            .prompt = {{id, 13'300}, {"own" + std::to_string(++count), 300}}};
    };
    const auto add = [&](double rate, double from, double to) {
        for (const auto &each : poissonArrivals(random, rate, from, to, make))
            emulation.add(each);
    };
    add(Rate, 0, BurstBegin);
    add(2.4 * Rate, BurstBegin, BurstEnd);
    add(Rate, BurstEnd, BurstEnd + 10);
    for (std::size_t i = 0; what.crashes && i < 15; ++i)
        emulation.crash(4 * i, BurstBegin + 1 + 0.1 * static_cast<double>(i), 6);
    std::vector<recent_prompt_parts> nodes(40, recent_prompt_parts(emulation.clock()));
    emulation.onPlaced([&](const auto &request, const placement_result &placed) {
        nodes[node(random)].onPlaced(Pool, placed.server->record.start(), request.prompt);
    });
    if (what.lostBoard) {
        emulation.replaceBoard(0, BurstBegin + 3, [&](placement_board &board) {
            for (const auto &each : nodes) {
                if (!without.contains(policy::PromptHomesByHash))
                    board.learnParts(service_id("s"), each.partsOf(Pool));
            }
        });
    }
    return emulation.run();
}

struct comparison
{
    engine_emulation::outcome with; ///< sums over the seeds
    engine_emulation::outcome without;
};

comparison compare(const incident &what)
{
    comparison both;
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        both.with.add(playBurst(what, seed, {}));
        both.without.add(playBurst(what, seed, {policy::PromptHomesByHash}));
    }
    UNSCOPED_INFO("tokens read again: " << both.with.readAgain << ", of them kept by an engine: "
                                        << both.with.readAgainKept
                                        << ", mean: " << both.with.meanFirstToken());
    UNSCOPED_INFO("without the policy: " << both.without.readAgain
                                         << ", of them kept: " << both.without.readAgainKept
                                         << ", mean: " << both.without.meanFirstToken());
    return both;
}

} // namespace

// Load: a prompt that 28 in 100 of all requests share. Its rate needs several engines in the burst,
// and each one more reads it again.
TEST_CASE("prompt_homes: a hot prompt is read again by half as many engines, and answered as soon")
{
    const auto both = compare({.hotPercent = 28});
    CHECK(both.with.readAgain <= 0.5 * both.without.readAgain);
    CHECK(both.with.meanFirstToken() <= both.without.meanFirstToken());
}

// Load: 510 prompts in a burst in which a quarter of the engines crashes. What only these engines
// kept has to be read again under any policy, so the bound is for what another engine keeps.
TEST_CASE(
    "prompt_homes: in a burst with crashes, half as many tokens are read again that an engine "
    "keeps")
{
    const auto both = compare({.crashes = true});
    CHECK(both.with.readAgainKept <= 0.5 * both.without.readAgainKept);
    CHECK(both.with.readAgain <= both.without.readAgain);
    CHECK(both.with.meanFirstToken() <= both.without.meanFirstToken());
}

// Load: the host of the board is lost in the burst.
TEST_CASE(
    "prompt_homes: a board that is lost in a burst causes half as many tokens to be read again")
{
    const auto both = compare({.lostBoard = true});
    CHECK(both.with.readAgain <= 0.5 * both.without.readAgain);
    CHECK(both.with.meanFirstToken() <= both.without.meanFirstToken());
}

TEST_CASE(
    "prompt_homes: a board that is lost in a burst with crashes causes half as many tokens to "
    "be read again")
{
    const auto both = compare({.crashes = true, .lostBoard = true});
    CHECK(both.with.readAgain <= 0.5 * both.without.readAgain);
    CHECK(both.with.meanFirstToken() <= both.without.meanFirstToken());
}

// Guards against homes at slow engines.
TEST_CASE("prompt_homes: engines of uneven speed answer as soon in a burst with crashes")
{
    const auto both = compare({.crashes = true, .unevenSpeeds = true});
    CHECK(both.with.readAgain <= both.without.readAgain);
    CHECK(both.with.readAgainKept <= 0.5 * both.without.readAgainKept);
    CHECK(both.with.meanFirstToken() <= both.without.meanFirstToken());
}
