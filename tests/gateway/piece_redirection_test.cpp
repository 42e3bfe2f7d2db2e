#include "gateway/stages/piece_redirection.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace orchidlead;
using namespace orchidlead::gateway;

/// Calls take 150 ms plus 16 ms per piece, at most 8 pieces, as in the first stage of the
/// deployment whose pools left 337 pieces waiting beside four idle servers. A full call takes 278
/// ms.
namespace {

constexpr std::uint32_t PiecesPerCall = 8;
constexpr double PerServer = 28.7; ///< pieces per second

stage_capacity makeCapacity()
{
    stage_capacity capacity;
    capacity.maxPiecesPerCall = PiecesPerCall;
    capacity.callOverhead = milliseconds{150};
    capacity.timePerPiece = std::chrono::microseconds{16'000};
    return capacity;
}

waiting_group makeGroup(std::uint64_t token, milliseconds wait, std::size_t pieces = 1)
{
    waiting_group group;
    for (std::size_t i = 0; i < pieces; ++i)
        group.tokens.push_back(100 * token + i);
    group.wait = wait;
    group.softDeadlineLeft = milliseconds{5000};
    return group;
}

redirection_target makeTarget(const std::string &dataCenter, std::uint32_t idle,
                              milliseconds wait = {})
{
    redirection_target target;
    target.load.pool = {service_id("s"), data_center_id(dataCenter)};
    target.load.idleServers = idle;
    target.load.piecesPerSecond = 4 * PerServer;
    if (wait > milliseconds{0})
        target.load.waits = {{{0, 0}, wait}};
    return target;
}

std::size_t countPieces(const std::vector<piece_redirection> &chosen)
{
    std::size_t count = 0;
    for (const auto &each : chosen)
        count += each.tokens.size();
    return count;
}

} // namespace

TEST_CASE("a group goes to an idle pool only if it would wait longer than a call and the transfer")
{
    const std::vector<redirection_target> targets{makeTarget("b", 1)};
    CHECK(chooseRedirections({makeGroup(1, milliseconds{270})}, targets, makeCapacity()).empty());
    const auto chosen =
        chooseRedirections({makeGroup(1, milliseconds{290})}, targets, makeCapacity());
    REQUIRE(chosen.size() == 1);
    CHECK(chosen[0].to == targets[0].load.pool);
    CHECK(chosen[0].tokens == std::vector<std::uint64_t>{100});
}

TEST_CASE("the transfer of inputs and results counts, without inputs that are there already")
{
    const std::vector<redirection_target> targets{makeTarget("b", 1)};
    auto group = makeGroup(1, milliseconds{400});
    group.resultBytes = 3'000'000; // 24 ms
    CHECK(countPieces(chooseRedirections({group}, targets, makeCapacity())) == 1);
    group.inputBytes = 24'000'000; // 192 ms
    CHECK(countPieces(chooseRedirections({group}, targets, makeCapacity())) == 0);
    group.inputsIn = data_center_id("b");
    CHECK(countPieces(chooseRedirections({group}, targets, makeCapacity())) == 1);
}

TEST_CASE("a pool that waits as long gets nothing")
{
    const auto group = makeGroup(1, milliseconds{900});
    CHECK(chooseRedirections({group}, {makeTarget("b", 0, milliseconds{700})}, makeCapacity())
              .empty());
    CHECK(countPieces(
              chooseRedirections({group}, {makeTarget("b", 0, milliseconds{200})}, makeCapacity()))
          == 1);
}

TEST_CASE("the group with the most to gain goes first, and to the pool where it gains most")
{
    auto targets = std::vector{makeTarget("b", 0, milliseconds{250}), makeTarget("c", 1)};
    targets[1].load.piecesPerSecond = 1; // one call in its idle server, then none
    const std::vector<waiting_group> groups{makeGroup(1, milliseconds{600}, 8),
                                            makeGroup(2, milliseconds{1200}, 8)};
    const auto chosen = chooseRedirections(groups, targets, makeCapacity());
    const auto toC = std::ranges::find_if(
        chosen, [&](const auto &each) { return each.to == targets[1].load.pool; });
    REQUIRE(toC != chosen.end());
    CHECK(toC->tokens.front() == 200);
    CHECK(toC->tokens.size() == 8);
}

TEST_CASE("of groups with the same wait, the one with the least to transfer goes first")
{
    auto target = makeTarget("b", 1);
    target.load.piecesPerSecond = 1;
    auto large = makeGroup(1, milliseconds{1200}, 8);
    large.inputBytes = 10'000'000;
    const auto chosen =
        chooseRedirections({large, makeGroup(2, milliseconds{1200}, 8)}, {target}, makeCapacity());
    REQUIRE(chosen.size() == 1);
    CHECK(chosen[0].tokens.front() == 200);
}

// Guards against a whole burst that goes to a pool that has few idle servers: it would wait there.
TEST_CASE("no more pieces go than fill the idle servers and 300 ms of the other pool")
{
    std::vector<waiting_group> groups;
    for (std::uint64_t i = 1; i <= 50; ++i)
        groups.push_back(makeGroup(i, milliseconds{4000}, 8));
    auto target = makeTarget("b", 4);
    const auto atOnce = 4 * PiecesPerCall;
    const auto queued = static_cast<std::size_t>(0.3 * target.load.piecesPerSecond);
    CHECK(countPieces(chooseRedirections(groups, {target}, makeCapacity())) > atOnce);
    CHECK(countPieces(chooseRedirections(groups, {target}, makeCapacity())) <= atOnce + queued);
    target.sentPieces = atOnce;
    CHECK(countPieces(chooseRedirections(groups, {target}, makeCapacity())) <= queued);
    target.sentPieces = static_cast<std::uint32_t>(atOnce + queued);
    CHECK(chooseRedirections(groups, {target}, makeCapacity()).empty());
}

TEST_CASE("no more results go than the other pool has room for")
{
    auto target = makeTarget("b", 4);
    target.load.freeResultBytes = 60'000'000;
    target.sentResultBytes = 10'000'000;
    std::vector<waiting_group> groups;
    for (std::uint64_t i = 1; i <= 5; ++i) {
        groups.push_back(makeGroup(i, milliseconds{3000}, 8));
        groups.back().resultBytes = 24'000'000;
    }
    CHECK(countPieces(chooseRedirections(groups, {target}, makeCapacity())) == 16);
}

TEST_CASE("groups that are in time in the other pool alone go before those that gain more")
{
    auto target = makeTarget("b", 1);
    target.load.piecesPerSecond = 1;
    auto missed = makeGroup(1, milliseconds{900}, 8);
    missed.softDeadlineLeft = milliseconds{800};
    const auto chosen =
        chooseRedirections({makeGroup(2, milliseconds{2000}, 8), missed}, {target}, makeCapacity());
    REQUIRE(chosen.size() == 1);
    CHECK(chosen[0].tokens.front() == 100);
}

TEST_CASE("a group that is late in the other pool as well goes to idle servers alone")
{
    auto group = makeGroup(1, milliseconds{2000}, 8);
    group.softDeadlineLeft = milliseconds{100};
    CHECK(countPieces(chooseRedirections({group}, {makeTarget("b", 1)}, makeCapacity())) == 8);
    CHECK(chooseRedirections({group}, {makeTarget("b", 0)}, makeCapacity()).empty());
}

TEST_CASE("a pool without capacity gets nothing")
{
    auto target = makeTarget("b", 0);
    target.load.piecesPerSecond = 0;
    CHECK(chooseRedirections({makeGroup(1, milliseconds{9000})}, {target}, makeCapacity()).empty());
}
