#include "platform_world.h"
#include "wire/json_text.h"

#include <orchidlead/rendezvous.h>

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

const std::string Stages = R"([{"service":"p","after":[],"length":100},)"
                           R"({"service":"p","after":[0],"length":50}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

/// A stage server that returns a handle for each piece after 60 ms, and counts the freed results.
class stage_server
{
public:
    stage_server(world &w, const std::string &id)
        : server(w.addServer("p", id))
        , m_world(w)
    {
        server.setBehaviour(
            [this](const server_request &request, const std::shared_ptr<server_answer> &answer) {
                if (request.head.target == "/stage-free")
                    onFree(request, answer);
                else
                    onCall(request, answer);
            });
    }

    fake_server &server;
    std::vector<std::size_t> calls; ///< number of pieces of each call
    std::vector<std::string> attempts; ///< attempt IDs of all pieces
    std::size_t freed = 0;
    bool unresponsive = false;
    int inputsGone = 0; ///< number of pieces with inputs still to fail as gone

private:
    void onFree(const server_request &request, const std::shared_ptr<server_answer> &answer)
    {
        const auto parsed = wire::parseJson(request.body);
        freed += parsed.value()["handles"].size();
        answer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    void onCall(const server_request &request, const std::shared_ptr<server_answer> &answer)
    {
        const auto parsed = wire::parseJson(request.body);
        const auto &items = parsed.value()["items"];
        calls.push_back(items.size());
        std::string results;
        for (const auto &item : items) {
            attempts.push_back(item["id"].asString());
            const bool gone = item.isMember("inputs") && inputsGone > 0;
            results += results.empty() ? "" : ",";
            results += gone ? R"({"reason":"gone"})"
                            : R"({"handle":"127.0.0.1:)" + std::to_string(server.address().port)
                    + "/" + std::to_string(++m_made) + R"("})";
            inputsGone -= gone ? 1 : 0;
        }
        if (unresponsive)
            return;
        const auto body = R"({"items":[)" + results + "]}";
        m_world.loop.callAfter(milliseconds{60}, [answer, body] {
            answer->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                          + "\r\n\r\n" + body);
        });
    }

    world &m_world;
    int m_made = 0;
};

struct stage_world : world
{
    stage_world()
    {
        publish(1, streamRoute(true, Stages), Services);
        engine.setBehaviour(answerOneEvent);
    }
    std::shared_ptr<client_answer> ask(const std::string &gateway, const std::string &attempt,
                                       const std::string &counts)
    {
        auto head = makeStagedRequest(attempt, counts);
        return request(gateway, head, "prompt");
    }
    std::string inputsAt(std::size_t index)
    {
        return std::string(http::findField(engine.requests().at(index).head.fields, "x-input-count")
                               .value_or("?"));
    }

    fake_server &engine = addServer("engine", "e-1");
    stage_server stages{*this, "p-1"};
};

} // namespace

TEST_CASE("a request runs with the results of its stages, which are then freed")
{
    stage_world w;
    w.startGateway("g1");
    const auto answer = w.ask("g1", "a1", "2,1");
    REQUIRE(w.await(answer));
    CHECK(answer->body == event(1));
    CHECK(w.stages.calls == std::vector<std::size_t>{2, 1});
    CHECK(w.inputsAt(0) == "127.0.0.1:" + std::to_string(w.stages.server.address().port) + "/3");
    CHECK(w.runUntil([&] { return w.stages.freed == 3; }));
}

TEST_CASE("a request without pieces runs without inputs")
{
    stage_world w;
    w.startGateway("g1");
    REQUIRE(w.await(w.ask("g1", "a1", "0,0")));
    CHECK(w.inputsAt(0).empty());
    CHECK(w.stages.calls.empty());
}

TEST_CASE("piece counts that don't match the route are rejected with status 400")
{
    stage_world w;
    w.startGateway("g1");
    const auto answer = w.ask("g1", "a1", "1");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 400);
}

TEST_CASE("the stages of a request are cancelled when its client disconnects")
{
    stage_world w;
    w.startGateway("g1");
    auto head = makeRequest("POST", "/s/x", "a1");
    head.fields.push_back({"X-Chunk-Count", "1,1"});
    head.fields.push_back({"X-Chunk-Key", "key"});
    const auto answer = std::make_shared<client_answer>();
    const auto call = w.startRequest("g1", head, "prompt", answer);
    REQUIRE(w.runUntil([&] { return w.stages.calls.size() == 1; }));
    w.pool.abandon(call);
    w.runFor(milliseconds{500});
    CHECK(w.stages.calls.size() == 1);
    CHECK(w.stages.freed == 1);
    CHECK(w.engine.requests().empty());
}

TEST_CASE("all stages run again after inputs were lost")
{
    stage_world w;
    w.startGateway("g1");
    w.stages.inputsGone = 1;
    const auto answer = w.ask("g1", "a1", "1,1");
    REQUIRE(w.await(answer));
    CHECK(answer->body == event(1));
    CHECK(w.stages.calls.size() == 4);
}

TEST_CASE("pieces of requests at two nodes share calls")
{
    stage_world w;
    w.startGateway("g1");
    w.startGateway("g2");
    REQUIRE(w.runUntil([&] { return w.logOutput.str().find("g2 alive") != std::string::npos; }));
    w.runFor(milliseconds{300});
    // The first request occupies the only server, and the others wait for it and share a call.
    const auto first = w.ask("g1", "a0", "1,0");
    w.runFor(milliseconds{20});
    std::vector<std::shared_ptr<client_answer>> answers;
    for (const std::string gateway : {"g1", "g2", "g1", "g2"})
        answers.push_back(w.ask(gateway, gateway + std::to_string(answers.size()), "1,0"));
    for (const auto &each : answers)
        REQUIRE(w.await(each));
    CHECK(w.stages.calls == std::vector<std::size_t>{1, 4});
    for (const auto &each : answers)
        CHECK(each->body == event(1));
}

// Guards against pieces of a stream under way that are dropped as late in a loaded pool: after the
// loss of its engine they were due within the objective of a request that had arrived long before.
TEST_CASE("the stages of a stream that has begun run again with an objective of their own")
{
    stage_world w;
    constexpr milliseconds EventInterval{800}; // shorter than an idle stream is continued after
    const auto behaviour = [&](const server_request &request,
                               const std::shared_ptr<server_answer> &answer) {
        if (w.engine.requests().size() + w.server("e-2").requests().size() > 1) {
            answer->write(streamHead(request) + chunk(event(3)) + "0\r\n\r\n");
            return;
        }
        answer->write(streamHead(request) + chunk(event(1)));
        w.loop.callAfter(EventInterval, [answer] { answer->write(chunk(event(2))); });
        w.loop.callAfter(2 * EventInterval, [answer] { answer->reset(); });
    };
    w.engine.setBehaviour(behaviour);
    w.addServer("engine", "e-2").setBehaviour(behaviour);
    w.startGateway("g1");
    auto head = makeStagedRequest("a1", "2,1");
    for (auto &each : head.fields) {
        if (each.name == "X-Deadline-Ms")
            each.value = "4000";
    }
    const auto answer = w.request("g1", head, "prompt");
    REQUIRE(w.await(answer));
    CHECK(answer->body == event(1) + event(2) + event(3));
    w.runFor(milliseconds{100});
    const auto log = w.logOutput.str();
    const auto restarted = log.find("reason=results_freed");
    REQUIRE(restarted != std::string::npos);
    const auto timeLeft = log.find("aim_left_ms=", restarted);
    REQUIRE(timeLeft != std::string::npos);
    CHECK(log.substr(timeLeft, 13) != "aim_left_ms=-");
}

// Guards against results of a failed node that occupy the storage of servers until they expire
// after 4 s.
TEST_CASE("the results of a killed node's requests are freed by the pool's host within a second")
{
    stage_world w;
    w.startGateway("g1");
    w.startGateway("g2");
    REQUIRE(w.runUntil([&] { return w.logOutput.str().find("g2 alive") != std::string::npos; }));
    w.runFor(milliseconds{300});
    const std::vector<vm_id> nodes{vm_id("g1"), vm_id("g2")};
    const std::string submitter =
        rendezvousPick("p", nodes, 1).front() == nodes.front() ? "g2" : "g1";
    std::vector<std::shared_ptr<server_answer>> unanswered;
    w.engine.setBehaviour(
        [&](const server_request &, const std::shared_ptr<server_answer> &answer) {
            unanswered.push_back(answer);
        });
    (void)w.ask(submitter, "a1", "2,1");
    REQUIRE(w.runUntil([&] { return !unanswered.empty(); }));
    w.runFor(milliseconds{100});
    const auto freedBefore = w.stages.freed;
    REQUIRE(freedBefore < 3);
    w.killGateway(submitter);
    CHECK(w.runUntil([&] { return w.stages.freed == 3; }, milliseconds{1000}));
    CHECK(w.runUntil(
        [&] { return w.logOutput.str().find("lost_peer_results_freed") != std::string::npos; }));
}

// Guards against freeing results of live requests because a link was cut: by one side, or so that
// the host's own attempts to connect are refused as well.
TEST_CASE("the results of a request stay when the links of its node are cut while both nodes live")
{
    const auto cutsHost = GENERATE(false, true);
    INFO("links of the host are cut: " << cutsHost);
    stage_world w;
    w.peersCanBeCut = true;
    w.startGateway("g1");
    w.startGateway("g2");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    w.runFor(milliseconds{300});
    const std::vector<vm_id> nodes{vm_id("g1"), vm_id("g2")};
    const auto host = rendezvousPick("p", nodes, 1).front().value;
    std::vector<std::shared_ptr<server_answer>> unanswered;
    w.engine.setBehaviour(
        [&](const server_request &, const std::shared_ptr<server_answer> &answer) {
            unanswered.push_back(answer);
        });
    (void)w.ask(host == "g1" ? "g2" : "g1", "a1", "2,1");
    REQUIRE(w.runUntil([&] { return !unanswered.empty(); }));
    w.runFor(milliseconds{100});
    const auto freedBefore = w.stages.freed;
    REQUIRE(freedBefore < 3);
    w.cutFromPeers(host == "g1" ? "g2" : "g1", cut_kind::Reset);
    if (cutsHost)
        w.cutFromPeers(host, cut_kind::Reset);
    w.runFor(milliseconds{2000});
    CHECK(w.stages.freed == freedBefore);
    CHECK(w.logOutput.str().find("lost_peer_results_freed") == std::string::npos);
}

// Guards against requests refused by a starting node: other nodes choose it as the host of a pool
// at once, but reading a long list of servers takes it seconds.
TEST_CASE("a node without the list of servers hosts no pool, and no request is refused")
{
    stage_world w;
    w.startGateway("g1");
    w.startGateway("g2");
    std::string newNode;
    for (int i = 0; newNode.empty(); ++i) {
        const std::vector<vm_id> nodes{vm_id("g1"), vm_id("g2"), vm_id("new" + std::to_string(i))};
        if (rendezvousPick("p", nodes, 1).front() == nodes.back())
            newNode = nodes.back().value;
    }
    w.store.sendListsInParts(8, milliseconds{250});
    const auto &newGateway = w.startGateway(newNode, false);
    CHECK_FALSE(newGateway.ready());
    REQUIRE(w.runUntil(
        [&] { return w.logOutput.str().find(newNode + " alive") != std::string::npos; }));
    // A peer may have sent the list by now: the log is written up to 20 ms after the event.
    const int status = w.readiness(newNode);
    const bool readyAfterAnswer = newGateway.ready();
    CHECK((status == 503 || (status == 200 && readyAfterAnswer)));
    std::vector<std::shared_ptr<client_answer>> answers;
    for (int i = 0; i < 6; ++i) {
        answers.push_back(w.ask("g1", "a" + std::to_string(i), "2,1"));
        answers.push_back(w.ask("g2", "b" + std::to_string(i), "2,1"));
        w.runFor(milliseconds{50});
    }
    for (const auto &each : answers) {
        REQUIRE(w.await(each));
        CHECK(each->status == 200);
    }
    CHECK(w.runUntil([&] { return w.readiness(newNode) == 200; }));
}

TEST_CASE("a call to an unresponsive server is repeated at another one")
{
    stage_world w;
    stage_server other(w, "p-2");
    w.startGateway("g1");
    w.stages.unresponsive = true;
    const auto first = w.ask("g1", "a1", "1,0");
    const auto second = w.ask("g1", "a2", "1,0");
    REQUIRE(w.await(first));
    REQUIRE(w.await(second));
    CHECK(first->body == event(1));
    CHECK(second->body == event(1));
}

TEST_CASE("a request waiting for its stages is refused before a planned stop completes")
{
    stage_world w;
    auto longRoute = streamRoute(true, Stages);
    longRoute.replace(longRoute.find("4000"), 4, "9000");
    w.publish(2, longRoute, Services);
    w.startGateway("g1");
    w.stages.unresponsive = true;
    const auto began = w.clock.now();
    w.stopGateway("g1");
    auto head = makeRequest("POST", "/s/x", "a1");
    head.fields[2].value = "9000";
    head.fields.push_back({"X-Chunk-Count", "1,0"});
    head.fields.push_back({"X-Chunk-Key", "key"});
    const auto answer = w.request("g1", head, "prompt");
    REQUIRE(w.await(answer, milliseconds{9000}));
    CHECK(answer->status == 503);
    CHECK(w.clock.now() - began < milliseconds{6000});
}
