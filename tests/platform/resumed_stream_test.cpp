// Streams that a client continues with a new request: which events its answer may bring.
#include "two_engines_world.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int Received = 2; ///< number of the last event that the client has

/// A stream whose client has got some events and closed its connection.
struct resumed_world : two_engines_world
{
    resumed_world()
    {
        scripts.push_back([](const server_request &request, const answer_ptr &answer) {
            answer->write(streamHead(request) + chunk(events(1, Received)));
        });
        const auto first = std::make_shared<client_answer>();
        const auto call = startRequest("g1", streamRequest("a1"), "prompt", first);
        REQUIRE(runUntil([&] { return first->body == events(1, Received); }));
        pool.abandon(call);
        runFor(milliseconds{50});
    }

    std::shared_ptr<client_answer> resume(const std::string &gateway = "g1",
                                          int lastEvent = Received)
    {
        auto head = streamRequest("a2");
        head.fields.push_back({"Last-Event-Id", std::to_string(lastEvent)});
        head.fields.push_back({"Resumes", "a1"});
        return request(gateway, head, "prompt");
    }

    /// Answers the next request with these events in chunks of their own, and ends the answer.
    void answerNext(const std::string &text)
    {
        scripts.push_back([text](const server_request &request, const answer_ptr &answer) {
            answer->write(streamHead(request) + chunk(text) + EndOfStream);
        });
    }
};

} // namespace

// Guards against numbers that go back over a client's tries, as a server begins a resumed stream
// before the event behind the last one that the client has.
TEST_CASE("a resumed stream brings no event that its client has")
{
    const int first = GENERATE(1, 2, 3);
    resumed_world w;
    w.answerNext(events(first, 5));
    const auto answer = w.resume();
    REQUIRE(w.await(answer));
    INFO("the server begins at event " << first);
    CHECK(w.lastEventOf(1) == "2");
    CHECK(answer->status == 200);
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == events(3, 5));
}

// Guards against a missing piece between the last event of a client and the first one of the answer
// with which its stream goes on.
TEST_CASE("a resumed stream that begins behind a gap goes on at another server")
{
    resumed_world w;
    w.answerNext(events(4, 5));
    w.answerNext(events(3, 5));
    const auto answer = w.resume();
    REQUIRE(w.await(answer));
    CHECK(answer->status == 200);
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == events(3, 5));
    CHECK(w.lastEventOf(2) == "2");
}

// Guards against the same where no server goes on at the right event.
TEST_CASE("a resumed stream that begins behind a gap at all servers has no success")
{
    resumed_world w;
    w.answerNext(events(4, 5));
    w.answerNext(events(4, 5));
    const auto answer = w.resume();
    REQUIRE(w.await(answer));
    CHECK(answer->status == 502);
    CHECK(answer->body.empty());
}

// Guards against a second server that is asked from the beginning after one that wrote nothing new.
TEST_CASE("a resumed stream whose server repeats events and breaks off goes on behind them")
{
    resumed_world w;
    w.scripts.push_back([](const server_request &request, const auto &answer) {
        answer->write(streamHead(request) + chunk(events(1, 2)));
        answer->reset();
    });
    w.answerNext(events(3, 4));
    const auto answer = w.resume();
    REQUIRE(w.await(answer));
    CHECK(w.lastEventOf(2) == "2");
    CHECK(answer->body == events(3, 4));
}

// Guards against gaps and repeats where a client got fewer events than its gateway forwarded, while
// the first server still writes.
TEST_CASE("a stream is resumed before the last forwarded event at the same or another gateway")
{
    const std::string gateway = GENERATE(as<std::string>(), "g1", "g2");
    two_engines_world w;
    w.startGateway("g2");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    std::shared_ptr<server_answer> open;
    w.scripts = {[&](const server_request &request, const auto &answer) {
                     open = answer;
                     answer->write(streamHead(request) + chunk(events(1, 6)));
                 },
                 [](const server_request &request, const auto &answer) {
                     answer->write(streamHead(request) + chunk(events(4, 8)) + EndOfStream);
                 }};
    const auto first = w.ask();
    REQUIRE(w.runUntil([&] { return first->body == events(1, 6); }));
    auto head = w.streamRequest("a2");
    head.fields.push_back({"Last-Event-Id", "3"});
    head.fields.push_back({"Resumes", "a1"});
    const auto answer = w.request(gateway, head, "prompt");
    open->write(chunk(event(7)));
    REQUIRE(w.await(answer));
    open->write(chunk(event(8)) + EndOfStream);
    REQUIRE(w.await(first));
    CHECK(w.lastEventOf(1) == "3");
    CHECK(answer->body == events(4, 8));
    CHECK(first->body == events(1, 8));
}
