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
