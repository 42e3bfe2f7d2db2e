// What was seen: a model engine that had named a limit of one request a second in its answers got
// twelve in four seconds, from nodes that had passed such an answer on.
// How it came about: the engine went on to get its usual part of the load, two to three requests a
// second, from all nodes; nothing about it was on any node's record.
// What caused it: nodes read no limit in answers. Had each kept to it by itself, eight nodes would
// have sent eight times of it: it is a sum over nodes that don't see each other's requests.
// What proved it: a line for each limit that a node hears. Every node logged it within a second in
// these tests, and the rate at the server stayed what it was, without a stop of any node.
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

/// What a limited server must not get more of than its limit allows, from all nodes together.
constexpr std::chrono::seconds Window{4};
constexpr double Overshoot = 1.5;
constexpr double Allowance = 5.0;
/// From so long after a server first named its limit.
constexpr milliseconds ContactTime{3000};

/// Four nodes before servers that may name a limit.
struct limited_world : loaded_fleet
{
    explicit limited_world(const std::string &routes, const std::string &services = {})
        : loaded_fleet(routes, services)
    {
        fieldsOf = [this](const std::string &id) { return limitField(id); };
    }

    /// The limit that the server names now, if it names one.
    std::string limitField(const std::string &id)
    {
        const auto limit = limits.find(id);
        if (limit == limits.end())
            return {};
        named.try_emplace(id, clock.now());
        std::ostringstream field;
        field << "Server-Limit: " << limit->second << "\r\n";
        return field.str();
    }

    /// The most that a server got within the window, since its nodes had to know its limit.
    [[nodiscard]] std::size_t mostWithin(const std::string &id) const
    {
        const auto &all = arrivals.at(id);
        const auto from = named.at(id) + ContactTime;
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
    /// That a server got most of what it takes since its nodes know its limit, all the time.
    void checkUsed(const std::string &id) const
    {
        const auto from = named.at(id) + ContactTime;
        const std::chrono::duration<double> time = arrivals.at(id).back().at - from;
        const double taken = limits.at(id) * time.count();
        INFO("server " << id << " takes " << taken << " in " << time.count() << " s");
        CHECK(static_cast<double>(arrivalsSince(id, from)) >= 0.7 * taken - 1.0);
    }
    void checkKept(const std::string &id) const
    {
        const double allowed = Overshoot * limits.at(id) * Window.count() + Allowance;
        INFO("server " << id << ", limit " << limits.at(id) << " a second");
        REQUIRE(named.contains(id));
        CHECK(static_cast<double>(mostWithin(id)) <= allowed);
    }

    std::map<std::string, double> limits; ///< that servers name now
    std::map<std::string, steady_time> named; ///< when they first did
};

/// Long enough for a window after the time in which nodes must come to know.
constexpr milliseconds LoadTime{9000};

} // namespace

TEST_CASE("an engine that names a limit gets no more from all nodes together")
{
    limited_world w(streamRoute(true), EngineService);
    for (const auto *id : {"e-1", "e-2", "e-3"})
        w.addNoting("engine", id);
    w.limits["e-1"] = 1.0;
    w.startNodes();
    w.load("/s/x", LoadTime);
    w.checkKept("e-1");
    w.checkUsed("e-1");
    CHECK(w.logged.str().find("server=e-1 service=engine per_second=1 before=none")
          != std::string::npos);
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("a server of a plain service that names a limit gets no more from all nodes together")
{
    limited_world w(plainRoute("unsafe"));
    for (const auto *id : {"i-1", "i-2", "i-3"})
        w.addNoting("web", id);
    w.limits["i-1"] = 1.0;
    w.startNodes();
    w.load("/p/x", LoadTime);
    w.checkKept("i-1");
    w.checkUsed("i-1");
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("a stage server that names a limit gets no more calls and frees together")
{
    limited_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
    for (const auto *id : {"p-1", "p-2"})
        w.addNoting("p", id);
    w.addNoting("engine", "e-1");
    w.limits["p-1"] = 1.0;
    w.startNodes();
    w.load("/s/x", LoadTime, "1");
    w.checkKept("p-1");
    w.checkUsed("p-1");
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("what limits of engines leave no room for is refused before its stages")
{
    limited_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
    w.addNoting("p", "p-1");
    for (const auto *id : {"e-1", "e-2"}) {
        w.addNoting("engine", id);
        w.limits[id] = 3.0;
    }
    w.startNodes();
    w.load("/s/x", milliseconds{3000}, "1");
    w.requests.clear();
    const int piecesBefore = w.pieces;
    const auto begin = w.clock.now();
    w.load("/s/x", LoadTime, "1");
    for (const auto *id : {"e-1", "e-2"})
        w.checkKept(id);
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
    CHECK(w.refusedLate() * 20 <= w.requests.size());
}

TEST_CASE("what limits of plain servers leave no room for is refused at once")
{
    limited_world w(plainRoute("unsafe"));
    for (const auto *id : {"i-1", "i-2"}) {
        w.addNoting("web", id);
        w.limits[id] = 4.0;
    }
    w.startNodes();
    w.load("/p/x", milliseconds{3000});
    w.requests.clear();
    const auto begin = w.clock.now();
    w.load("/p/x", LoadTime);
    for (const auto *id : {"i-1", "i-2"})
        w.checkKept(id);
    const std::chrono::duration<double> time = w.clock.now() - begin;
    const auto served = w.answeredWith(200);
    INFO("served " << served << " of " << w.requests.size() << " in " << time.count() << " s");
    CHECK(static_cast<double>(served) >= 0.8 * 8.0 * time.count());
    CHECK(w.answeredWith(200) + w.answeredWith(503) == w.requests.size());
    CHECK(w.refusedLate() * 20 <= w.requests.size());
}

TEST_CASE("what limits of stage servers leave no room for is refused at once")
{
    limited_world w(streamRoute(true, OneStage), StageService + "," + EngineService);
    for (const auto *id : {"p-1", "p-2"}) {
        w.addNoting("p", id);
        w.limits[id] = 3.0;
    }
    w.addNoting("engine", "e-1");
    w.startNodes();
    w.load("/s/x", milliseconds{3000}, "4"); // a whole call each
    w.requests.clear();
    const auto begin = w.clock.now();
    w.load("/s/x", LoadTime, "4");
    for (const auto *id : {"p-1", "p-2"})
        w.checkKept(id);
    const std::chrono::duration<double> time = w.clock.now() - begin;
    const auto served = w.answeredWith(200);
    INFO("served " << served << " of " << w.requests.size() << " in " << time.count() << " s");
    // Frees take part of what the servers bear.
    CHECK(static_cast<double>(served) >= 0.4 * 6.0 * time.count());
    CHECK(w.answeredWith(200) + w.answeredWith(503) == w.requests.size());
    CHECK(w.refusedLate() * 5 <= w.requests.size());
}

TEST_CASE("a server that names no limit any more gets its full share at once")
{
    limited_world w(streamRoute(true) + "," + plainRoute("safe"), EngineService);
    w.addNoting("engine", "e-1");
    w.addNoting("web", "i-1");
    w.limits["e-1"] = 4.0;
    w.limits["i-1"] = 4.0;
    w.startNodes();
    w.load("/s/x", milliseconds{2000});
    w.load("/p/x", milliseconds{2000});
    w.limits.clear();
    w.load("/s/x", milliseconds{600}); // some answer tells that it is over
    w.load("/p/x", milliseconds{600});
    w.requests.clear();
    w.load("/s/x", milliseconds{1000});
    w.load("/p/x", milliseconds{1000});
    CHECK(w.answeredWith(200) == w.requests.size());
}

TEST_CASE("a limit is kept while nodes that place requests stop and start")
{
    limited_world w(streamRoute(true) + "," + plainRoute("safe"), EngineService);
    for (const auto *id : {"e-1", "e-2", "e-3"})
        w.addNoting("engine", id);
    for (const auto *id : {"i-1", "i-2", "i-3"})
        w.addNoting("web", id);
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
    w.checkKept("e-1");
    w.checkKept("i-1");
}
