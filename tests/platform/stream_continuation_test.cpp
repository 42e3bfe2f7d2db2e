// Streams that a gateway continues at another server within one answer: each event comes once, in
// order, and a stream of which a piece is missing never looks complete.
#include "cut_off_world.h"
#include "two_engines_world.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// When a held call goes on after its replacement was sent; both are open then.
constexpr milliseconds WhileBothOpen{40};
/// When the replacement writes its first event; later than the above, and before the held call is
/// ended.
constexpr milliseconds ReplacementTime{120};

/// A stream whose first server falls silent behind `beforeSilence` and writes `afterSilence` while
/// its replacement is open. The replacement goes on behind its last event.
struct held_world : two_engines_world
{
    held_world(const std::string &beforeSilence, const std::string &afterSilence, int lastEvent)
    {
        scripts = {[this, beforeSilence](const server_request &request, const answer_ptr &answer) {
                       held = answer;
                       answer->write(streamHead(request) + chunk(beforeSilence));
                   },
                   [this, afterSilence, lastEvent](const server_request &request,
                                                   const answer_ptr &answer) {
                       const auto after = http::findField(request.head.fields, "last-event-id");
                       const int begin = after ? std::stoi(std::string(*after)) : 0;
                       loop.callAfter(WhileBothOpen, [this, afterSilence] {
                           if (!afterSilence.empty())
                               held->write(afterSilence);
                       });
                       loop.callAfter(ReplacementTime, [=] {
                           answer->write(streamHead(request) + chunk(events(begin + 1, lastEvent))
                                         + EndOfStream);
                       });
                   }};
    }
    answer_ptr held;
};

} // namespace

// Guards against a stream that looks complete though the call that is held beside its replacement
// left out an event.
TEST_CASE("a held call with a gap doesn't end its stream")
{
    const std::string after =
        GENERATE(as<std::string>(), chunk(event(3)), chunk(event(3)) + EndOfStream,
                 chunk(event(3) + event(4)) + EndOfStream);
    held_world w(event(1), after, 4);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(w.arrived.size() == 2);
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == events(1, 4));
}

// Guards against the same where events before the gap were forwarded.
TEST_CASE("a held call with a gap behind its next event doesn't look complete")
{
    held_world w(event(1), chunk(event(2) + event(4)) + EndOfStream, 4);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->body == events(1, 2));
    CHECK(answer->end != http::call_end::Complete);
}

// Guards against events of both calls in one answer, and against joining the parts of an event that
// two servers wrote.
TEST_CASE("a held call and its replacement never both bring events")
{
    const auto [before, after] = GENERATE(
        table<std::string, std::string>({{event(1), ""},
                                         {event(1) + "id: 2\nda", ""},
                                         {event(1) + "id: 2\nda", chunk("ta: to")},
                                         {event(1) + "id: 2\nda", chunk("ta: token\n\n")},
                                         {event(1) + "id: 2\nda", chunk("ta: token\n\nid: 3\nda")},
                                         {event(1), chunk(event(2))},
                                         {event(1), chunk(event(2) + event(3))}}));
    held_world w(before, after, 5);
    const auto answer = w.ask();
    REQUIRE(w.runUntil([&] { return w.arrived.size() == 2; }));
    w.runFor(milliseconds{400});
    if (!answer->ended) {
        // The held call goes on, and its replacement was ended.
        const auto written = answer->body == events(1, 2) ? 2 : 3;
        const bool inside = after.ends_with("da\r\n");
        w.held->write(
            chunk(inside ? "ta: token\n\n" + events(written + 2, 5) : events(written + 1, 5))
            + EndOfStream);
    }
    REQUIRE(w.await(answer));
    CHECK(w.lastEventOf(1) == "1");
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == events(1, 5));
}

// Guards against a stream that is appended from its beginning to what its client has, as no number
// tells where it goes on.
TEST_CASE("a broken stream whose last events have no number isn't continued")
{
    const std::string events = GENERATE(
        as<std::string>(), "data: a\n\ndata: b\n\n", "id: one\ndata: a\n\n", "id: 7x\ndata: a\n\n",
        "id: 99999999999999999999999\ndata: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n");
    two_engines_world w;
    const auto write = [&](const server_request &request, const auto &answer) {
        answer->write(streamHead(request) + chunk(events));
        answer->reset();
    };
    w.scripts = {write, write};
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->end != http::call_end::Complete);
    CHECK(answer->body == events);
    CHECK(w.arrived.size() == 1);
}

// Guards against the same for a server that falls silent.
TEST_CASE("a silent stream whose last events have no number waits for its server")
{
    const std::string begin = "data: a\n\n";
    two_engines_world w;
    std::shared_ptr<server_answer> open;
    w.scripts = {[&](const server_request &request, const auto &answer) {
                     open = answer;
                     answer->write(streamHead(request) + chunk(begin));
                 },
                 [&](const server_request &request, const auto &answer) {
                     answer->write(streamHead(request) + chunk(begin) + EndOfStream);
                 }};
    const auto answer = w.ask();
    w.runFor(milliseconds{2200}); // longer than a stream may be silent
    REQUIRE(open);
    open->write(chunk("data: b\n\n") + EndOfStream);
    REQUIRE(w.await(answer));
    CHECK(answer->body == begin + "data: b\n\n");
    CHECK(w.arrived.size() == 1);
}

// Guards against giving up streams whose comments or empty events have no number.
TEST_CASE("a broken stream with comments between its events goes on at another server")
{
    two_engines_world w;
    w.scripts = {[](const server_request &request, const auto &answer) {
                     answer->write(streamHead(request) + chunk(events(1, 2) + ": ping\n\n"));
                     answer->reset();
                 },
                 [](const server_request &request, const auto &answer) {
                     answer->write(streamHead(request) + chunk(events(3, 4)) + EndOfStream);
                 }};
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(w.lastEventOf(1) == "2");
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == events(1, 2) + ": ping\n\n" + events(3, 4));
}

// Guards against events of a program that isn't the server, which has no signature, behind those of
// a server.
TEST_CASE("a stream isn't continued with an answer that has no signature")
{
    two_engines_world w;
    w.scripts = {[](const server_request &request, const auto &answer) {
                     answer->write(streamHead(request) + chunk(events(1, 2)));
                     answer->reset();
                 },
                 [](const server_request &, const auto &answer) {
                     answer->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   + chunk(events(3, 4)) + EndOfStream);
                 }};
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(w.arrived.size() == 2);
    CHECK(answer->body == events(1, 2));
    CHECK(answer->end != http::call_end::Complete);
}

namespace {

struct relayed_world : cut_off_world
{
    explicit relayed_world()
        : cut_off_world(streamRoute(true))
    {
        cutFromServers("g1", cut_kind::Reset);
        runFor(milliseconds{300});
        setBehaviour("engine", [this](const server_request &request, const auto &answer) {
            arrived.push_back(request);
            if (arrived.size() == 1)
                firstAnswer(request, answer);
            else
                answer->write(streamHead(request) + chunk(events(3, 5)) + EndOfStream);
        });
    }
    server_behaviour firstAnswer;
    std::vector<server_request> arrived;
};

const std::string UnframedHead =
    "HTTP/1.1 200 OK\r\nX-Instance-Signature: sig\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against a relay that loses or repeats events, or completes a stream that its server broke
// off.
TEST_CASE("a relayed stream that breaks off goes on behind its last whole event")
{
    const int kind = GENERATE(0, 1, 2, 3);
    relayed_world w;
    w.firstAnswer = [kind](const server_request &request, const auto &answer) {
        const bool framed = kind < 2;
        const auto bytes = events(1, 2) + (kind % 2 == 0 ? "id: 3\nda" : "");
        answer->write(framed ? streamHead(request) + chunk(bytes) : UnframedHead + bytes);
        if (kind == 3)
            answer->reset();
        else
            answer->close();
    };
    const auto answer = w.request("g1", makeStagedRequest("a1", ""), "x");
    REQUIRE(w.await(answer));
    INFO("kind of end " << kind);
    REQUIRE(w.arrived.size() == 2);
    CHECK(http::findField(w.arrived[1].head.fields, "last-event-id") == "2");
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == events(1, 5));
    CHECK(w.gauge("g1", "calls_sent_by_relay") >= 2);
}

// Guards against events that a killed relay has passed on and its successor brings again.
TEST_CASE("a relayed stream goes on behind its last event when its relay is killed")
{
    relayed_world w;
    w.cutFromServers("g3", cut_kind::Reset);
    w.runFor(milliseconds{300});
    w.firstAnswer = [](const server_request &request, const auto &answer) {
        answer->write(streamHead(request) + chunk(events(1, 2) + "id: 3\nda"));
    };
    const auto answer = w.request("g1", makeStagedRequest("a1", ""), "x");
    REQUIRE(w.runUntil([&] { return answer->body == events(1, 2); }));
    w.healServers("g3");
    REQUIRE(w.runUntil([&] { return w.gauge("g3", "servers_cut_off") == 0; }));
    w.killGateway("g2");
    REQUIRE(w.await(answer));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == events(1, 5));
}
