// What was seen: a model engine that had said in its answers that it leaves got requests that
// clients sent three seconds later, from a node that had passed such an answer on.
// How it came about: the store was silent, so its published entry still said that it was ready, and
// the engine went on to get its usual part of the load.
// What caused it: nodes read of answers that servers leave nothing at all.
// What proved it: a line for each server that says so. Nodes logged it within a second in these
// tests, and requests went there as before.
#include "loaded_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// A request that a client sends later than this after an answer that says so must not arrive.
constexpr milliseconds DrainTime{2000};
/// By then all nodes know what one of them heard.
constexpr milliseconds NewsTime{300};

/// A loaded fleet some of whose servers say that they leave.
struct leaving_world : loaded_fleet
{
    explicit leaving_world(const std::string &routes, const std::string &services = {})
        : loaded_fleet(routes, services)
    {
        fieldsOf = [this](const std::string &id) {
            if (!leaving.contains(id))
                return std::string();
            said.try_emplace(id, clock.now());
            return std::string("Server-Leaving: 1\r\n");
        };
    }

    /// Requests that clients sent later than `time` after the server first said that it leaves.
    [[nodiscard]] std::size_t sentLater(const std::string &id, milliseconds time) const
    {
        const auto from = said.at(id) + time;
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals.at(id), [&](const arrival &each) {
                const auto sent = each.node.empty() ? each.at : each.clientSentAt;
                return sent > from;
            }));
    }
    /// That a server left in peace: it got nothing once the nodes knew.
    void checkLeft(const std::string &id) const
    {
        INFO("server " << id);
        REQUIRE(said.contains(id));
        CHECK(sentLater(id, DrainTime) == 0);
        CHECK(sentLater(id, NewsTime) == 0);
    }

    std::set<std::string> leaving; ///< servers that say so now
    std::map<std::string, steady_time> said; ///< when they first did
};

constexpr milliseconds LoadTime{3000};

/// Three plain servers behind four nodes, one of which alone gets requests until `i-1` has said
/// that it leaves.
struct told_by_one : leaving_world
{
    told_by_one()
        : leaving_world(plainRoute("unsafe"))
    {
        for (const auto *id : {"i-1", "i-2", "i-3"})
            addNoting("web", id);
        startNodes();
        store.failWith(503);
        leaving = {"i-1"};
        while (!said.contains("i-1")) {
            sendTo("g1", "/p/x");
            awaitAll();
        }
        runFor(NewsTime);
    }
};

/// One stage server and one engine behind four nodes, without a store; one of the two leaves, and
/// all nodes have had requests since.
struct one_of_each : leaving_world
{
    explicit one_of_each(const std::string &leaves)
        : leaving_world(streamRoute(true, OneStage), StageService + "," + EngineService)
    {
        addNoting("p", "p-1");
        addNoting("engine", "e-1");
        startNodes();
        store.failWith(503);
        leaving = {leaves};
        load("/s/x", milliseconds{1000}, "1");
        requests.clear();
    }
};

} // namespace

// Guards against requests for a server after its answers said that it leaves.
TEST_CASE("a server that says in its answers that it leaves gets no later request")
{
    SECTION("an engine")
    {
        leaving_world w(streamRoute(true), EngineService);
        for (const auto *id : {"e-1", "e-2", "e-3"})
            w.addNoting("engine", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"e-1"};
        w.load("/s/x", LoadTime);
        w.checkLeft("e-1");
        CHECK(w.answeredWith(200) == w.requests.size());
        CHECK(w.logged.str().find("event=server_said_leaving") != std::string::npos);
    }
    SECTION("a plain server")
    {
        leaving_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2", "i-3"})
            w.addNoting("web", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"i-1"};
        w.load("/p/x", LoadTime);
        w.checkLeft("i-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
    SECTION("a stage server, frees included")
    {
        leaving_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        for (const auto *id : {"p-1", "p-2"})
            w.addNoting("p", id);
        w.addNoting("engine", "e-1");
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"p-1"};
        w.load("/s/x", LoadTime, "1");
        w.checkLeft("p-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
    SECTION("a server that only refuses")
    {
        leaving_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2", "i-3"})
            w.addNoting("web", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"i-1"};
        w.refusing = {"i-1"};
        w.load("/p/x", LoadTime);
        w.checkLeft("i-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
}

// Guards against nodes that keep to themselves that a server leaves.
TEST_CASE("nodes that had no answer of a server that leaves hear it from the one that had")
{
    told_by_one w;
    w.idleNodes = {"g1"};
    w.load("/p/x", milliseconds{1500});
    w.checkLeft("i-1");
    CHECK(w.answeredWith(200) == w.requests.size());
    CHECK(w.logged.str().find("heard=peer") != std::string::npos);
}

// Guards against a node that starts later and reads a list that is behind.
TEST_CASE("a node that starts later hears which servers said that they leave")
{
    told_by_one w;
    w.store.failWith(0);
    w.startGateway("g5");
    w.runFor(milliseconds{600});
    for (int i = 0; i < 12; ++i)
        w.sendTo("g5", "/p/x");
    w.awaitAll();
    w.checkLeft("i-1");
    CHECK(w.answeredWith(200) == w.requests.size());
}

// Guards against published news that are older than an answer.
TEST_CASE("an entry that says ready doesn't undo what answers said")
{
    told_by_one w;
    w.store.failWith(0);
    w.announce(w.server("i-1"), "web");
    w.runFor(milliseconds{1500});
    w.load("/p/x", milliseconds{1000});
    w.checkLeft("i-1");
}

// Guards against what was said by an earlier start.
TEST_CASE("a server that starts again under its id doesn't leave")
{
    leaving_world w(plainRoute("unsafe"));
    w.addNoting("web", "i-1");
    w.announceStart(w.server("i-1"), "web", 1000);
    w.startNodes();
    w.leaving = {"i-1"};
    w.load("/p/x", milliseconds{300});
    w.leaving.clear();
    w.requests.clear();
    w.announceStart(w.server("i-1"), "web", 2000);
    w.runFor(milliseconds{1500});
    w.load("/p/x", milliseconds{500});
    CHECK(w.answeredWith(200) == w.requests.size());
}

// Guards against an address that takes along what its last server said.
TEST_CASE("another server at the address of one that left gets requests")
{
    leaving_world w(plainRoute("unsafe"));
    auto &first = w.addNoting("web", "i-1");
    w.startNodes();
    w.leaving = {"i-1"};
    w.load("/p/x", milliseconds{300});
    w.leaving.clear();
    w.requests.clear();
    w.store.remove("servers/i-1");
    w.store.put(
        "servers/i-9",
        R"({"service":"web","address":")" + toText(first.address())
            + R"(","zone":"z","version":"v1","slots":8,"phase":"ready","cold_remaining_ms":0,"sequence":1})");
    w.runFor(milliseconds{3500}); // removals are believed late after a store was silent
    w.load("/p/x", milliseconds{500});
    CHECK(w.answeredWith(200) == w.requests.size());
}

// Guards against work, and waiting, for requests that nobody will serve.
TEST_CASE("where all servers of a service leave, its requests are refused at once")
{
    SECTION("plain servers")
    {
        leaving_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2"})
            w.addNoting("web", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"i-1", "i-2"};
        w.load("/p/x", milliseconds{500});
        w.requests.clear();
        w.load("/p/x", milliseconds{500});
        CHECK(w.answeredWith(503) == w.requests.size());
        CHECK(w.refusedLate() == 0);
    }
    SECTION("engines: before the stages")
    {
        one_of_each w("e-1");
        const int piecesBefore = w.pieces;
        w.load("/s/x", milliseconds{500}, "1");
        CHECK(w.answeredWith(503) == w.requests.size());
        CHECK(w.refusedLate() == 0);
        CHECK(w.pieces == piecesBefore);
    }
    SECTION("stage servers")
    {
        one_of_each w("p-1");
        w.load("/s/x", milliseconds{500}, "1");
        CHECK(w.answeredWith(503) == w.requests.size());
        CHECK(w.refusedLate() == 0);
    }
}

// Guards against work that is lost with a server that leaves as it said.
TEST_CASE("streams and results at a server that leaves end, or go on elsewhere")
{
    SECTION("a stream that its server breaks off as it ends goes on at another one")
    {
        leaving_world w(streamRoute(true), EngineService);
        auto &first = w.addNoting("engine", "e-1");
        first.behave([&](const server_request &request, const auto &answer) {
            const auto head = streamHead(request);
            const auto firstLine = head.find("\r\n") + 2;
            answer->write(head.substr(0, firstLine) + "Server-Leaving: 1\r\n"
                          + head.substr(firstLine) + chunk(event(1)));
            w.loop.callAfter(milliseconds{300}, [answer] { answer->reset(); });
        });
        w.startNodes();
        w.sendTo("g1", "/s/x");
        REQUIRE(w.runUntil([&] { return first.requests().size() == 1; }));
        auto &second = w.addServer("engine", "e-2");
        second.behave([](const server_request &request, const auto &answer) {
            CHECK(http::findField(request.head.fields, "last-event-id") == "1");
            answer->write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
        });
        w.awaitAll();
        CHECK(w.requests.front().answer->body == event(1) + event(2));
        CHECK(w.requests.front().answer->end == http::call_end::Complete);
    }
    SECTION("results that a stage server made before are used")
    {
        leaving_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        w.addNoting("p", "p-1");
        w.addNoting("engine", "e-1");
        w.startNodes();
        w.leaving = {"p-1"};
        w.sendTo("g1", "/s/x", "1");
        w.awaitAll();
        CHECK(w.requests.front().answer->status == 200);
    }
}
