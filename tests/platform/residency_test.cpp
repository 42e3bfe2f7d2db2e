#include "platform_world.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr milliseconds AtOnce{250};

/// `route` with regions where its requests may be worked on.
std::string boundTo(std::string route, const std::string &regions)
{
    route.insert(route.size() - 1, R"(,"allowed_regions":)" + regions);
    return route;
}

std::string customerBoundTo(const std::string &regions)
{
    return R"(,"allowed_regions":)" + regions;
}

/// Two regions with a data centre each, a server of a plain service in each, a node in the first.
struct plain_regions : world
{
    plain_regions()
    {
        regions = {{data_center_id("z"), region_id("north")},
                   {data_center_id("y"), region_id("south")}};
    }
    void start(const std::string &route, const std::string &customerFields = {})
    {
        publish(1, route, {}, customerFields);
        startGateway("g1");
    }
    /// Sends some requests; gives the status of the last.
    int ask(int times = 10)
    {
        int status = 0;
        for (int i = 0; i < times; ++i) {
            const auto answer =
                request("g1", makeRequest("GET", "/p/x", "a" + std::to_string(++m_asked)));
            CHECK(await(answer));
            status = answer->status;
        }
        return status;
    }

    fake_server &north = addServer("web", "i-1", "z");
    fake_server &south = addServer("web", "i-2", "y");

private:
    int m_asked = 0;
};

} // namespace

TEST_CASE("a request that isn't bound stays in the region of its node")
{
    plain_regions w;
    w.start(plainRoute("safe"));
    CHECK(w.ask() == 200);
    CHECK(w.south.requests().empty());
}

TEST_CASE("a request whose route is bound to a region goes to no server elsewhere")
{
    plain_regions w;
    w.start(boundTo(plainRoute("safe"), R"(["south"])"));
    CHECK(w.ask() == 200);
    CHECK(w.north.requests().empty());
}

TEST_CASE("a request whose customer is bound to a region goes to no server elsewhere")
{
    plain_regions w;
    w.start(plainRoute("safe"), customerBoundTo(R"(["south"])"));
    CHECK(w.ask() == 200);
    CHECK(w.north.requests().empty());
}

TEST_CASE("where route and customer are bound both bind, and what fits neither is refused at once")
{
    plain_regions w;
    w.start(boundTo(plainRoute("safe"), R"(["south"])"), customerBoundTo(R"(["north"])"));
    const auto began = w.clock.now();
    CHECK(w.ask(1) == 503);
    CHECK(w.clock.now() - began < AtOnce);
    CHECK(w.north.requests().size() + w.south.requests().size() == 0);
    CHECK(w.runUntil(
        [&] { return w.logged.str().find("outcome=out_of_region") != std::string::npos; }));
}

TEST_CASE("a bound request is tried again in its region or not at all")
{
    plain_regions w;
    w.start(boundTo(plainRoute("safe"), R"(["south"])"));
    w.south.behave([](const server_request &, const std::shared_ptr<server_answer> &answer) {
        answer->reset();
    });
    CHECK(w.ask(3) >= 500);
    CHECK(w.north.requests().empty());
}

TEST_CASE("a bound request that a server holds up is sent to no other region")
{
    plain_regions w;
    w.start(boundTo(plainRoute("safe"), R"(["south"])"));
    w.south.behave([](const server_request &, const std::shared_ptr<server_answer> &) {});
    CHECK(w.ask(1) >= 500);
    CHECK(w.north.requests().empty());
}

TEST_CASE("a bound request whose region has no server left is refused at once")
{
    plain_regions w;
    w.start(boundTo(plainRoute("safe"), R"(["south"])"));
    REQUIRE(w.untilWatched());
    w.store.remove("servers/i-2");
    w.runFor(milliseconds{1500});
    const auto began = w.clock.now();
    CHECK(w.ask(1) == 503);
    CHECK(w.clock.now() - began < AtOnce);
    CHECK(w.north.requests().empty());
}

TEST_CASE("regions that can't be read leave the configuration before in force")
{
    plain_regions w;
    w.start(boundTo(plainRoute("safe"), R"(["south"])"));
    REQUIRE(w.untilWatched());
    w.publish(2, boundTo(plainRoute("safe"), R"("north")"));
    w.publish(3, plainRoute("safe"), {}, customerBoundTo("[7]"));
    w.runFor(milliseconds{1500});
    CHECK(w.ask() == 200);
    CHECK(w.north.requests().empty());
    CHECK(w.logged.str().find("publication_unreadable") != std::string::npos);
}

namespace {

const std::string Stages = R"([{"service":"p","after":[],"length":100},)"
                           R"({"service":"p","after":[0],"length":50}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":1,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

/// A stage server and an engine in each of two regions.
struct staged_regions : plain_regions
{
    staged_regions()
    {
        for (auto *each : {&northStage, &southStage}) {
            each->behave([this, each](const server_request &request,
                                      const std::shared_ptr<server_answer> &answer) {
                answerStages(*this, *each, request, answer, milliseconds{30}, m_made);
            });
        }
        for (auto *each : {&northEngine, &southEngine}) {
            each->behave(answerOneEvent);
        }
    }
    /// Sends so many requests at once and waits for them all; gives how many were answered.
    int askStaged(int count)
    {
        std::vector<std::shared_ptr<client_answer>> answers;
        for (int i = 0; i < count; ++i) {
            auto head = makeStagedRequest("s" + std::to_string(i), "1,1", "a:2000,b:10");
            answers.push_back(request("g1", head, "prompt"));
        }
        int answered = 0;
        for (const auto &each : answers) {
            CHECK(await(each));
            answered += each->status == 200 ? 1 : 0;
        }
        return answered;
    }

    fake_server &northStage = addServer("p", "p-1", "z");
    fake_server &southStage = addServer("p", "p-2", "y");
    fake_server &northEngine = addServer("engine", "e-1", "z");
    fake_server &southEngine = addServer("engine", "e-2", "y");

private:
    int m_made = 0;
};

} // namespace

TEST_CASE("stages and the request itself stay in the regions that they are bound to")
{
    staged_regions w;
    w.publish(1, boundTo(streamRoute(true, Stages), R"(["south"])"), Services);
    w.startGateway("g1");
    CHECK(w.askStaged(6) == 6);
    CHECK(w.northStage.requests().empty());
    CHECK(w.northEngine.requests().empty());
}

TEST_CASE("stages that aren't bound stay in one region, where their node is")
{
    staged_regions w;
    w.publish(1, streamRoute(true, Stages), Services);
    w.startGateway("g1");
    CHECK(w.askStaged(6) == 6);
    CHECK(w.southStage.requests().empty());
    CHECK(w.southEngine.requests().empty());
}
