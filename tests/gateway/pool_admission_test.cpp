#include "gateway/placement/pool_admission.h"

#include <catch2/catch.hpp>

#include <map>

/// Requests admitted while all servers of a pool are rate-limited. There is no network; requests
/// arrive evenly, and the servers take the sum of their limits.
using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr stage_rank Urgent{0, 0};
constexpr stage_rank LessUrgent{5, 0};
constexpr double PerSecond = 18.0; ///< eighteen servers that take one request per second each
constexpr milliseconds Step{5};

struct counts
{
    int attempts = 0;
    int admitted = 0;
    milliseconds maxRetryAfter{0};
};

/// Simulates requests of several ranks, each with a rate per second, for this time.
std::map<stage_rank, counts> simulate(const std::map<stage_rank, double> &rates, milliseconds time)
{
    manual_clock clock;
    pool_admission pool(clock);
    std::map<stage_rank, counts> results;
    std::map<stage_rank, double> due;
    for (milliseconds passed{0}; passed < time; passed += Step) {
        for (const auto &[rank, rate] : rates) {
            due[rank] += rate * std::chrono::duration<double>(Step).count();
            for (; due[rank] >= 1.0; due[rank] -= 1.0) {
                const auto retryAfter = pool.tryAdmit(rank, PerSecond);
                auto &count = results[rank];
                ++count.attempts;
                count.admitted += retryAfter == milliseconds{0} ? 1 : 0;
                count.maxRetryAfter = std::max(count.maxRetryAfter, retryAfter);
            }
        }
        clock.advance(Step);
    }
    return results;
}

} // namespace

TEST_CASE("the servers' rate is admitted, and other requests get a retry time")
{
    const auto results = simulate({{Urgent, 45.0}}, std::chrono::seconds{20}).at(Urgent);
    CHECK(results.admitted >= 18 * 20);
    CHECK(results.admitted <= 18 * 20 + 8);
    CHECK(results.maxRetryAfter > milliseconds{500});
    CHECK(results.maxRetryAfter <= milliseconds{5000});
}

TEST_CASE("all requests are admitted below the servers' rate")
{
    const auto results = simulate({{Urgent, 8.0}, {LessUrgent, 8.0}}, std::chrono::seconds{20});
    CHECK(results.at(Urgent).admitted == results.at(Urgent).attempts);
    CHECK(results.at(LessUrgent).admitted == results.at(LessUrgent).attempts);
}

TEST_CASE("more urgent requests go first, and others get the remaining rate")
{
    const auto results = simulate({{Urgent, 12.0}, {LessUrgent, 33.0}}, std::chrono::seconds{20});
    CHECK(results.at(Urgent).admitted == results.at(Urgent).attempts);
    CHECK(results.at(LessUrgent).admitted >= 5 * 20);
    CHECK(results.at(LessUrgent).admitted <= 8 * 20);
}

TEST_CASE("less urgent requests get a minimum share under any urgent load")
{
    const auto results = simulate({{Urgent, 60.0}, {LessUrgent, 20.0}}, std::chrono::seconds{20});
    CHECK(results.at(LessUrgent).admitted >= 15);
    CHECK(results.at(LessUrgent).admitted <= 30);
}
