#include "platform_world.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Time within which nodes act on an evacuation in all cases except a store that no node can reach;
/// the platform allows five seconds.
constexpr milliseconds Bound{3000};

/// Two data centres with one server of a plain service each, and a node in the first one.
struct plain_fleet : world
{
    plain_fleet()
    {
        publish(1, plainRoute("safe"));
        startGateway("g1");
    }
    int ask(const std::string &gateway = "g1")
    {
        const auto answer =
            request(gateway, makeRequest("GET", "/p/x", "a" + std::to_string(++m_requestCount)));
        CHECK(await(answer));
        return answer->status;
    }
    /// Waits for the bound, then sends ten requests; returns how many of them reach `server`.
    std::size_t sentAfterBound(fake_server &server, const std::string &gateway = "g1")
    {
        runFor(Bound);
        const auto before = server.requests().size();
        for (int i = 0; i < 10; ++i)
            ask(gateway);
        return server.requests().size() - before;
    }

    fake_server &serverInZ = addServer("web", "i-1", "z");
    fake_server &serverInY = addServer("web", "i-2", "y");

private:
    int m_requestCount = 0;
};

} // namespace

TEST_CASE("servers of a data centre get no new requests until its evacuation ends")
{
    plain_fleet w;
    REQUIRE(w.waitForStoreWatch());
    REQUIRE(w.sentAfterBound(w.serverInZ) > 0);
    w.evacuate("z");
    CHECK(w.sentAfterBound(w.serverInZ) == 0);
    CHECK(w.ask() == 200);
    w.endEvacuation("z");
    CHECK(w.sentAfterBound(w.serverInZ) > 0);
    CHECK(w.logOutput.str().find("data_center_evacuated") != std::string::npos);
    CHECK(w.logOutput.str().find("data_center_returned") != std::string::npos);
}

TEST_CASE("a node that starts during an evacuation sends no requests to the evacuated data centre")
{
    plain_fleet w;
    w.evacuate("z");
    w.startGateway("g2");
    for (int i = 0; i < 10; ++i)
        CHECK(w.ask("g2") == 200);
    CHECK(w.serverInZ.requests().empty());
}

TEST_CASE("an evacuation is found when the store is read in several pages")
{
    plain_fleet w;
    w.evacuate("z");
    w.store.setPageSize(1);
    w.startGateway("g2");
    CHECK(w.ask("g2") == 200);
    CHECK(w.serverInZ.requests().empty());
}

TEST_CASE("a node without access to the store learns of an evacuation from its peers")
{
    plain_fleet w;
    w.evacuate("z");
    REQUIRE(w.sentAfterBound(w.serverInZ) == 0);
    w.store.failWith(503);
    w.startGateway("g2");
    CHECK(w.ask("g2") == 200);
    CHECK(w.serverInZ.requests().size() == 0);
}

TEST_CASE("an evacuation that ended while the store history was lost ends on the nodes")
{
    plain_fleet w;
    w.evacuate("z");
    REQUIRE(w.waitForStoreWatch());
    REQUIRE(w.sentAfterBound(w.serverInZ) == 0);
    w.store.failWith(503);
    w.runFor(milliseconds{300});
    w.endEvacuation("z");
    w.evacuate("y");
    w.store.compact();
    w.store.failWith(0);
    CHECK(w.sentAfterBound(w.serverInY) == 0);
    CHECK(w.sentAfterBound(w.serverInZ) > 0);
}

TEST_CASE("with all data centres evacuated a request is refused at once with Retry-After")
{
    plain_fleet w;
    w.evacuate("z");
    w.evacuate("y");
    w.startGateway("g2");
    const auto began = w.clock.now();
    const auto answer = w.request("g2", makeRequest("GET", "/p/x", "b1"));
    REQUIRE(w.await(answer));
    CHECK(answer->status == 503);
    CHECK(!answer->field("retry-after").empty());
    CHECK(w.clock.now() - began < milliseconds{200});
    INFO(w.logOutput.str());
    CHECK(w.runUntil(
        [&] { return w.logOutput.str().find("outcome=evacuated") != std::string::npos; }));
}

namespace {

const std::string Stages = R"([{"service":"p","after":[],"length":100}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":1,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

/// One stage server in each of two data centres; each call takes the time `callTime`.
struct staged_fleet : world
{
    staged_fleet()
    {
        publish(1, streamRoute(true, Stages), Services);
        for (auto *each : {&serverInZ, &serverInY}) {
            each->setBehaviour([this, each](const server_request &request,
                                            const std::shared_ptr<server_answer> &answer) {
                answerStages(*this, *each, request, answer, callTime, m_handleCount);
            });
        }
        engine.setBehaviour(answerOneEvent);
        startGateway("g1");
    }
    std::shared_ptr<client_answer> ask(const std::string &attempt)
    {
        auto head = makeStagedRequest(attempt, "1");
        return request("g1", head, "prompt");
    }

    milliseconds callTime{30};
    fake_server &engine = addServer("engine", "e-1", "y");
    fake_server &serverInZ = addServer("p", "p-1", "z");
    fake_server &serverInY = addServer("p", "p-2", "y");

private:
    int m_handleCount = 0;
};

} // namespace

TEST_CASE("an evacuated data centre gets no new stage calls, and its running calls finish")
{
    staged_fleet w;
    REQUIRE(w.waitForStoreWatch());
    w.callTime = milliseconds{500};
    std::vector<std::shared_ptr<client_answer>> answers;
    for (const std::string attempt : {"a1", "a2"})
        answers.push_back(w.ask(attempt));
    REQUIRE(w.runUntil(
        [&] { return w.serverInZ.requests().size() + w.serverInY.requests().size() > 0; }));
    w.evacuate("z");
    for (const auto &each : answers) {
        REQUIRE(w.await(each));
        CHECK(each->status == 200);
    }
    w.callTime = milliseconds{30};
    w.runFor(Bound);
    const auto before = w.serverInZ.requests().size();
    answers.clear();
    for (int i = 0; i < 5; ++i)
        answers.push_back(w.ask("b" + std::to_string(i)));
    for (const auto &each : answers) {
        REQUIRE(w.await(each));
        CHECK(each->status == 200);
    }
    CHECK(w.serverInZ.requests().size() == before);
}

TEST_CASE("a request whose stages cannot run anywhere is refused before any stage call")
{
    staged_fleet w;
    w.evacuate("z");
    w.evacuate("y");
    w.runFor(Bound);
    const auto began = w.clock.now();
    const auto answer = w.ask("a1");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 503);
    CHECK(w.clock.now() - began < milliseconds{200});
    CHECK(w.serverInZ.requests().size() + w.serverInY.requests().size() == 0);
}
