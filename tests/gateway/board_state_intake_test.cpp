#include "engine_emulation.h"
#include "gateway/peers/peer_frames.h"
#include "gateway/placement/board_state_intake.h"
#include "gateway/placement/recent_prompt_parts.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const pool_key Pool{service_id("s"), {}};

/// What a new host got from the nodes.
struct new_host_state
{
    std::size_t bytes = 0;
    std::size_t reports = 0;
    std::set<std::string> parts;
};

/// Each node has sent 35 requests in the last 10 s, 3.5 per second, with two shared parts: one of
/// 40 system prompts, and one of 20 documents of 1 in 100 requests each or one of 20,000 others.
/// Then all nodes ask a new host, in random order.
new_host_state askNewHost(std::size_t nodeCount, std::uint32_t seed)
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{60});
    std::minstd_rand random(seed);
    const auto draw = [&](int last) { return std::uniform_int_distribution<int>(0, last)(random); };
    std::vector<recent_prompt_parts> nodes(nodeCount, recent_prompt_parts(clock));
    for (auto &node : nodes) {
        for (int i = 0; i < 35; ++i) {
            const auto document = draw(99) < 20 ? "hot-document-" + std::to_string(draw(19) + 100)
                                                : "document-" + std::to_string(draw(19'999));
            const server_start engine{backend_server_id("engine-" + std::to_string(draw(89))),
                                      1'764'800'000'000'000'000};
            node.onPlaced(
                Pool, engine,
                {{"system-" + std::to_string(draw(39)), 900}, {document, 13'000}, {"own", 300}});
        }
    }
    std::vector<std::size_t> order(nodeCount);
    std::iota(order.begin(), order.end(), 0);
    std::ranges::shuffle(order, random);
    board_state_intake intake(clock);
    new_host_state host;
    for (const auto index : order) {
        const auto parts = nodes[index].partsOf(Pool);
        if (!intake.accept(Pool, parts.size()))
            continue;
        ++host.reports;
        host.bytes += encodeFrame(board_state_frame{Pool, parts}).size();
        for (const auto &each : parts)
            host.parts.insert(each.id);
    }
    return host;
}

enum class reporting { None, Accepted, All };

/// Plays 100 requests per second with 510 shared parts on 60 engines, and 240 per second from 20 s
/// to 26 s. The host is lost at 23 s; the new one gets the reports that it accepts, 2 ms after the
/// first request of their node, or those of all nodes before their first request.
engine_emulation::outcome loseHost(std::size_t nodeCount, reporting how, std::uint32_t seed)
{
    constexpr double LossTime = 23;
    engine_emulation emulation({.without = {}, .seed = seed}, 1);
    std::minstd_rand random(seed);
    std::uniform_int_distribution<int> part(0, 509);
    std::uniform_int_distribution<std::size_t> drawNode(0, nodeCount - 1);
    std::vector<recent_prompt_parts> nodes(nodeCount, recent_prompt_parts(emulation.clock()));
    board_state_intake intake(emulation.clock());
    std::set<std::size_t> asked;
    std::map<std::string, std::size_t> nodeOf; // by the request's own part
    const auto learn = [&](std::vector<placed_part> parts) {
        emulation.board(0).learnParts(service_id("s"), parts);
    };
    const auto onFirstRequest = [&, how, learn](std::size_t node, double at) {
        if (how == reporting::None || !asked.insert(node).second)
            return;
        const auto parts = nodes[node].partsOf(Pool);
        if (how == reporting::All)
            learn(parts);
        else if (intake.accept(Pool, parts.size()))
            emulation.schedule(at + 0.002, [learn, parts] { learn(parts); });
    };
    const auto add = [&](double rate, double from, double to) {
        for (auto each :
             poissonArrivals(random, rate, from, to, [] { return engine_emulation::arrival{}; })) {
            const auto own = "own" + std::to_string(nodeOf.size());
            const auto node = nodeOf[own] = drawNode(random);
            each.prompt = {{"p" + std::to_string(part(random)), 13'300}, {own, 300}};
            if (each.at > LossTime)
                emulation.schedule(each.at, [=] { onFirstRequest(node, each.at); });
            emulation.add(each);
        }
    };
    add(100, 0, 36);
    add(140, 20, 26);
    emulation.onPlaced([&](const auto &request, const placement_result &placed) {
        nodes[nodeOf[request.prompt.back().id]].onPlaced(Pool, placed.server->record.start(),
                                                         request.prompt);
    });
    emulation.replaceBoard(0, LossTime);
    return emulation.run();
}

} // namespace

TEST_CASE("board_state_intake: offers are accepted up to a number of parts, again after 10 s")
{
    manual_clock clock;
    board_state_intake intake(clock);
    CHECK_FALSE(intake.accept(Pool, 0));
    for (int i = 0; i < 32; ++i)
        CHECK(intake.accept(Pool, 64));
    CHECK_FALSE(intake.accept(Pool, 64));
    CHECK(intake.accept({service_id("t"), {}}, 64));
    clock.advance(std::chrono::seconds{11});
    CHECK(intake.accept(Pool, 64));
}

// Guards against a host that counts an offer of more parts than a report may have.
TEST_CASE("board_state_intake: a false offer counts as one report")
{
    manual_clock clock;
    board_state_intake intake(clock);
    CHECK(intake.accept(Pool, 4'000'000'000));
    CHECK(intake.accept(Pool, 64));
}

// Guards against a cost of a new host that grows with the number of nodes, and against a sample
// without some of the hot parts.
TEST_CASE("board_state_intake: a new host gets 80 kB from 300 or 1,000 nodes, with all hot parts")
{
    for (const std::size_t nodes : {300, 1'000}) {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            const auto host = askNewHost(nodes, seed);
            CAPTURE(nodes, seed, host.bytes, host.reports, host.parts.size());
            CHECK(host.bytes <= 80'000);
            for (int i = 0; i < 20; ++i)
                CHECK(host.parts.contains("hot-document-" + std::to_string(i + 100)));
        }
    }
}

// Load: the host is lost in a burst.
TEST_CASE("board_state_intake: the accepted reports prevent as many reads as those of all nodes")
{
    for (const std::size_t nodes : {40, 300, 1'000}) {
        std::map<reporting, engine_emulation::outcome> outcomes;
        for (const auto how : {reporting::None, reporting::Accepted, reporting::All}) {
            for (std::uint32_t seed = 1; seed <= 3; ++seed)
                outcomes[how].add(loseHost(nodes, how, seed));
        }
        const auto &some = outcomes[reporting::Accepted];
        const auto &all = outcomes[reporting::All];
        CAPTURE(nodes, some.readAgain, some.meanFirstToken(), all.readAgain, all.meanFirstToken(),
                outcomes[reporting::None].readAgain, outcomes[reporting::None].meanFirstToken());
        CHECK(some.readAgain <= 1.1 * all.readAgain);
        CHECK(some.meanFirstToken() <= 1.02 * all.meanFirstToken());
    }
}
