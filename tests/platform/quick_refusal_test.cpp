// Guards against servers that refuse at once attracting most of the load. Five such engines
// received 297 requests in eight seconds, 13 working engines received 178, and two in five requests
// for engines were refused. A refusing server has no work and looks the least loaded to all nodes.
// A refusal excluded it for only 60 ms, only on the node that received the refusal and regardless
// of earlier refusals, and the retry budget was used up on it. In these tests one of several
// servers refuses at once.
#include "loaded_fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

TEST_CASE("a server that refuses at once does not attract the load of working servers")
{
    constexpr milliseconds LoadTime{5000};
    SECTION("plain servers")
    {
        loaded_fleet w(plainRoute("unsafe"));
        for (const auto *id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"})
            w.addRecordingServer("web", id);
        w.startNodes();
        w.refusing = {"i-1"};
        w.load("/p/x", LoadTime);
        INFO("the refusing server got " << w.arrivals["i-1"].size() << " of " << w.requests.size());
        CHECK(w.answeredWith(200) == w.requests.size());
        CHECK(w.arrivals["i-1"].size() * 6 <= w.requests.size());
    }
    SECTION("engines")
    {
        loaded_fleet w(streamRoute(true), EngineService);
        for (const auto *id : {"e-1", "e-2", "e-3"})
            w.addRecordingServer("engine", id);
        w.startNodes();
        w.refusing = {"e-1"};
        w.load("/s/x", LoadTime);
        INFO("the refusing server got " << w.arrivals["e-1"].size() << " of " << w.requests.size());
        CHECK(w.answeredWith(200) == w.requests.size());
        CHECK(w.arrivals["e-1"].size() * 3 <= w.requests.size());
    }
    SECTION("stage servers")
    {
        loaded_fleet w(streamRoute(true, OneStage), StageService + "," + EngineService);
        for (const auto *id : {"p-1", "p-2", "p-3"})
            w.addRecordingServer("p", id);
        w.addRecordingServer("engine", "e-1");
        w.startNodes();
        w.refusing = {"p-1"};
        w.load("/s/x", LoadTime, "1");
        INFO("the refusing server got " << w.arrivals["p-1"].size() << " of " << w.requests.size());
        CHECK(w.answeredWith(200) == w.requests.size());
        CHECK(w.arrivals["p-1"].size() * 3 <= w.requests.size());
    }
}
