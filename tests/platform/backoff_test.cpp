// What was seen: a model engine refused a request and asked the node for three seconds. Seven more
// requests of that node reached it in that time; two are the bound.
// How it came about: five of 18 engines refused at once. They had no streams, so the node that
// places requests found them the cheapest, and each request tried two of them within milliseconds.
// What caused it: nodes read no time in refusals, and a refusal kept a server back for 60 ms
// whatever it said, at the node that got it alone.
// What proved it: a line for each time that a node is asked for. Nodes logged it with the first
// refusal in these tests, and the requests went there as before.
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

/// From so long after a server has asked a node for time, only so many of its requests may arrive.
constexpr milliseconds Notice{500};
constexpr std::size_t MostUnderWay = 2;

/// A loaded fleet some of whose servers refuse and ask for time.
struct backoff_world : loaded_fleet
{
    explicit backoff_world(const std::string &routes, const std::string &services = {})
        : loaded_fleet(routes, services)
    {
        fieldsOf = [this](const std::string &id) {
            if (!refusing.contains(id))
                return std::string();
            const auto &last = arrivals.at(id).back();
            told[id].push_back({last.node, clock.now()});
            return "Retry-After: " + seconds + "\r\n";
        };
    }

    struct told_time
    {
        std::string node;
        steady_time at;
    };

    [[nodiscard]] milliseconds askedTime() const
    {
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double>(std::stod(seconds)));
    }
    /// The most requests of one node that a server got between the notice and the end of a time
    /// that it had asked that node for.
    [[nodiscard]] std::size_t mostWithin(const std::string &id) const
    {
        std::size_t most = 0;
        for (const auto &each : told.at(id)) {
            const auto in = std::ranges::count_if(arrivals.at(id), [&](const arrival &arrived) {
                return arrived.node == each.node && arrived.at >= each.at + Notice
                    && arrived.at < each.at + askedTime();
            });
            most = std::max(most, static_cast<std::size_t>(in));
        }
        return most;
    }
    void checkLeftAlone(const std::string &id) const
    {
        INFO("server " << id << " asks for " << seconds << " s");
        REQUIRE(told.contains(id));
        CHECK(mostWithin(id) <= MostUnderWay);
    }

    std::string seconds = "2";
    std::map<std::string, std::vector<told_time>> told; ///< by server
};

constexpr milliseconds LoadTime{3500};

} // namespace

// Guards against requests for a server in the time that it asked the node for.
TEST_CASE("a server that refuses and asks a node for time is left alone by it")
{
    SECTION("an engine")
    {
        backoff_world w(streamRoute(true), EngineService);
        for (const auto *id : {"e-1", "e-2", "e-3"})
            w.addNoting("engine", id);
        w.startNodes();
        w.refusing = {"e-1"};
        w.load("/s/x", LoadTime);
        w.checkLeftAlone("e-1");
        CHECK(w.answeredWith(200) == w.requests.size());
        CHECK(w.logged.str().find("event=server_asked_for_time") != std::string::npos);
    }
    SECTION("a plain server, and a time with a fraction")
    {
        backoff_world w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2", "i-3"})
            w.addNoting("web", id);
        w.startNodes();
        w.seconds = "1.7";
        w.refusing = {"i-1"};
        w.load("/p/x", LoadTime);
        w.checkLeftAlone("i-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
    SECTION("a stage server, calls and frees together")
    {
        backoff_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
        for (const auto *id : {"p-1", "p-2"})
            w.addNoting("p", id);
        w.addNoting("engine", "e-1");
        w.startNodes();
        w.load("/s/x", milliseconds{300}, "1");
        w.refusing = {"p-1"};
        w.load("/s/x", LoadTime, "1");
        w.checkLeftAlone("p-1");
        CHECK(w.answeredWith(200) == w.requests.size());
    }
}
