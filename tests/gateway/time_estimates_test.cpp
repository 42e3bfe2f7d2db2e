#include "gateway/exchange/time_estimates.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

using std::chrono::microseconds;

constexpr stage_rank Urgent{0, 0};
constexpr stage_rank Patient{0, 2};
const pool_key Pool{service_id("rerank"), {}};
const service_id Engine("engine");

/// One stage service with a batch of 10: a call of half a batch takes 205 + 50 ms.
service_spec makeService()
{
    service_spec service;
    service.id = service_id("rerank");
    service.stage = stage_capacity{};
    service.stage->batch = 10;
    service.stage->callTime = milliseconds{200};
    service.stage->pieceTime = milliseconds{10};
    return service;
}

constexpr microseconds OneCall = milliseconds{255};

} // namespace

TEST_CASE("a stage is taken to last one call where nothing was seen, or less")
{
    manual_clock clock;
    time_estimates times(clock);
    const auto service = makeService();
    CHECK(times.stageTime(&service, Pool, Urgent) == OneCall);
    times.onStage(Pool, Urgent, milliseconds{100});
    CHECK(times.stageTime(&service, Pool, Urgent) == OneCall);
}

TEST_CASE("a backlog that requests of a rank met counts for those of that rank, for a while")
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{60});
    time_estimates times(clock);
    const auto service = makeService();
    times.onStage(Pool, Patient, milliseconds{1200});
    CHECK(times.stageTime(&service, Pool, Patient) == milliseconds{1200});
    CHECK(times.stageTime(&service, Pool, Urgent) == OneCall);
    times.onStage(Pool, Patient, milliseconds{200});
    CHECK(times.stageTime(&service, Pool, Patient) == milliseconds{1050});
    clock.advance(milliseconds{1600});
    CHECK(times.stageTime(&service, Pool, Patient) == OneCall);
}

TEST_CASE("what follows a stage are the stages behind it, with their waits, and the request")
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{60});
    time_estimates times(clock);
    configuration content;
    content.services.push_back(makeService());
    const configuration_index index(content);
    route way;
    way.stages = {{service_id("rerank"), {}, 100}, {service_id("rerank"), {0}, 100}};
    const service_id engine("engine");
    const std::vector<pool_key> pools{Pool, Pool};
    const std::vector<std::uint32_t> pieces{1, 1};
    const auto last = times.firstAnswer(engine);
    const auto after = [&](const stage_rank &rank) {
        const request_outline request{index, way, engine, rank, pools, pieces};
        return times.afterStages(request, times.stageTimes(request));
    };
    const auto calm = after(Urgent);
    REQUIRE(calm.size() == 2);
    CHECK(calm[1] == last);
    CHECK(calm[0] == last + OneCall);
    times.onStage(Pool, Urgent, milliseconds{900});
    CHECK(after(Urgent)[0] == last + milliseconds{900});
    CHECK(after(Patient)[0] == last + OneCall);
}

namespace {

/// One service in a configuration, and a route with one stage of it before an engine.
struct staged_world
{
    manual_clock clock;
    time_estimates times{clock};
    configuration_ptr configuration;
    route way;
    std::vector<pool_key> pools{Pool};
    std::vector<std::uint32_t> pieces{1};

    staged_world()
    {
        clock.advance(std::chrono::seconds{60});
        way.objective = milliseconds{1000};
        way.stages = {stage_spec{service_id("rerank"), {}, 100}};
        orchidlead::gateway::configuration content;
        content.services = {makeService()};
        configuration = std::make_shared<const configuration_index>(std::move(content));
    }
    [[nodiscard]] time_estimates::outlook seen(const stage_rank &rank) const
    {
        return times.outlookOf({*configuration, way, Engine, rank, pools, pieces});
    }
};

} // namespace

TEST_CASE("a wait that a host tells counts for its rank, less what has passed since")
{
    staged_world world;
    const auto before = world.seen(Patient).toAnswer;
    world.times.onWait(Pool, Patient, milliseconds{800});
    CHECK(world.seen(Patient).toAnswer == before + milliseconds{800});
    CHECK(world.seen(Urgent).toAnswer == before);
    world.clock.advance(milliseconds{500});
    CHECK(world.seen(Patient).toAnswer == before + milliseconds{300});
    world.clock.advance(milliseconds{500});
    CHECK(world.seen(Patient).toAnswer == before);
}

TEST_CASE("a stage is crowded where more than a full call of each server waits before a piece")
{
    staged_world world;
    world.times.onWait(Pool, Patient, milliseconds{300});
    CHECK_FALSE(world.seen(Patient).crowded);
    world.times.onWait(Pool, Patient, milliseconds{301});
    CHECK(world.seen(Patient).crowded);
    CHECK_FALSE(world.seen(Urgent).crowded);
}

TEST_CASE("a stage that a request leaves out makes it neither longer nor late")
{
    staged_world world;
    world.pieces = {0};
    world.times.onWait(Pool, Patient, milliseconds{800});
    CHECK_FALSE(world.seen(Patient).crowded);
    CHECK(world.seen(Patient).toAnswer == world.times.firstAnswer(Engine));
}
