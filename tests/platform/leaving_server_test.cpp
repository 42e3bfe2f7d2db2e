// Guards against requests to a server that has announced in its responses that it is leaving. A
// model engine that had done so got requests that clients sent three seconds later, from a node
// that had forwarded such a response. The store was not responding, so the published entry still
// said that the engine was ready, and nodes did not read the announcement in responses.
#include "loaded_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// A request that a client sends later than this after the announcement must not reach the server.
constexpr milliseconds DrainTime{2000};
/// Time within which all nodes know what one of them has learned.
constexpr milliseconds PropagationTime{300};

/// A loaded fleet in which some servers announce that they are leaving.
struct leaving_world : loaded_fleet
{
    explicit leaving_world(const std::string &routes, const std::string &services = {})
        : loaded_fleet(routes, services)
    {
        fieldsOf = [this](const std::string &id) {
            if (!leaving.contains(id))
                return std::string();
            announcedAt.try_emplace(id, clock.now());
            return std::string("Server-Leaving: 1\r\n");
        };
    }

    /// Returns the number of requests that clients sent later than `time` after the server's first
    /// announcement.
    [[nodiscard]] std::size_t requestsSentAfter(const std::string &id, milliseconds time) const
    {
        const auto from = announcedAt.at(id) + time;
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals.at(id), [&](const arrival &each) {
                const auto sent = each.node.empty() ? each.at : each.clientSentAt;
                return sent > from;
            }));
    }
    /// Checks that a server got no request once the nodes knew that it is leaving.
    void checkNoLateRequests(const std::string &id) const
    {
        INFO("server " << id);
        REQUIRE(announcedAt.contains(id));
        CHECK(requestsSentAfter(id, DrainTime) == 0);
        CHECK(requestsSentAfter(id, PropagationTime) == 0);
    }

    std::set<std::string> leaving; ///< servers that announce so at present
    std::map<std::string, steady_time> announcedAt; ///< time of the first announcement
};

constexpr milliseconds LoadTime{3000};

/// Three plain servers behind four nodes. Only one node gets requests until `i-1` has announced
/// that it is leaving.
struct announced_to_one_node : leaving_world
{
    announced_to_one_node()
        : leaving_world(plainRoute("unsafe"))
    {
        for (const auto *id : {"i-1", "i-2", "i-3"})
            addRecordingServer("web", id);
        startNodes();
        store.failWith(503);
        leaving = {"i-1"};
        while (!announcedAt.contains("i-1")) {
            sendTo("g1", "/p/x");
            awaitAllRequests();
        }
        runFor(PropagationTime);
    }
};

/// One stage server and one engine behind four nodes, with the store unavailable. One of the two
/// servers is leaving, and all nodes have had requests since.
struct stage_and_engine : leaving_world
{
    explicit stage_and_engine(const std::string &isLeaving)
        : leaving_world(streamRoute(true, OneStage), StageService + "," + EngineService)
    {
        addRecordingServer("p", "p-1");
        addRecordingServer("engine", "e-1");
        startNodes();
        store.failWith(503);
        leaving = {isLeaving};
        load("/s/x", milliseconds{1000}, "1");
        requests.clear();
    }
};

} // namespace

// Guards against requests to a server after its responses announced that it is leaving.
TEST_CASE("a server that announces in responses that it is leaving gets no further request")
{
    SECTION("an engine")
    {
        leaving_world w(streamRoute(true), EngineService);
        for (const auto *id : {"e-1", "e-2", "e-3"})
            w.addRecordingServer("engine", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"e-1"};
        w.load("/s/x", LoadTime);
        w.checkNoLateRequests("e-1");
        CHECK(w.answeredWith(200) == w.requests.size());
        CHECK(w.logOutput.str().find("event=server_said_leaving") != std::string::npos);
    }
    SECTION("a plain server")
    {
        leaving_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2", "i-3"})
            w.addRecordingServer("web", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"i-1"};
        w.load("/p/x", LoadTime);
        w.checkNoLateRequests("i-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
    SECTION("a stage server, frees included")
    {
        leaving_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        for (const auto *id : {"p-1", "p-2"})
            w.addRecordingServer("p", id);
        w.addRecordingServer("engine", "e-1");
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"p-1"};
        w.load("/s/x", LoadTime, "1");
        w.checkNoLateRequests("p-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
    SECTION("a server that refuses all requests")
    {
        leaving_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2", "i-3"})
            w.addRecordingServer("web", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"i-1"};
        w.refusing = {"i-1"};
        w.load("/p/x", LoadTime);
        w.checkNoLateRequests("i-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
}

// Guards against nodes that don't announce to other nodes that a server is leaving.
TEST_CASE("a node that learns of a leaving server informs the other nodes")
{
    announced_to_one_node w;
    w.nodesWithoutRequests = {"g1"};
    w.load("/p/x", milliseconds{1500});
    w.checkNoLateRequests("i-1");
    CHECK(w.answeredWith(200) == w.requests.size());
    CHECK(w.logOutput.str().find("heard=peer") != std::string::npos);
}

// Guards against a node that starts later and reads a list that is out of date.
TEST_CASE("a node that starts later is informed of leaving servers")
{
    announced_to_one_node w;
    w.store.failWith(0);
    w.startGateway("g5");
    w.runFor(milliseconds{600});
    for (int i = 0; i < 12; ++i)
        w.sendTo("g5", "/p/x");
    w.awaitAllRequests();
    w.checkNoLateRequests("i-1");
    CHECK(w.answeredWith(200) == w.requests.size());
}

// Guards against a published record that is older than a response overriding the response.
TEST_CASE("a published ready entry does not override a leaving announcement")
{
    announced_to_one_node w;
    w.store.failWith(0);
    w.announce(w.server("i-1"), "web");
    w.runFor(milliseconds{1500});
    w.load("/p/x", milliseconds{1000});
    w.checkNoLateRequests("i-1");
}

// Guards against applying the announcement of an earlier start.
TEST_CASE("a restarted server with the same id is not leaving")
{
    leaving_world w(plainRoute("unsafe"));
    w.addRecordingServer("web", "i-1");
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

// Guards against applying the announcement of a server to the next server at its address.
TEST_CASE("a new server at the address of one that left gets requests")
{
    leaving_world w(plainRoute("unsafe"));
    auto &first = w.addRecordingServer("web", "i-1");
    w.startNodes();
    w.leaving = {"i-1"};
    w.load("/p/x", milliseconds{300});
    w.leaving.clear();
    w.requests.clear();
    w.store.remove("servers/i-1");
    first.setId("i-9");
    w.store.put(
        "servers/i-9",
        R"({"service":"web","address":")" + toText(first.address())
            + R"(","zone":"z","version":"v1","slots":8,"phase":"ready","cold_remaining_ms":0,"sequence":1})");
    w.runFor(milliseconds{3500}); // removals are applied late after a store outage
    w.load("/p/x", milliseconds{500});
    CHECK(w.answeredWith(200) == w.requests.size());
}

// Guards against spending work and time on requests that no server will take.
TEST_CASE("requests are refused at once if all servers of the service are leaving")
{
    SECTION("plain servers")
    {
        leaving_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2"})
            w.addRecordingServer("web", id);
        w.startNodes();
        w.store.failWith(503);
        w.leaving = {"i-1", "i-2"};
        w.load("/p/x", milliseconds{500});
        w.requests.clear();
        w.load("/p/x", milliseconds{500});
        CHECK(w.answeredWith(503) == w.requests.size());
        CHECK(w.lateRefusals() == 0);
    }
    SECTION("engines: before the stages")
    {
        stage_and_engine w("e-1");
        const int piecesBefore = w.pieces;
        w.load("/s/x", milliseconds{500}, "1");
        CHECK(w.answeredWith(503) == w.requests.size());
        CHECK(w.lateRefusals() == 0);
        CHECK(w.pieces == piecesBefore);
    }
    SECTION("stage servers")
    {
        stage_and_engine w("p-1");
        w.load("/s/x", milliseconds{500}, "1");
        CHECK(w.answeredWith(503) == w.requests.size());
        CHECK(w.lateRefusals() == 0);
    }
}

// Guards against work that is lost when a leaving server shuts down.
TEST_CASE("streams and results at a leaving server are completed or moved to another server")
{
    SECTION("a stream that is reset by a leaving server continues at another one")
    {
        leaving_world w(streamRoute(true), EngineService);
        auto &first = w.addRecordingServer("engine", "e-1");
        first.setBehaviour([&](const server_request &request, const auto &answer) {
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
        second.setBehaviour([](const server_request &request, const auto &answer) {
            CHECK(http::findField(request.head.fields, "last-event-id") == "1");
            answer->write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
        });
        w.awaitAllRequests();
        CHECK(w.requests.front().answer->body == event(1) + event(2));
        CHECK(w.requests.front().answer->end == http::call_end::Complete);
    }
    SECTION("results of a leaving stage server are used")
    {
        leaving_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        w.addRecordingServer("p", "p-1");
        w.addRecordingServer("engine", "e-1");
        w.startNodes();
        w.leaving = {"p-1"};
        w.sendTo("g1", "/s/x", "1");
        w.awaitAllRequests();
        CHECK(w.requests.front().answer->status == 200);
    }
}
