#include "platform_world.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Within this nodes act on an evacuation whatever happens, bar a store that nobody reaches: the
/// platform allows five seconds.
constexpr milliseconds Bound{3000};

/// Two data centres with a server of a plain service each, and a node in the first.
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
            request(gateway, makeRequest("GET", "/p/x", "a" + std::to_string(++m_asked)));
        CHECK(await(answer));
        return answer->status;
    }
    /// Waits for the bound, then sends many requests: gives how many reach servers of `dataCenter`.
    std::size_t sentAfterBound(fake_server &server, const std::string &gateway = "g1")
    {
        runFor(Bound);
        const auto before = server.requests().size();
        for (int i = 0; i < 10; ++i)
            ask(gateway);
        return server.requests().size() - before;
    }

    fake_server &here = addServer("web", "i-1", "z");
    fake_server &there = addServer("web", "i-2", "y");

private:
    int m_asked = 0;
};

} // namespace

TEST_CASE("servers of an evacuated data centre get nothing new, and again when it is given back")
{
    plain_fleet w;
    REQUIRE(w.untilWatched());
    REQUIRE(w.sentAfterBound(w.here) > 0);
    w.evacuate("z");
    CHECK(w.sentAfterBound(w.here) == 0);
    CHECK(w.ask() == 200);
    w.giveBack("z");
    CHECK(w.sentAfterBound(w.here) > 0);
    CHECK(w.logged.str().find("data_center_evacuated") != std::string::npos);
    CHECK(w.logged.str().find("data_center_returned") != std::string::npos);
}

TEST_CASE("a node that starts while a data centre is evacuated sends nothing there")
{
    plain_fleet w;
    w.evacuate("z");
    w.startGateway("g2");
    for (int i = 0; i < 10; ++i)
        CHECK(w.ask("g2") == 200);
    CHECK(w.here.requests().empty());
}

TEST_CASE("an evacuation that is read in pages isn't missed")
{
    plain_fleet w;
    w.evacuate("z");
    w.store.setPageSize(1);
    w.startGateway("g2");
    CHECK(w.ask("g2") == 200);
    CHECK(w.here.requests().empty());
}

TEST_CASE("a node whose store is silent hears of an evacuation, and of its end, from its peers")
{
    plain_fleet w;
    w.evacuate("z");
    REQUIRE(w.sentAfterBound(w.here) == 0);
    w.store.failWith(503);
    w.startGateway("g2");
    CHECK(w.ask("g2") == 200);
    CHECK(w.here.requests().size() == 0);
}

TEST_CASE("what was given back while the store's history was lost is given back")
{
    plain_fleet w;
    w.evacuate("z");
    REQUIRE(w.untilWatched());
    REQUIRE(w.sentAfterBound(w.here) == 0);
    w.store.failWith(503);
    w.runFor(milliseconds{300});
    w.giveBack("z");
    w.evacuate("y");
    w.store.compact();
    w.store.failWith(0);
    CHECK(w.sentAfterBound(w.there) == 0);
    CHECK(w.sentAfterBound(w.here) > 0);
}

TEST_CASE("where everything is evacuated a request is refused at once, with when to come back")
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
    INFO(w.logged.str());
    CHECK(
        w.runUntil([&] { return w.logged.str().find("outcome=evacuated") != std::string::npos; }));
}

namespace {

const std::string Stages = R"([{"service":"p","after":[],"length":100}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":1,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

/// One stage server in each of two data centres that does its first call only when it is told to.
struct staged_fleet : world
{
    staged_fleet()
    {
        publish(1, streamRoute(true, Stages), Services);
        for (auto *each : {&here, &there}) {
            each->behave([this, each](const server_request &request,
                                      const std::shared_ptr<server_answer> &answer) {
                answerStages(*this, *each, request, answer, work, m_made);
            });
        }
        engine.behave(answerOneEvent);
        startGateway("g1");
    }
    std::shared_ptr<client_answer> ask(const std::string &attempt)
    {
        auto head = makeStagedRequest(attempt, "1");
        return request("g1", head, "prompt");
    }

    milliseconds work{30};
    fake_server &engine = addServer("engine", "e-1", "y");
    fake_server &here = addServer("p", "p-1", "z");
    fake_server &there = addServer("p", "p-2", "y");

private:
    int m_made = 0;
};

} // namespace

TEST_CASE("pieces go to no server of an evacuated data centre, and what runs there ends in peace")
{
    staged_fleet w;
    REQUIRE(w.untilWatched());
    w.work = milliseconds{500};
    std::vector<std::shared_ptr<client_answer>> answers;
    for (const std::string attempt : {"a1", "a2"})
        answers.push_back(w.ask(attempt));
    REQUIRE(w.runUntil([&] { return w.here.requests().size() + w.there.requests().size() > 0; }));
    w.evacuate("z");
    for (const auto &each : answers) {
        REQUIRE(w.await(each));
        CHECK(each->status == 200);
    }
    w.work = milliseconds{30};
    w.runFor(Bound);
    const auto before = w.here.requests().size();
    answers.clear();
    for (int i = 0; i < 5; ++i)
        answers.push_back(w.ask("b" + std::to_string(i)));
    for (const auto &each : answers) {
        REQUIRE(w.await(each));
        CHECK(each->status == 200);
    }
    CHECK(w.here.requests().size() == before);
}

TEST_CASE("a request whose stages can be done nowhere is refused before anything is spent on it")
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
    CHECK(w.here.requests().size() + w.there.requests().size() == 0);
}
