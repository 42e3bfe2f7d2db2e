// Measures the time of a routing decision and of an engine's whole way with a request, and how
// both grow with the pool and the customers.
#include "core/requests/engine_policies.h"
#include "core/requests/request_engine.h"

#include <orchidlead/router.h>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <fstream>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

namespace orchidlead::bench::model {

namespace {

/// A pool of which every server is available and three in four are in the own data center.
struct router_pool
{
    std::vector<routing_entry> entries;
    std::vector<std::uint32_t> members;
    std::vector<std::uint32_t> local;
    std::vector<std::uint32_t> remote;

    explicit router_pool(std::uint32_t size)
        : entries(size)
        , members(size)
    {
        std::iota(members.begin(), members.end(), 0U);
        random_source random(size);
        for (const std::uint32_t slot : members) {
            entries[slot].nameHash = random.next();
            entries[slot].latency = 5.0 + 10.0 * random.unit();
            entries[slot].outstanding = static_cast<std::uint32_t>(random.below(6));
            entries[slot].available = true;
            entries[slot].local = slot % 4 != 0;
            (entries[slot].local ? local : remote).push_back(slot);
        }
    }

    [[nodiscard]] routing_view view() const { return {entries, local, remote, 2.5, 10.0}; }
};

template <class Router>
void routingDecision(benchmark::State &state, bool affinity)
{
    const router_pool pool(static_cast<std::uint32_t>(state.range(0)));
    Router router{routing_settings{}};
    router.onMembers(pool.entries, pool.members);
    random_source random(1);
    routing_request request;
    for (auto _ : state) {
        request.prefixHash = affinity ? random.next() : 0;
        benchmark::DoNotOptimize(router.pick(pool.view(), request, random));
    }
}

void loadRouter(benchmark::State &state)
{
    routingDecision<load_router>(state, false);
}

void loadRouterWithAffinity(benchmark::State &state)
{
    routingDecision<load_router>(state, true);
}

void roundRobin(benchmark::State &state)
{
    routingDecision<round_robin_router>(state, false);
}

/// One stage of one service, for `customers` customers in turn.
struct engine_fixture
{
    manual_clock clock;
    std::unique_ptr<request_engine> engine;
    std::vector<std::shared_ptr<const pipeline_plan>> plans;
    payload input = std::make_shared<std::string>("\"text\"");
    engine_actions actions;
    std::uint64_t requests = 0;

    engine_fixture(std::int64_t servers, std::int64_t customers)
    {
        engine_settings settings;
        settings.dataCenter = data_center_id{"a"};
        engine = std::make_unique<request_engine>(settings, clock, 1);
        service pool;
        pool.id = service_id{"generate"};
        for (std::int64_t number = 0; number < servers; ++number) {
            backend_server server;
            server.id = backend_server_id{"generate-" + std::to_string(number)};
            server.dataCenter = data_center_id{"a"};
            pool.servers.push_back(server);
        }
        engine->setServices(1, {pool}, actions);
        for (std::int64_t number = 0; number < customers; ++number)
            plans.push_back(planOf(number));
    }

    static std::shared_ptr<const pipeline_plan> planOf(std::int64_t number)
    {
        auto plan = std::make_shared<pipeline_plan>();
        plan->id = pipeline_id{"draft"};
        plan->customer = customer_id{"customer-" + std::to_string(number)};
        stage_plan stage;
        stage.id = stage_id{"generate"};
        stage.service = service_id{"generate"};
        stage.kind = service_kind::Engine;
        plan->stages.push_back(stage);
        return plan;
    }

    /// Submits one request, answers its attempt and takes its final answer.
    void pass()
    {
        pipeline_request request;
        request.id = request_id{std::to_string(++requests)};
        request.plan = plans[requests % plans.size()];
        request.input = input;
        request.deadline = clock.now() + milliseconds{4'000};
        actions.clear();
        engine->submit(std::move(request), actions);
        clock.advance(std::chrono::microseconds{300});
        for (const engine_action &action : engine_actions(std::move(actions))) {
            if (const auto *sent = std::get_if<send_attempt>(&action))
                engine->onAnswer({sent->key, sent->key, input, 1, {}}, actions);
        }
        actions.clear();
        engine->tick(actions);
    }
};

void requestThroughEngine(benchmark::State &state)
{
    engine_fixture fixture(state.range(0), state.range(1));
    for (auto _ : state)
        fixture.pass();
}

std::size_t heapInUse()
{
    return mallinfo2().uordblks;
}

/// Heap of an engine that every customer used, without the plans themselves.
void engineMemory(benchmark::State &state)
{
    double bytes = 0.0;
    for (auto _ : state) {
        engine_fixture plansOnly(1, state.range(1));
        const std::size_t before = heapInUse();
        engine_fixture fixture(state.range(0), 1);
        fixture.plans = plansOnly.plans;
        for (std::size_t request = 0; request < 2 * fixture.plans.size(); ++request)
            fixture.pass();
        bytes = static_cast<double>(heapInUse() - before);
    }
    state.counters["bytes"] = bytes;
}

} // namespace

BENCHMARK(roundRobin)->Arg(12)->Arg(600);
BENCHMARK(loadRouter)->Arg(12)->Arg(60)->Arg(600);
BENCHMARK(loadRouterWithAffinity)->Arg(12)->Arg(60)->Arg(600);
BENCHMARK(requestThroughEngine)
    ->Args({12, 5})
    ->Args({12, 21'000})
    ->Args({60, 21'000})
    ->Args({600, 5})
    ->Args({600, 21'000});
BENCHMARK(engineMemory)->Args({12, 5})->Args({600, 5})->Args({600, 21'000})->Iterations(1);

} // namespace orchidlead::bench::model

BENCHMARK_MAIN();
