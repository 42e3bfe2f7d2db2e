#include "daemon/test_fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead;
using namespace orchidlead::daemon;

namespace {

constexpr std::size_t FleetSize = 5;

Json::Value configurationOf(test_fleet &fleet, std::size_t at)
{
    return parsedBody(fleet.get(fleet.operatorAddress(at), "/v1/configuration"));
}

bool allHave(test_fleet &fleet, std::uint64_t version)
{
    for (std::size_t at = 0; at < FleetSize; ++at) {
        if (configurationOf(fleet, at)["version"].asUInt64() != version)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("a published version is in force on every node, of which only a few read the service")
{
    test_fleet fleet(FleetSize);
    REQUIRE(allHave(fleet, 1));
    fleet.publishAgain();
    bool reached = false;
    for (int attempt = 0; attempt < 200 && !reached; ++attempt) {
        fleet.loop().runFor(std::chrono::milliseconds{50});
        reached = allHave(fleet, 2);
    }
    CHECK(reached);
    int readers = 0;
    for (std::size_t at = 0; at < FleetSize; ++at) {
        const Json::Value seen = configurationOf(fleet, at);
        INFO(seen);
        readers += seen["reader"].asBool() ? 1 : 0;
        CHECK(seen["refused"].empty());
    }
    CHECK(readers == 3);
}

TEST_CASE("after a pause nothing is sent before the configuration is confirmed again")
{
    test_fleet fleet;
    net::http_request heldRequest;
    net::response_ptr held;
    fleet.onRun = [&](net::http_request &&request, const net::response_ptr &response) {
        heldRequest = std::move(request);
        held = response;
    };
    const auto client = net::http_client::create(*fleet.loop());
    net::answer open;
    client->start(
        fleet.composePost("/v1/requests", R"({"customer":"saare","pipeline":"chat","input":1})"),
        net::collect(open));
    REQUIRE(fleet.loop().runUntil([&] { return held != nullptr; }));

    // Nobody is left to ask: the node goes on alone only after a while.
    fleet.stopPlatform();
    fleet.clock().jump(milliseconds{3000});
    const auto refused =
        fleet.post("/v1/requests", R"({"customer":"saare","pipeline":"ask","input":1})");
    INFO(refused.body);
    CHECK(refused.status == 503);
    CHECK(parsedBody(refused)["outcome"].asString() == "not_run");
    CHECK(fleet.get(fleet.callerAddress(), "/readyz").status == 503);
    test_fleet::answerStage(heldRequest, held);
    held.reset();
    const std::size_t sentBefore = fleet.backendCalls();
    fleet.loop().runFor(std::chrono::milliseconds{300});
    CHECK(fleet.backendCalls() == sentBefore);
    CHECK_FALSE(open.end.has_value());

    REQUIRE(fleet.loop().runUntil([&] { return fleet.allReady(); }));
    REQUIRE(fleet.loop().runUntil([&] { return held != nullptr; }));
    CHECK(fleet.backendCalls() == sentBefore + 1);
    fleet.onRun = [](net::http_request &&, const net::response_ptr &response) {
        response->respond(500, {}, "{}");
    };
    held->respond(500, {}, "{}");
    CHECK(fleet.loop().runUntil([&] { return open.end.has_value(); }));
}
