// Guards against streams that are lost because their clients, who have little time left when they
// continue them, wait behind new requests at the stages.
#include "platform_world.h"
#include "wire/json_text.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int NewRequests = 8;
constexpr milliseconds PieceTime{120};

/// A gateway before a model engine and a stage server that works on one piece at a time.
struct busy_stage_world : world
{
    busy_stage_world()
    {
        publish(
            1, streamRoute(true, R"([{"service":"q","after":[],"length":100}])"),
            R"({"name":"q","segments":{"slots":1,"queue":1,"batch":1,"call_ms":100,"item_ms":1,)"
            R"("headroom_mb":1,"handle_s":4}},)"
            R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})");
        addServer("engine", "e-1")
            .setBehaviour([](const server_request &request, const auto &answer) {
                if (http::findField(request.head.fields, "last-event-id"))
                    answer->write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
                else
                    answer->write(streamHead(request) + chunk(event(1)));
            });
        auto &stage = addServer("q", "q-1");
        stage.setBehaviour([this, &stage](const server_request &request,
                                          const std::shared_ptr<server_answer> &answer) {
            if (const auto body = wire::parseJson(request.body);
                body && body.value().isMember("items"))
                pieces.push_back(body.value()["items"][0]["id"].asString());
            answerStages(*this, stage, request, answer, PieceTime, m_results);
        });
        startGateway("g1");
    }

    std::vector<std::string> pieces; ///< attempts, in the order in which their pieces were computed

private:
    int m_results = 0;
};

} // namespace

TEST_CASE("the stages of a stream that its client continues run before those of new requests")
{
    busy_stage_world w;
    const auto first = std::make_shared<client_answer>();
    const auto call = w.startRequest("g1", makeStagedRequest("first", "1"), "x", first);
    REQUIRE(w.runUntil([&] { return first->body == event(1); }));
    w.pool.abandon(call);
    for (int i = 0; i < NewRequests; ++i)
        w.startRequest("g1", makeStagedRequest("new-" + std::to_string(i), "1"), "x",
                       std::make_shared<client_answer>());
    w.runFor(milliseconds{50});
    auto head = makeStagedRequest("again", "1");
    head.fields.push_back({"Resumes", "first"});
    head.fields.push_back({"Last-Event-Id", "1"});
    const auto answer = w.request("g1", std::move(head), "x");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 200);
    CHECK(answer->body == event(2));
    REQUIRE(w.runUntil([&] { return w.pieces.size() == NewRequests + 2; }));
    // Behind the piece in progress and the one that waits at the server.
    const auto at = std::ranges::find(w.pieces, "again") - w.pieces.begin();
    CHECK(at <= 3);
}

// Guards against clients that gain precedence by naming a last event although they have no stream.
TEST_CASE("a request that continues no known stream does not run before new requests")
{
    busy_stage_world w;
    for (int i = 0; i < NewRequests; ++i)
        w.startRequest("g1", makeStagedRequest("new-" + std::to_string(i), "1"), "x",
                       std::make_shared<client_answer>());
    w.runFor(milliseconds{50});
    auto head = makeStagedRequest("again", "1");
    SECTION("it names no event") { }
    SECTION("it names no attempt")
    {
        head.fields.push_back({"Last-Event-Id", "0"});
    }
    SECTION("it names an attempt that never began")
    {
        head.fields.push_back({"Resumes", "never-begun"});
        head.fields.push_back({"Last-Event-Id", "0"});
    }
    w.request("g1", std::move(head), "x");
    REQUIRE(w.runUntil([&] { return w.pieces.size() == NewRequests + 1; }));
    CHECK(w.pieces.back() == "again");
}
