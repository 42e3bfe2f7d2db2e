#include "gateway/admission/reserved_stages.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const service_id Service("rerank");
const service_id Engine("engine");
const pool_key Pool{Service};

/// Two stages of one service, in sequence, before an engine. A call with half a batch takes 255 ms,
/// a full one 300 ms, and the engine 250 ms.
struct two_stages
{
    manual_clock clock;
    latency_estimator estimator{clock};
    configuration_ptr configuration;
    route routeSpec;
    std::vector<pool_key> pools{Pool, Pool};
    std::vector<std::uint32_t> pieces{3, 2};

    two_stages()
    {
        orchidlead::gateway::configuration content;
        auto &service = content.services.emplace_back();
        service.id = Service;
        service.stage = stage_capacity{};
        service.stage->maxPiecesPerCall = 10;
        service.stage->callOverhead = milliseconds{200};
        service.stage->timePerPiece = milliseconds{10};
        configuration = std::make_shared<const configuration_index>(std::move(content));
        routeSpec.stages = {{Service, {}, 100}, {Service, {0}, 50}};
    }
    std::map<pool_key, std::vector<reserved_stage>> reserved(milliseconds objectiveLeft)
    {
        return reservedStagesOf({*configuration, routeSpec, Engine, {}, pools, pieces}, estimator,
                                objectiveLeft, true);
    }
};

} // namespace

TEST_CASE("two stages of one service need places of one pool, each at its time")
{
    two_stages f;
    const auto reserved = f.reserved(milliseconds{2000});
    REQUIRE(reserved.size() == 1);
    const auto &stages = reserved.at(Pool);
    REQUIRE(stages.size() == 2);
    CHECK(stages[0].pieces == 3);
    CHECK(stages[0].startsIn == milliseconds{0});
    CHECK(stages[0].latestStart == milliseconds{2000 - 300 - 255 - 250});
    CHECK(stages[1].pieces == 2);
    CHECK(stages[1].resultBytes == 50);
    CHECK(stages[1].startsIn == milliseconds{255});
    CHECK(stages[1].latestStart == milliseconds{2000 - 300 - 250});
}

TEST_CASE("a stage that is skipped needs no places")
{
    two_stages f;
    f.pieces = {0, 2};
    const auto reserved = f.reserved(milliseconds{2000});
    REQUIRE(reserved.at(Pool).size() == 1);
    CHECK(reserved.at(Pool)[0].stage == 1);
    CHECK(reserved.at(Pool)[0].startsIn == milliseconds{0});
}

// Guards against refusals on an idle pool: such a request is served late instead.
TEST_CASE("a request that would be late without any queue may wait for one call at each stage")
{
    two_stages f;
    const auto stages = f.reserved(milliseconds{400}).at(Pool);
    CHECK(stages[0].latestStart == milliseconds{300});
    CHECK(stages[1].latestStart == milliseconds{255 + 300});
}
