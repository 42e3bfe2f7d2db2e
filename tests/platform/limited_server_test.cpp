// Guards against servers that get more requests than the rate limit that they announce in their
// responses. A model engine that announced a limit of one request per second got twelve in four
// seconds, from nodes that had forwarded such a response: nodes did not read the limit, and all of
// them went on sending the engine its usual two to three requests per second. A limit kept by each
// node separately isn't enough: it covers the requests of all nodes, so eight nodes would send
// eight times the limit.
#include "loaded_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Within any such window, a limited server may get `RateTolerance` times its limit plus
/// `RequestAllowance` requests from all nodes together.
constexpr std::chrono::seconds Window{4};
constexpr double RateTolerance = 1.5;
constexpr double RequestAllowance = 5.0;
/// Time after a server first announced its limit from which on nodes must keep to it.
constexpr milliseconds DetectionTime{3000};

/// Four nodes and servers that may announce a rate limit.
struct limited_world : loaded_fleet
{
    explicit limited_world(const std::string &routes, const std::string &services = {})
        : loaded_fleet(routes, services)
    {
        fieldsOf = [this](const std::string &id) { return limitField(id); };
    }

    /// Returns the header field for the limit that the server announces at present, or nothing.
    std::string limitField(const std::string &id)
    {
        const auto limit = limits.find(id);
        if (limit == limits.end())
            return {};
        firstAnnounced.try_emplace(id, clock.now());
        std::ostringstream field;
        field << "Server-Limit: " << limit->second << "\r\n";
        return field.str();
    }

    /// Returns the largest number of requests that a server got within a window, from the time when
    /// nodes had to know its limit.
    [[nodiscard]] std::size_t maxInWindow(const std::string &id) const
    {
        const auto &all = arrivals.at(id);
        const auto from = firstAnnounced.at(id) + DetectionTime;
        std::size_t most = 0;
        for (const auto &first : all) {
            if (first.at < from)
                continue;
            const auto in = std::ranges::count_if(all, [&](const arrival &each) {
                return each.at >= first.at && each.at < first.at + Window;
            });
            most = std::max(most, static_cast<std::size_t>(in));
        }
        return most;
    }
    /// Checks that a server got most of the requests that it takes, from the time when nodes had to
    /// know its limit.
    void checkUtilization(const std::string &id) const
    {
        const auto from = firstAnnounced.at(id) + DetectionTime;
        const std::chrono::duration<double> time = arrivals.at(id).back().at - from;
        const double taken = limits.at(id) * time.count();
        INFO("server " << id << " takes " << taken << " in " << time.count() << " s");
        CHECK(static_cast<double>(arrivalsSince(id, from)) >= 0.7 * taken - 1.0);
    }
    void checkLimitKept(const std::string &id) const
    {
        const double allowed = RateTolerance * limits.at(id) * Window.count() + RequestAllowance;
        INFO("server " << id << ", limit " << limits.at(id) << " a second");
        REQUIRE(firstAnnounced.contains(id));
        CHECK(static_cast<double>(maxInWindow(id)) <= allowed);
    }

    std::map<std::string, double> limits; ///< limits announced at present
    std::map<std::string, steady_time> firstAnnounced; ///< time of the first announcement
};

/// Long enough for a window after the time in which nodes have to learn the limit.
constexpr milliseconds LoadTime{9000};

} // namespace

TEST_CASE("the rate limit of an engine holds for all nodes together")
{
    limited_world w(streamRoute(true), EngineService);
    for (const auto *id : {"e-1", "e-2", "e-3"})
        w.addRecordingServer("engine", id);
    w.limits["e-1"] = 1.0;
    w.startNodes();
    w.load("/s/x", LoadTime);
    w.checkLimitKept("e-1");
    w.checkUtilization("e-1");
    CHECK(w.logOutput.str().find("server=e-1 service=engine per_second=1 before=none")
          != std::string::npos);
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("the rate limit of a plain server holds for all nodes together")
{
    limited_world w(plainRoute("unsafe"));
    for (const auto *id : {"i-1", "i-2", "i-3"})
        w.addRecordingServer("web", id);
    w.limits["i-1"] = 1.0;
    w.startNodes();
    w.load("/p/x", LoadTime);
    w.checkLimitKept("i-1");
    w.checkUtilization("i-1");
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("the rate limit of a stage server holds for calls and frees together")
{
    limited_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
    for (const auto *id : {"p-1", "p-2"})
        w.addRecordingServer("p", id);
    w.addRecordingServer("engine", "e-1");
    w.limits["p-1"] = 1.0;
    w.startNodes();
    w.load("/s/x", LoadTime, "1");
    w.checkLimitKept("p-1");
    w.checkUtilization("p-1");
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("requests beyond the rate limits of engines are refused before their stages")
{
    limited_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
    w.addRecordingServer("p", "p-1");
    for (const auto *id : {"e-1", "e-2"}) {
        w.addRecordingServer("engine", id);
        w.limits[id] = 3.0;
    }
    w.startNodes();
    w.load("/s/x", milliseconds{3000}, "1");
    w.requests.clear();
    const int piecesBefore = w.pieces;
    const auto begin = w.clock.now();
    w.load("/s/x", LoadTime, "1");
    for (const auto *id : {"e-1", "e-2"})
        w.checkLimitKept(id);
    const std::chrono::duration<double> time = w.clock.now() - begin;
    const auto served = w.answeredWith(200);
    INFO("served " << served << " of " << w.requests.size() << " in " << time.count() << " s");
    CHECK(static_cast<double>(served) >= 0.8 * 6.0 * time.count());
    CHECK(w.answeredWith(200) + w.answeredWith(503) == w.requests.size());
    CHECK(w.pieces - piecesBefore <= static_cast<int>(served) * 11 / 10 + 5);
    for (const auto &each : w.requests) {
        if (each.answer->status == 503)
            CHECK(std::stod(each.answer->field("retry-after")) > 0.0);
    }
    CHECK(w.lateRefusals() * 20 <= w.requests.size());
}

TEST_CASE("requests beyond the rate limits of plain servers are refused at once")
{
    limited_world w(plainRoute("unsafe"));
    for (const auto *id : {"i-1", "i-2"}) {
        w.addRecordingServer("web", id);
        w.limits[id] = 4.0;
    }
    w.startNodes();
    w.load("/p/x", milliseconds{3000});
    w.requests.clear();
    const auto begin = w.clock.now();
    w.load("/p/x", LoadTime);
    for (const auto *id : {"i-1", "i-2"})
        w.checkLimitKept(id);
    const std::chrono::duration<double> time = w.clock.now() - begin;
    const auto served = w.answeredWith(200);
    INFO("served " << served << " of " << w.requests.size() << " in " << time.count() << " s");
    CHECK(static_cast<double>(served) >= 0.8 * 8.0 * time.count());
    CHECK(w.answeredWith(200) + w.answeredWith(503) == w.requests.size());
    CHECK(w.lateRefusals() * 20 <= w.requests.size());
}

TEST_CASE("requests beyond the rate limits of stage servers are refused at once")
{
    limited_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
    for (const auto *id : {"p-1", "p-2"}) {
        w.addRecordingServer("p", id);
        w.limits[id] = 3.0;
    }
    w.addRecordingServer("engine", "e-1");
    w.startNodes();
    w.load("/s/x", milliseconds{3000}, "4"); // four pieces are a whole stage call
    w.requests.clear();
    const auto begin = w.clock.now();
    w.load("/s/x", LoadTime, "4");
    for (const auto *id : {"p-1", "p-2"})
        w.checkLimitKept(id);
    const std::chrono::duration<double> time = w.clock.now() - begin;
    const auto served = w.answeredWith(200);
    INFO("served " << served << " of " << w.requests.size() << " in " << time.count() << " s");
    // Calls that free results take part of the servers' limit.
    CHECK(static_cast<double>(served) >= 0.4 * 6.0 * time.count());
    CHECK(w.answeredWith(200) + w.answeredWith(503) == w.requests.size());
    CHECK(w.lateRefusals() * 5 <= w.requests.size());
}

TEST_CASE("a server that withdraws its rate limit gets its full load at once")
{
    limited_world w(streamRoute(true) + "," + plainRoute("safe"), EngineService);
    w.addRecordingServer("engine", "e-1");
    w.addRecordingServer("web", "i-1");
    w.limits["e-1"] = 4.0;
    w.limits["i-1"] = 4.0;
    w.startNodes();
    w.load("/s/x", milliseconds{2000});
    w.load("/p/x", milliseconds{2000});
    w.limits.clear();
    w.load("/s/x", milliseconds{600}); // a response shows that the limit has ended
    w.load("/p/x", milliseconds{600});
    w.requests.clear();
    w.load("/s/x", milliseconds{1000});
    w.load("/p/x", milliseconds{1000});
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("rate limits hold while nodes that place requests stop")
{
    limited_world w(streamRoute(true) + "," + plainRoute("safe"), EngineService);
    for (const auto *id : {"e-1", "e-2", "e-3"})
        w.addRecordingServer("engine", id);
    for (const auto *id : {"i-1", "i-2", "i-3"})
        w.addRecordingServer("web", id);
    w.limits["e-1"] = 1.0;
    w.limits["i-1"] = 1.0;
    w.startNodes();
    w.load("/s/x", milliseconds{2000});
    w.load("/p/x", milliseconds{2000});
    for (const auto *stopped : {"g1", "g2"}) {
        w.stopGateway(stopped);
        w.load("/s/x", milliseconds{1200});
        w.load("/p/x", milliseconds{1200});
    }
    w.checkLimitKept("e-1");
    w.checkLimitKept("i-1");
}
