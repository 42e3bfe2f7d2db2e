#include "gateway/exchange/latency_estimator.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

using std::chrono::microseconds;

constexpr stage_rank Urgent{0, 0};
constexpr stage_rank Patient{0, 2};
const pool_key Pool{service_id("rerank"), {}};
const service_id Engine("engine");

/// One stage service with a batch of 10: a call with half a batch takes 205 + 50 ms.
service_spec makeService()
{
    service_spec service;
    service.id = service_id("rerank");
    service.stage = stage_capacity{};
    service.stage->maxPiecesPerCall = 10;
    service.stage->callOverhead = milliseconds{200};
    service.stage->timePerPiece = milliseconds{10};
    return service;
}

constexpr microseconds OneCall = milliseconds{255};

} // namespace

TEST_CASE("latency_estimator: a stage takes at least one call")
{
    manual_clock clock;
    latency_estimator times(clock);
    const auto service = makeService();
    CHECK(times.stageTime(&service, Pool, Urgent) == OneCall);
    times.onStage(Pool, Urgent, milliseconds{100});
    CHECK(times.stageTime(&service, Pool, Urgent) == OneCall);
}

TEST_CASE("latency_estimator: a measured backlog counts for requests of the same rank, for a "
          "limited time")
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{60});
    latency_estimator times(clock);
    const auto service = makeService();
    times.onStage(Pool, Patient, milliseconds{1200});
    CHECK(times.stageTime(&service, Pool, Patient) == milliseconds{1200});
    CHECK(times.stageTime(&service, Pool, Urgent) == OneCall);
    times.onStage(Pool, Patient, milliseconds{200});
    CHECK(times.stageTime(&service, Pool, Patient) == milliseconds{1050});
    clock.advance(milliseconds{1600});
    CHECK(times.stageTime(&service, Pool, Patient) == OneCall);
}

TEST_CASE("latency_estimator: the time after a stage covers later stages with their waits and the "
          "request")
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{60});
    latency_estimator times(clock);
    configuration content;
    content.services.push_back(makeService());
    const configuration_index index(content);
    route routeSpec;
    routeSpec.stages = {{service_id("rerank"), {}, 100}, {service_id("rerank"), {0}, 100}};
    const service_id engine("engine");
    const std::vector<pool_key> pools{Pool, Pool};
    const std::vector<std::uint32_t> pieces{1, 1};
    const auto last = times.firstAnswerTime(engine);
    const auto after = [&](const stage_rank &rank) {
        const request_outline request{index, routeSpec, engine, rank, pools, pieces};
        return times.timesAfterStages(request, times.stageTimes(request));
    };
    const auto withoutBacklog = after(Urgent);
    REQUIRE(withoutBacklog.size() == 2);
    CHECK(withoutBacklog[1] == last);
    CHECK(withoutBacklog[0] == last + OneCall);
    times.onStage(Pool, Urgent, milliseconds{900});
    CHECK(after(Urgent)[0] == last + milliseconds{900});
    CHECK(after(Patient)[0] == last + OneCall);
}

namespace {

/// A configuration with one stage service, and a route with one stage of it before an engine.
struct staged_world
{
    manual_clock clock;
    latency_estimator times{clock};
    configuration_ptr configuration;
    route routeSpec;
    std::vector<pool_key> pools{Pool};
    std::vector<std::uint32_t> pieces{1};

    staged_world()
    {
        clock.advance(std::chrono::seconds{60});
        routeSpec.latencyObjective = milliseconds{1000};
        routeSpec.stages = {stage_spec{service_id("rerank"), {}, 100}};
        orchidlead::gateway::configuration content;
        content.services = {makeService()};
        configuration = std::make_shared<const configuration_index>(std::move(content));
    }
    [[nodiscard]] latency_estimator::forecast forecastFor(const stage_rank &rank) const
    {
        return times.forecastOf({*configuration, routeSpec, Engine, rank, pools, pieces});
    }
};

} // namespace

TEST_CASE("latency_estimator: a reported wait counts for its rank, minus the time since the report")
{
    staged_world world;
    const auto before = world.forecastFor(Patient).timeToAnswer;
    world.times.onReportedWait(Pool, Patient, milliseconds{800});
    CHECK(world.forecastFor(Patient).timeToAnswer == before + milliseconds{800});
    CHECK(world.forecastFor(Urgent).timeToAnswer == before);
    world.clock.advance(milliseconds{500});
    CHECK(world.forecastFor(Patient).timeToAnswer == before + milliseconds{300});
    world.clock.advance(milliseconds{500});
    CHECK(world.forecastFor(Patient).timeToAnswer == before);
}

TEST_CASE("latency_estimator: a stage has a backlog if its wait exceeds a call with a full batch")
{
    staged_world world;
    world.times.onReportedWait(Pool, Patient, milliseconds{300});
    CHECK_FALSE(world.forecastFor(Patient).hasBacklog);
    world.times.onReportedWait(Pool, Patient, milliseconds{301});
    CHECK(world.forecastFor(Patient).hasBacklog);
    CHECK_FALSE(world.forecastFor(Urgent).hasBacklog);
}

TEST_CASE("latency_estimator: a skipped stage adds neither time nor a backlog")
{
    staged_world world;
    world.pieces = {0};
    world.times.onReportedWait(Pool, Patient, milliseconds{800});
    CHECK_FALSE(world.forecastFor(Patient).hasBacklog);
    CHECK(world.forecastFor(Patient).timeToAnswer == world.times.firstAnswerTime(Engine));
}

// Guards against reservations that lapse before the pieces of a deferred stage arrive.
TEST_CASE("latency_estimator: stages start after their inputs, and deferred ones after longer ones")
{
    const service_id service("rerank");
    route routeSpec;
    routeSpec.stages = {{service, {}, 100}, {service, {0}, 100}, {service, {}, 100}};
    const std::vector<microseconds> times{milliseconds{300}, milliseconds{200}, milliseconds{100}};
    CHECK(latency_estimator::timesUntilStages(routeSpec, times, false)
          == std::vector<microseconds>{milliseconds{0}, milliseconds{300}, milliseconds{0}});
    CHECK(latency_estimator::timesUntilStages(routeSpec, times, true)
          == std::vector<microseconds>{milliseconds{0}, milliseconds{300}, milliseconds{300}});
}
