#include "platform_world.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::platform_world;

// Guards against timers that run on in a gateway that was destroyed while its loop runs on: they
// read freed memory, and a test with a killed gateway crashed or passed by chance.
TEST_CASE("a gateway that is destroyed leaves no timer, task or connection behind")
{
    world w;
    w.publish(1, plainRoute("safe"));
    auto &server = w.addServer("web", "s-1");
    server.setBehaviour([](const server_request &, const std::shared_ptr<server_answer> &) {});
    for (const auto *each : {"g1", "g2", "g3", "g4"})
        w.startGateway(each);
    REQUIRE(w.runUntil([&] { return w.knowsMembers(4); }));
    const auto unanswered = w.request("g2", makeRequest("GET", "/p/x", "a-1"));
    REQUIRE(w.runUntil([&] { return server.requests().size() == 1; }));
    w.killGateway("g2");
    w.runFor(milliseconds{500});
    CHECK(unanswered->ended);
    CHECK(unanswered->end != http::call_end::Complete);
    CHECK(server.openConnections() == 0);
    server.setBehaviour([](const server_request &request, const auto &answer) {
        answer->write(signedAnswer(request, "done"));
    });
    const auto answer = w.request("g3", makeRequest("GET", "/p/x", "a-2"));
    REQUIRE(w.await(answer));
    CHECK(answer->status == 200);
}
