// Several of a service's engines crash and are still on the published list.
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int Engines = 12;
constexpr int CrashedEngines = 5;
constexpr int Gateways = 6;
constexpr int RequestsPerGateway = 4;

struct engine_fleet : world
{
    engine_fleet()
    {
        publish(1, streamRoute(true),
                R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})");
        for (int i = 0; i < Engines; ++i)
            addServer("engine", "e" + std::to_string(i)).setBehaviour(answerOneEvent);
        for (int i = 0; i < Gateways; ++i)
            startGateway(gatewayOf(i));
        REQUIRE(runUntil([&] { return knowsMembers(Gateways); }));
    }

    static std::string gatewayOf(int request) { return "g" + std::to_string(request % Gateways); }

    /// Sends requests through all gateways in turn, each with a prompt of its own, and returns how
    /// many of them weren't served.
    int countUnserved()
    {
        int unserved = 0;
        for (int i = 0; i < Gateways * RequestsPerGateway; ++i) {
            const auto number = std::to_string(++m_requests);
            const auto answer =
                request(gatewayOf(i),
                        makeStagedRequest("a-" + number, "", "c" + number + ":400,d:10"), "x");
            REQUIRE(await(answer));
            unserved += answer->status == 200 ? 0 : 1;
        }
        return unserved;
    }

private:
    int m_requests = 0;
};

} // namespace

// Guards against refusals while most engines are healthy: crashed ones have no load, so that the
// host of the pool offered them first, to each gateway anew.
TEST_CASE("crashed engines are offered to a few requests only, through whichever gateway they come")
{
    engine_fleet w;
    REQUIRE(w.countUnserved() == 0);
    for (int i = 0; i < CrashedEngines; ++i)
        w.server("e" + std::to_string(i)).crash();
    // Two failures make the host avoid an engine, and a request that is refused reports four.
    CHECK(w.countUnserved() <= CrashedEngines * 2 / 4 + 1);
}

// Guards against reading a long prompt at a second engine because the first one takes longer than
// the latency objective, as it does for any engine.
TEST_CASE("a long prompt isn't sent to a second engine while the first one may still read it")
{
    engine_fleet w;
    const milliseconds readTime{1800}; // the latency objective is 1500 ms
    std::size_t arrivals = 0;
    for (int i = 0; i < Engines; ++i) {
        w.server("e" + std::to_string(i))
            .setBehaviour([&](const server_request &request,
                              const std::shared_ptr<server_answer> &answer) {
                ++arrivals;
                w.loop.callAfter(readTime, [request, answer] { answerOneEvent(request, answer); });
            });
    }
    auto head = makeStagedRequest("a", "", "c:40000,d:10");
    head.fields.push_back({"X-Token-Count", "40010,100"});
    const auto answer = w.request("g0", head, "x");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 200);
    CHECK(answer->body == event(1));
    CHECK(arrivals == 1);
}
