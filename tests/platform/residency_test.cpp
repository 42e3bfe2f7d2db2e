#include "platform_world.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr milliseconds ImmediateRefusal{250};

/// Returns `route` with the regions in which its requests may be processed.
std::string restrictedTo(std::string route, const std::string &regions)
{
    route.insert(route.size() - 1, R"(,"allowed_regions":)" + regions);
    return route;
}

std::string customerRestrictedTo(const std::string &regions)
{
    return R"(,"allowed_regions":)" + regions;
}

/// Two regions with one data centre each, a server of a plain service in each of them, and a node
/// in the first.
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
    /// Sends requests one after the other; returns the status of the last.
    int sendRequests(int times = 10)
    {
        int status = 0;
        for (int i = 0; i < times; ++i) {
            const auto answer =
                request("g1", makeRequest("GET", "/p/x", "a" + std::to_string(++m_requestCount)));
            CHECK(await(answer));
            status = answer->status;
        }
        return status;
    }

    fake_server &north = addServer("web", "i-1", "z");
    fake_server &south = addServer("web", "i-2", "y");

private:
    int m_requestCount = 0;
};

} // namespace

TEST_CASE("an unrestricted request stays in the region of its node")
{
    plain_regions w;
    w.start(plainRoute("safe"));
    CHECK(w.sendRequests() == 200);
    CHECK(w.south.requests().empty());
}

TEST_CASE("a request whose route is restricted to a region is sent to no other region")
{
    plain_regions w;
    w.start(restrictedTo(plainRoute("safe"), R"(["south"])"));
    CHECK(w.sendRequests() == 200);
    CHECK(w.north.requests().empty());
}

TEST_CASE("a request whose customer is restricted to a region is sent to no other region")
{
    plain_regions w;
    w.start(plainRoute("safe"), customerRestrictedTo(R"(["south"])"));
    CHECK(w.sendRequests() == 200);
    CHECK(w.north.requests().empty());
}

TEST_CASE("restrictions of route and customer both apply, and a request without a common region is "
          "refused at once")
{
    plain_regions w;
    w.start(restrictedTo(plainRoute("safe"), R"(["south"])"), customerRestrictedTo(R"(["north"])"));
    const auto began = w.clock.now();
    CHECK(w.sendRequests(1) == 503);
    CHECK(w.clock.now() - began < ImmediateRefusal);
    CHECK(w.north.requests().size() + w.south.requests().size() == 0);
    CHECK(w.runUntil(
        [&] { return w.logOutput.str().find("outcome=out_of_region") != std::string::npos; }));
}

TEST_CASE("a restricted request is retried only in its region")
{
    plain_regions w;
    w.start(restrictedTo(plainRoute("safe"), R"(["south"])"));
    w.south.setBehaviour([](const server_request &, const std::shared_ptr<server_answer> &answer) {
        answer->reset();
    });
    CHECK(w.sendRequests(3) >= 500);
    CHECK(w.north.requests().empty());
}

TEST_CASE("a restricted request whose server does not respond is sent to no other region")
{
    plain_regions w;
    w.start(restrictedTo(plainRoute("safe"), R"(["south"])"));
    w.south.setBehaviour([](const server_request &, const std::shared_ptr<server_answer> &) {});
    CHECK(w.sendRequests(1) >= 500);
    CHECK(w.north.requests().empty());
}

TEST_CASE("a restricted request whose region has no server left is refused at once")
{
    plain_regions w;
    w.start(restrictedTo(plainRoute("safe"), R"(["south"])"));
    REQUIRE(w.waitForStoreWatch());
    w.store.remove("servers/i-2");
    w.runFor(milliseconds{1500});
    const auto began = w.clock.now();
    CHECK(w.sendRequests(1) == 503);
    CHECK(w.clock.now() - began < ImmediateRefusal);
    CHECK(w.north.requests().empty());
}

TEST_CASE("a configuration with malformed regions does not replace the previous one")
{
    plain_regions w;
    w.start(restrictedTo(plainRoute("safe"), R"(["south"])"));
    REQUIRE(w.waitForStoreWatch());
    w.publish(2, restrictedTo(plainRoute("safe"), R"("north")"));
    w.publish(3, plainRoute("safe"), {}, customerRestrictedTo("[7]"));
    w.runFor(milliseconds{1500});
    CHECK(w.sendRequests() == 200);
    CHECK(w.north.requests().empty());
    CHECK(w.logOutput.str().find("publication_unreadable") != std::string::npos);
}

namespace {

const std::string Stages = R"([{"service":"p","after":[],"length":100},)"
                           R"({"service":"p","after":[0],"length":50}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":1,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

/// A stage server and an engine in each of the two regions.
struct staged_regions : plain_regions
{
    staged_regions()
    {
        for (auto *each : {&northStage, &southStage}) {
            each->setBehaviour([this, each](const server_request &request,
                                            const std::shared_ptr<server_answer> &answer) {
                answerStages(*this, *each, request, answer, milliseconds{30}, m_made);
            });
        }
        for (auto *each : {&northEngine, &southEngine}) {
            each->setBehaviour(answerOneEvent);
        }
    }
    /// Sends requests at the same time and awaits them all; returns the number answered with 200.
    int sendStagedRequests(int count)
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

TEST_CASE("stages and the request itself stay in the regions that they are restricted to")
{
    staged_regions w;
    w.publish(1, restrictedTo(streamRoute(true, Stages), R"(["south"])"), Services);
    w.startGateway("g1");
    CHECK(w.sendStagedRequests(6) == 6);
    CHECK(w.northStage.requests().empty());
    CHECK(w.northEngine.requests().empty());
}

TEST_CASE("unrestricted stages stay in the region of their node")
{
    staged_regions w;
    w.publish(1, streamRoute(true, Stages), Services);
    w.startGateway("g1");
    CHECK(w.sendStagedRequests(6) == 6);
    CHECK(w.southStage.requests().empty());
    CHECK(w.southEngine.requests().empty());
}
