#include "gateway/exchange/service_retry_budget.h"

#include <catch2/catch.hpp>

#include <deque>
#include <numeric>
#include <random>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const service_id Service{"s"};

int takeAllRetries(service_retry_budget &budget)
{
    int taken = 0;
    while (budget.tryAcquire(Service))
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("service_retry_budget: allows a share of the requests plus a part of the reserve")
{
    manual_clock clock;
    service_retry_budget budget(clock, {0.2, 40.0, milliseconds{10'000}});
    budget.setNodes(8);
    for (int i = 0; i < 100; ++i)
        budget.onRequest(Service);
    const int taken = takeAllRetries(budget);
    INFO("taken " << taken);
    CHECK(taken <= 20 + 5);
    CHECK(taken >= 15);
}

TEST_CASE("service_retry_budget: a taken retry counts until the window has passed")
{
    manual_clock clock;
    service_retry_budget budget(clock, {0.0, 10.0, milliseconds{10'000}});
    CHECK(takeAllRetries(budget) == 8);
    clock.advance(milliseconds{8'000});
    CHECK(takeAllRetries(budget) == 0);
    clock.advance(milliseconds{3'000});
    CHECK(takeAllRetries(budget) == 8);
}

TEST_CASE("service_retry_budget: nodes that don't communicate stay within the reserve together")
{
    manual_clock clock;
    constexpr std::size_t Nodes = 6;
    int total = 0;
    for (std::size_t i = 0; i < Nodes; ++i) {
        service_retry_budget budget(clock, {0.2, 52.0, milliseconds{10'000}});
        budget.setNodes(Nodes);
        total += takeAllRetries(budget);
    }
    CHECK(total <= 52);
}

TEST_CASE("service_retry_budget: forced retries use up the budget")
{
    manual_clock clock;
    service_retry_budget budget(clock, {0.0, 10.0, milliseconds{10'000}});
    budget.onForcedRetry(Service, 20);
    CHECK_FALSE(budget.tryAcquire(Service));
}

TEST_CASE("service_retry_budget: reports taken, left and denied retries per service")
{
    manual_clock clock;
    service_retry_budget budget(clock, {0.0, 10.0, milliseconds{10'000}});
    CHECK(takeAllRetries(budget) == 8);
    const auto usage = budget.takeUsage();
    REQUIRE(usage.size() == 1);
    CHECK(usage.at(Service).taken == 8);
    CHECK(usage.at(Service).left == 0.0);
    CHECK(usage.at(Service).denied == 1);
    CHECK(budget.takeUsage().at(Service).denied == 0);
}

// Guards against a reserve that no node can use: more nodes than retries in the reserve, and few
// requests per node.
TEST_CASE(
    "service_retry_budget: a reserve of less than one retry per node is used within the limit")
{
    const auto nodes = static_cast<std::size_t>(GENERATE(600, 1200, 2000));
    const auto requestsEach = milliseconds{GENERATE(1000, 8000)};
    constexpr double Share = 0.2;
    constexpr double ReservePerWindow = 640.0;
    constexpr milliseconds Window{10'000};
    constexpr milliseconds Step{1000};
    manual_clock clock;
    std::mt19937 random(1);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    std::vector<service_retry_budget> budgets;
    for (std::size_t i = 0; i < nodes; ++i) {
        budgets.emplace_back(
            clock, service_retry_budget_options{Share, ReservePerWindow, Window, uniform(random)});
        budgets.back().setNodes(nodes);
    }
    std::deque<double> granted; // retries in each step of the last window
    std::size_t totalRequests = 0;
    std::size_t totalGranted = 0;
    for (milliseconds now{0}; now < 10 * Window; now += Step) {
        clock.advance(Step);
        double grantedNow = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            if ((now + i * Step) % requestsEach != milliseconds{0})
                continue;
            budgets[i].onRequest(Service);
            ++totalRequests;
            grantedNow += budgets[i].tryAcquire(Service) ? 1 : 0;
        }
        totalGranted += static_cast<std::size_t>(grantedNow);
        granted.push_back(grantedNow);
        if (granted.size() > static_cast<std::size_t>(Window / Step))
            granted.pop_front();
        const double requests = static_cast<double>(nodes) * (Window / requestsEach + 1);
        CHECK(std::accumulate(granted.begin(), granted.end(), 0.0)
              <= Share * requests + ReservePerWindow);
    }
    INFO("granted " << totalGranted << " of " << totalRequests << " by " << nodes << " nodes");
    const double allowed = 10 * ReservePerWindow + Share * static_cast<double>(totalRequests);
    // A node with one retry per window and a request every eight seconds has every second request
    // retried.
    CHECK(static_cast<double>(totalGranted)
          >= 0.5 * std::min(allowed, static_cast<double>(totalRequests)));
}
