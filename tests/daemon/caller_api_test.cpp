#include "daemon/test_fleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::daemon;

namespace {

std::string askBody(const std::string &pipeline, const std::string &more = "")
{
    return R"({"customer":"saare","pipeline":")" + pipeline + R"(","input":{"n":1.10})" + more
        + "}";
}

struct bad_call
{
    std::string method;
    std::string path;
    std::string body;
    int status;
    std::string reason;
    std::string detail;
};

} // namespace

TEST_CASE("a request goes through its stages and its answer comes back whole")
{
    test_fleet fleet;
    const auto got = fleet.post("/v1/requests", askBody("ask"));
    CHECK(got.status == 200);
    const Json::Value body = parsedBody(got);
    INFO(got.body);
    CHECK(body["outcome"].asString() == "answered");
    CHECK(body["output"]["stage"].asString() == "encode");
    CHECK_THAT(got.body, Catch::Contains("1.10"));
    REQUIRE(body["stages"].size() == 1);
    CHECK(body["stages"][0]["server"].asString() == "encoder-1");
}

TEST_CASE("each bad call gets an error of its own, and the daemon goes on")
{
    test_fleet fleet;
    const std::vector<bad_call> calls{
        {"POST", "/v1/requests", "{\"customer\":", 400, "invalid_request", "malformed JSON"},
        {"POST", "/v1/requests", "", 400, "invalid_request", "malformed JSON"},
        {"POST", "/v1/requests", "{\"a\xff\":1}", 400, "invalid_request", "not UTF-8"},
        {"POST", "/v1/requests", std::string(5000, '['), 400, "invalid_request", "malformed JSON"},
        {"POST", "/v1/requests", askBody("ask", R"(,"input":2)"), 400, "invalid_request", "input"},
        {"POST", "/v1/requests", askBody("ask", R"(,"colour":"red")"), 400, "invalid_request",
         "unknown field \"colour\""},
        {"POST", "/v1/requests", askBody("ask", R"(,"deadline_ms":-1)"), 400, "invalid_request",
         "deadline_ms"},
        {"POST", "/v1/requests", askBody("ask", R"(,"deadline_ms":1e99)"), 400, "invalid_request",
         "deadline_ms"},
        {"POST", "/v1/requests", askBody("none"), 400, "invalid_request", "pipeline: customer"},
        {"POST", "/v1/requests", R"({"customer":"hiiu","pipeline":"ask","input":1})", 400,
         "invalid_request", "customer: unknown"},
        {"POST", "/v1/requests", askBody("ask", R"(,"ticket":"t.x")"), 400, "invalid_request",
         "ticket"},
        {"GET", "/v1/requests", "", 405, "invalid_request", "method"},
        {"POST", "/v2/requests", "", 404, "invalid_request", "path"},
    };
    for (const auto &bad : calls) {
        CAPTURE(bad.method, bad.path, bad.body.substr(0, 80));
        net::http_call call = fleet.composePost(bad.path, bad.body);
        call.method = bad.method;
        const auto got = net::callAndWait(fleet.loop(), std::move(call));
        INFO(got.body);
        CHECK(got.status == bad.status);
        const Json::Value body = parsedBody(got);
        CHECK(body["outcome"].asString() == "not_run");
        CHECK(body["reason"].asString() == bad.reason);
        CHECK_THAT(body["detail"].asString(), Catch::Contains(bad.detail));
    }
    CHECK(fleet.backendCalls() == 0);
    CHECK(fleet.post("/v1/requests", askBody("ask")).status == 200);
}

TEST_CASE("a body above the bound is refused and the daemon goes on")
{
    test_fleet fleet(1, [](process_settings &settings) { settings.limits.maxBodyBytes = 4096; });
    CHECK(fleet.post("/v1/requests", std::string(5000, ' ')).status == 413);
    CHECK(fleet.post("/v1/requests", askBody("ask")).status == 200);
}

TEST_CASE("closing the connection cancels what runs")
{
    test_fleet fleet;
    net::response_ptr held;
    bool cancelled = false;
    fleet.onRun = [&](net::http_request &&, const net::response_ptr &response) {
        held = response;
        response->onClosed([&] { cancelled = true; });
    };
    const auto client = net::http_client::create(*fleet.loop());
    const auto call = client->start(fleet.composePost("/v1/requests", askBody("ask")), {});
    REQUIRE(fleet.loop().runUntil([&] { return held != nullptr; }));
    client->cancel(call);
    CHECK(fleet.loop().runUntil([&] { return cancelled; }));
    held.reset();
}

TEST_CASE("a stream gives the tokens and then the whole answer")
{
    test_fleet fleet;
    fleet.onRun = [](net::http_request &&request, const net::response_ptr &response) {
        if (request.path == "/run") {
            test_fleet::answerStage(request, response);
            return;
        }
        const auto id = net::findHeader(request.headers, "x-request-id");
        REQUIRE(id.has_value());
        const std::string head = R"(data: {"id":"cmpl-)" + std::string(*id) + R"(","choices":[)";
        response->begin(200, {{"content-type", "text/event-stream"}});
        response->write(head + R"({"index":0,"text":"two ","finish_reason":null}]})" + "\n\n");
        response->write(head + R"({"index":0,"text":"words","finish_reason":"stop"}],)"
                        + R"("usage":{"prompt_tokens":1,"completion_tokens":2}})" + "\n\n");
        response->write("data: [DONE]\n\n");
        response->finish();
    };
    const auto got = fleet.post("/v1/requests", askBody("chat", R"(,"stream":true)"));
    INFO(got.body);
    CHECK(got.status == 200);
    CHECK_THAT(got.body, Catch::StartsWith("event: token\ndata: {\"text\":\"two \"}\n\n"));
    CHECK_THAT(got.body, Catch::Contains("event: outcome\ndata: {"));
    CHECK_THAT(got.body, Catch::Contains("two words"));
}

TEST_CASE("a stream that is refused before its first token keeps its status")
{
    test_fleet fleet;
    fleet.onRun = [](net::http_request &&, const net::response_ptr &response) {
        response->respond(500, {}, "{}");
    };
    const auto got = fleet.post("/v1/requests", askBody("chat", R"(,"stream":true)"));
    INFO(got.body);
    CHECK(got.status == 502);
    CHECK(parsedBody(got)["outcome"].asString() == "failed");
}

TEST_CASE("a ticket runs a request once, whichever node its copies reach")
{
    test_fleet fleet(2);
    const std::string ticket = parsedBody(fleet.post("/v1/tickets", "{}", 0))["ticket"].asString();
    const std::string body = askBody("pay", R"(,"ticket":")" + ticket + "\"");
    const Json::Value first = parsedBody(fleet.post("/v1/requests", body, 1));
    INFO(first);
    CHECK(first["outcome"].asString() == "answered");
    const Json::Value second = parsedBody(fleet.post("/v1/requests", body, 0));
    CHECK(second["outcome"].asString() == "answered");
    CHECK(second["output"] == first["output"]);
    CHECK(fleet.backendCalls() == 1);
}

TEST_CASE("the fate of a ticket whose node is gone is unknown")
{
    test_fleet fleet(2);
    const std::string ticket = parsedBody(fleet.post("/v1/tickets", "{}", 0))["ticket"].asString();
    fleet.crash(0);
    const auto got =
        fleet.post("/v1/requests", askBody("pay", R"(,"ticket":")" + ticket + "\""), 1);
    INFO(got.body);
    CHECK(got.status == 520);
    CHECK(parsedBody(got)["reason"].asString() == "home_unreachable");
    CHECK(fleet.backendCalls() == 0);
}
