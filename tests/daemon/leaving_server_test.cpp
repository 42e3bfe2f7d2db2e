#include "daemon/test_fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead;
using namespace orchidlead::daemon;

namespace {

std::string stateOf(test_fleet &fleet, std::size_t at, const std::string &server)
{
    const Json::Value servers = parsedBody(fleet.get(fleet.operatorAddress(at), "/v1/servers"));
    for (const auto &row : servers["servers"]) {
        if (row["server"].asString() == server)
            return row["state"].asString();
    }
    return {};
}

} // namespace

TEST_CASE("what a leaving server says to one node, the others hear")
{
    test_fleet fleet(2);
    fleet.onRun = [](net::http_request &&, const net::response_ptr &response) {
        response->respond(503, {}, R"({"error":"leaving"})");
    };
    const auto got =
        fleet.post("/v1/requests", R"({"customer":"saare","pipeline":"ask","input":1})", 0);
    INFO(got.body);
    CHECK(got.status != 200);
    bool heard = false;
    for (int attempt = 0; attempt < 100 && !heard; ++attempt) {
        fleet.loop().runFor(std::chrono::milliseconds{20});
        heard = stateOf(fleet, 1, "encoder-1") == "leaving";
    }
    CHECK(heard);
    CHECK(stateOf(fleet, 1, "ledger-1") != "leaving");
}
