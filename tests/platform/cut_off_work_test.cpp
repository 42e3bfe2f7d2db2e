// What a gateway does for its callers while it is cut off from all backend servers: streams,
// bodies, and cuts that coincide with other changes.
#include "cut_off_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

std::shared_ptr<client_answer> startStream(cut_off_world &w, const std::string &gateway)
{
    return w.request(gateway, makeStagedRequest(w.nextAttempt(), ""), "prompt");
}

} // namespace

// Guards against streams that are refused, or lose or repeat events behind a relay.
TEST_CASE("a stream that begins during a cut reaches its client whole")
{
    const auto kind = GENERATE(cut_kind::Reset, cut_kind::Hang, cut_kind::RefuseNew);
    cut_off_world w(streamRoute(true));
    REQUIRE(w.isServed(startStream(w, "g1")));
    w.cutFromServers("g1", kind);
    INFO("kind of cut " << static_cast<int>(kind));
    for (int i = 0; i < Requests; ++i) {
        const auto answer = startStream(w, "g1");
        CHECK(w.isServed(answer));
        CHECK(answer->body == event(1));
    }
}

// Guards against ending the clients' streams because their connections end in a cut.
TEST_CASE("a stream that is under way when a cut begins continues through a relay")
{
    const auto kind = GENERATE(cut_kind::Reset, cut_kind::Hang);
    cut_off_world w(streamRoute(true));
    int arrivals = 0;
    w.setBehaviour(
        "engine", [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            if (++arrivals == 1) {
                answer->write(streamHead(request) + chunk(event(1) + event(2) + "id: 3\nda"));
                return;
            }
            CHECK(http::findField(request.head.fields, "last-event-id") == "2");
            answer->write(streamHead(request) + chunk(event(3) + event(4)) + "0\r\n\r\n");
        });
    const auto answer = startStream(w, "g1");
    REQUIRE(w.runUntil([&] { return answer->body == event(1) + event(2); }));
    w.cutFromServers("g1", kind);
    REQUIRE(w.await(answer));
    INFO("kind of cut " << static_cast<int>(kind));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2) + event(3) + event(4));
    CHECK(arrivals == 2);
}

// Guards against a stream that loses or repeats events when its server ends behind a relay.
TEST_CASE("a relayed stream that breaks off continues on another server")
{
    cut_off_world w(streamRoute(true));
    w.cutFromServers("g1", cut_kind::Reset);
    REQUIRE(w.isServed(startStream(w, "g1")));
    int arrivals = 0;
    w.setBehaviour(
        "engine", [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            if (++arrivals == 1) {
                answer->write(streamHead(request) + chunk(event(1) + event(2) + "id: 3\nda"));
                answer->reset();
                return;
            }
            CHECK(http::findField(request.head.fields, "last-event-id") == "2");
            answer->write(streamHead(request) + chunk(event(3)) + "0\r\n\r\n");
        });
    const auto answer = startStream(w, "g1");
    REQUIRE(w.await(answer));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2) + event(3));
    CHECK(arrivals == 2);
}

// Guards against long bodies that are cut short, or refused, by a relay.
TEST_CASE("a long body reaches its server unchanged through a relay")
{
    constexpr std::size_t Length = 100'000; // the published limit
    cut_off_world w;
    w.cutFromServers("g1", cut_kind::Reset);
    REQUIRE(w.countServed("g1") == Requests);
    std::string body(Length, 'a');
    for (std::size_t i = 0; i < Length; i += 1000)
        body[i] = static_cast<char>('a' + i / 1000 % 26);
    std::string received;
    w.setBehaviour(
        "web", [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            received = request.body;
            answerAtOnce(request, answer);
        });
    const auto answer = w.request("g1", makeRequest("POST", "/p/x", "long"), body);
    REQUIRE(w.await(answer));
    CHECK(answer->status == 200);
    CHECK((received == body)); // not expanded in a failure
}

// Guards against relays that hold calls, and their bodies, without bound.
TEST_CASE("a relay that has as many calls as it may refuses further ones at once")
{
    constexpr std::size_t MaxRelayed = 128; // as documented
    constexpr std::size_t Calls = 150;
    cut_off_world w(plainRoute("unsafe", 1));
    w.cutFromServers("g1", cut_kind::Reset);
    w.cutFromServers("g2", cut_kind::Reset);
    REQUIRE(w.countServed("g1") == Requests);
    std::vector<std::pair<server_request, std::shared_ptr<server_answer>>> open;
    w.setBehaviour(
        "web", [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            open.emplace_back(request, answer);
        });
    std::vector<std::shared_ptr<client_answer>> answers;
    for (std::size_t i = 0; i < Calls; ++i)
        answers.push_back(w.startPlain("g1", "POST"));
    const auto countEnded = [&] {
        return static_cast<std::size_t>(
            std::ranges::count_if(answers, [](const auto &each) { return each->ended; }));
    };
    CHECK(w.runUntil([&] { return countEnded() == Calls - MaxRelayed; }, milliseconds{1000}));
    CHECK(open.size() == MaxRelayed);
    for (const auto &[request, answer] : open)
        answerAtOnce(request, answer);
    REQUIRE(w.runUntil([&] { return countEnded() == Calls; }));
    const auto served =
        std::ranges::count_if(answers, [](const auto &each) { return each->status == 200; });
    CHECK(served == static_cast<std::ptrdiff_t>(MaxRelayed));
}

// Guards against a gateway that needs to have reached a server once before it uses relays.
TEST_CASE("a gateway that starts cut off becomes ready and serves its callers")
{
    const auto kind = GENERATE(cut_kind::Reset, cut_kind::Hang);
    cut_off_world w;
    w.startGateway("late", false);
    w.cutFromServers("late", kind);
    INFO("kind of cut " << static_cast<int>(kind));
    REQUIRE(w.runUntil([&] { return w.readiness("late") == 200; }));
    REQUIRE(w.runUntil([&] { return w.knowsMembers(4); }));
    CHECK(w.countServed("late") == Requests);
}

// Guards against relays that work only while the store answers.
TEST_CASE("a gateway that is cut off serves its callers while the store is silent")
{
    cut_off_world w;
    REQUIRE(w.waitForStoreWatch());
    w.store.failWith(503);
    w.cutFromServers("g1", cut_kind::Reset);
    CHECK(w.countServed("g1") == Requests);
}

// Guards against a cut-off gateway that keeps to an old configuration.
TEST_CASE("a configuration that is published during a cut is in force on the cut-off gateway")
{
    cut_off_world w;
    w.cutFromServers("g1", cut_kind::Hang);
    REQUIRE(w.countServed("g1") == Requests);
    std::string routes = plainRoute("safe");
    routes.replace(routes.find("/p/"), 3, "/q/");
    w.publish(2, routes, Services);
    const auto servesNewRoute = [&] {
        return w.isServed(w.request("g1", makeRequest("GET", "/q/x", w.nextAttempt()))) == 1;
    };
    CHECK(w.runUntil(servesNewRoute));
    CHECK(w.isServed(w.request("g1", makeRequest("GET", "/p/x", w.nextAttempt()))) == 0);
}

// Guards against a relay that goes on being chosen after it was cut off itself.
TEST_CASE("cuts of several gateways that overlap leave all of them with a way to the servers")
{
    const auto kind = GENERATE(cut_kind::Reset, cut_kind::Hang);
    cut_off_world w;
    w.cutFromServers("g1", kind);
    REQUIRE(w.countServed("g1") == Requests);
    w.cutFromServers("g2", kind);
    INFO("kind of cut " << static_cast<int>(kind));
    CHECK(w.countServed("g2") == Requests);
    CHECK(w.countServed("g1") == Requests);
    w.healServers("g1");
    w.cutFromServers("g3", kind);
    w.runFor(milliseconds{1000});
    for (const auto *each : {"g1", "g2", "g3"})
        CHECK(w.countServed(each) == Requests);
}
