// Guards against requests to a server that has refused a request of the node and requested a
// backoff. Within a backoff of three seconds, seven more requests of the node reached a model
// engine; at most two are allowed. Five of 18 engines refused at once. They had no streams, so the
// node that places requests rated them as the cheapest, and each request tried two of them within
// milliseconds. Nodes did not read the backoff in refusals: a refusal kept requests from a server
// for only 60 ms, and only at the node that got the refusal.
#include "loaded_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// From this time after a server requested a backoff, at most `MaxInFlight` requests of the node
/// may arrive.
constexpr milliseconds NoticeTime{500};
constexpr std::size_t MaxInFlight = 2;

/// A loaded fleet in which some servers refuse requests and request a backoff.
struct backoff_world : loaded_fleet
{
    explicit backoff_world(const std::string &routes, const std::string &services = {})
        : loaded_fleet(routes, services)
    {
        fieldsOf = [this](const std::string &id) {
            if (!refusing.contains(id))
                return std::string();
            const auto &last = arrivals.at(id).back();
            announcements[id].push_back({last.node, clock.now()});
            return "Retry-After: " + seconds + "\r\n";
        };
    }

    struct backoff_announcement
    {
        std::string node;
        steady_time at;
    };

    [[nodiscard]] milliseconds backoffTime() const
    {
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double>(std::stod(seconds)));
    }
    /// Returns the largest number of requests of one node that a server got between `NoticeTime`
    /// after a backoff request to this node and the end of that backoff.
    [[nodiscard]] std::size_t maxDuringBackoff(const std::string &id) const
    {
        std::size_t most = 0;
        for (const auto &each : announcements.at(id)) {
            const auto in = std::ranges::count_if(arrivals.at(id), [&](const arrival &arrived) {
                return arrived.node == each.node && arrived.at >= each.at + NoticeTime
                    && arrived.at < each.at + backoffTime();
            });
            most = std::max(most, static_cast<std::size_t>(in));
        }
        return most;
    }
    void checkBackoffRespected(const std::string &id) const
    {
        INFO("server " << id << " asks for " << seconds << " s");
        REQUIRE(announcements.contains(id));
        CHECK(maxDuringBackoff(id) <= MaxInFlight);
    }

    std::string seconds = "2";
    std::map<std::string, std::vector<backoff_announcement>> announcements; ///< by server
};

constexpr milliseconds LoadTime{3500};
/// Nodes extend a backoff by at most a quarter of its length.
constexpr double MaxBackoffFactor = 1.25;

} // namespace

// Guards against requests to a server during the backoff that it requested from the node.
TEST_CASE("a server that requests a backoff from a node gets no request from it meanwhile")
{
    SECTION("an engine")
    {
        backoff_world w(streamRoute(true), EngineService);
        for (const auto *id : {"e-1", "e-2", "e-3"})
            w.addRecordingServer("engine", id);
        w.startNodes();
        w.refusing = {"e-1"};
        w.load("/s/x", LoadTime);
        w.checkBackoffRespected("e-1");
        CHECK(w.answeredWith(200) == w.requests.size());
        CHECK(w.logOutput.str().find("event=server_asked_for_time") != std::string::npos);
    }
    SECTION("a plain server, with a fraction of a second")
    {
        backoff_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2", "i-3"})
            w.addRecordingServer("web", id);
        w.startNodes();
        w.seconds = "1.7";
        w.refusing = {"i-1"};
        w.load("/p/x", LoadTime);
        w.checkBackoffRespected("i-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
    SECTION("a stage server, calls and frees together")
    {
        backoff_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        for (const auto *id : {"p-1", "p-2"})
            w.addRecordingServer("p", id);
        w.addRecordingServer("engine", "e-1");
        w.startNodes();
        w.load("/s/x", milliseconds{300}, "1");
        w.refusing = {"p-1"};
        w.load("/s/x", LoadTime, "1");
        w.checkBackoffRespected("p-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
}

// Guards against requests that wait although no server takes them, and against clients that retry
// too early.
TEST_CASE("requests are refused at once with a retry time if all servers requested a backoff")
{
    const auto checkRefused = [](backoff_world &w) {
        for (const auto &each : w.requests) {
            CHECK(each.answer->status == 503);
            const auto comeBack = std::stod(each.answer->field("retry-after"));
            CHECK(comeBack > 0.0);
            CHECK(comeBack <= MaxBackoffFactor * std::stod(w.seconds));
        }
        CHECK(w.lateRefusals() == 0);
    };
    SECTION("plain servers")
    {
        backoff_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2"})
            w.addRecordingServer("web", id);
        w.startNodes();
        w.refusing = {"i-1", "i-2"};
        w.load("/p/x", milliseconds{400});
        w.requests.clear();
        w.load("/p/x", milliseconds{1000});
        checkRefused(w);
        for (const auto *id : {"i-1", "i-2"})
            w.checkBackoffRespected(id);
    }
    SECTION("engines: before the stages")
    {
        backoff_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        w.addRecordingServer("p", "p-1");
        for (const auto *id : {"e-1", "e-2"})
            w.addRecordingServer("engine", id);
        w.startNodes();
        w.refusing = {"e-1", "e-2"};
        w.load("/s/x", milliseconds{800}, "1");
        w.requests.clear();
        const int piecesBefore = w.pieces;
        w.load("/s/x", milliseconds{800}, "1");
        checkRefused(w);
        CHECK(w.pieces == piecesBefore);
        for (const auto *id : {"e-1", "e-2"})
            w.checkBackoffRespected(id);
    }
    SECTION("stage servers")
    {
        backoff_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        for (const auto *id : {"p-1", "p-2"})
            w.addRecordingServer("p", id);
        w.addRecordingServer("engine", "e-1");
        w.startNodes();
        w.refusing = {"p-1", "p-2"};
        w.load("/s/x", milliseconds{600}, "1");
        w.requests.clear();
        w.load("/s/x", milliseconds{1000}, "1");
        checkRefused(w);
        for (const auto *id : {"p-1", "p-2"})
            w.checkBackoffRespected(id);
    }
}

// Guards against a burst when the backoffs of many nodes end together.
TEST_CASE("after a backoff a server gets one request per node until it accepts one")
{
    backoff_world w(plainRoute("unsafe"));
    w.addRecordingServer("web", "i-1");
    w.startNodes();
    w.seconds = "1";
    w.refusing = {"i-1"};
    w.load("/p/x", milliseconds{400});
    const auto loadEndedAt = w.clock.now();
    w.runFor(milliseconds{1300}); // the backoff is over for all nodes
    for (int i = 0; i < 40; ++i)
        w.send("/p/x");
    w.awaitAllRequests();
    CHECK(w.arrivalsSince("i-1", loadEndedAt) <= FleetNodes.size());
}

// Guards against requests whose server was chosen before it requested a backoff, and that are sent
// afterwards.
TEST_CASE("a request that waits for a server which requests a backoff meanwhile goes elsewhere")
{
    backoff_world w(plainRoute("unsafe"));
    for (const auto *id : {"i-1", "i-2"})
        w.addRecordingServer("web", id);
    const auto refuse = w.fieldsOf;
    w.fieldsOf = [&](const std::string &id) {
        return refuse(id) + (id == "i-1" ? "Server-Limit: 2\r\n" : "Server-Limit: 10\r\n");
    };
    w.startNodes();
    w.load("/p/x", milliseconds{1500});
    w.refusing = {"i-1"};
    w.load("/p/x", LoadTime);
    w.checkBackoffRespected("i-1");
}

// Guards against applying a backoff that an earlier start of the server requested.
TEST_CASE("a restarted server with the same id has no backoff")
{
    backoff_world w(plainRoute("unsafe"));
    w.addRecordingServer("web", "i-1");
    w.announceStart(w.server("i-1"), "web", 1000);
    w.startNodes();
    w.seconds = "60";
    w.refusing = {"i-1"};
    w.load("/p/x", milliseconds{300});
    w.refusing.clear();
    w.requests.clear();
    w.announceStart(w.server("i-1"), "web", 2000);
    w.runFor(milliseconds{1500});
    w.load("/p/x", milliseconds{500});
    CHECK(w.answeredWith(200) == w.requests.size());
}
