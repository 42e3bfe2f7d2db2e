#include "gateway/placement/pool_admission.h"

#include <catch2/catch.hpp>

#include <map>

/// What is let in where all servers of a pool are bounded. No network: requests come evenly, and
/// what the servers take is the sum of their bounds.
using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr stage_rank Urgent{0, 0};
constexpr stage_rank Calm{5, 0};
constexpr double PerSecond = 18.0; ///< eighteen servers that take one a second each
constexpr milliseconds Step{5};

struct counts
{
    int asked = 0;
    int let = 0;
    milliseconds longestAway{0};
};

/// Lets requests of some ranks come, each so many a second, for so long.
std::map<stage_rank, counts> play(const std::map<stage_rank, double> &rates, milliseconds time)
{
    manual_clock clock;
    pool_admission pool(clock);
    std::map<stage_rank, counts> seen;
    std::map<stage_rank, double> due;
    for (milliseconds passed{0}; passed < time; passed += Step) {
        for (const auto &[rank, rate] : rates) {
            due[rank] += rate * std::chrono::duration<double>(Step).count();
            for (; due[rank] >= 1.0; due[rank] -= 1.0) {
                const auto away = pool.ask(rank, PerSecond);
                auto &count = seen[rank];
                ++count.asked;
                count.let += away == milliseconds{0} ? 1 : 0;
                count.longestAway = std::max(count.longestAway, away);
            }
        }
        clock.advance(Step);
    }
    return seen;
}

} // namespace

TEST_CASE("as many are let in as the servers take, and the others are told when to come back")
{
    const auto seen = play({{Urgent, 45.0}}, std::chrono::seconds{20}).at(Urgent);
    CHECK(seen.let >= 18 * 20);
    CHECK(seen.let <= 18 * 20 + 8);
    CHECK(seen.longestAway > milliseconds{500});
    CHECK(seen.longestAway <= milliseconds{5000});
}

TEST_CASE("where fewer come than the servers take, all are let in")
{
    const auto seen = play({{Urgent, 8.0}, {Calm, 8.0}}, std::chrono::seconds{20});
    CHECK(seen.at(Urgent).let == seen.at(Urgent).asked);
    CHECK(seen.at(Calm).let == seen.at(Calm).asked);
}

TEST_CASE("the more urgent go first, and the others get what these leave")
{
    const auto seen = play({{Urgent, 12.0}, {Calm, 33.0}}, std::chrono::seconds{20});
    CHECK(seen.at(Urgent).let == seen.at(Urgent).asked);
    CHECK(seen.at(Calm).let >= 5 * 20);
    CHECK(seen.at(Calm).let <= 8 * 20);
}

TEST_CASE("nobody is left out, however many more urgent ones come")
{
    const auto seen = play({{Urgent, 60.0}, {Calm, 20.0}}, std::chrono::seconds{20});
    CHECK(seen.at(Calm).let >= 15);
    CHECK(seen.at(Calm).let <= 30);
}
