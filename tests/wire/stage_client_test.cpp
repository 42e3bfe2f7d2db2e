#include "tests/net/net_test_support.h"
#include "tests/wire/fake_net.h"
#include "wire/retry_after.h"
#include "wire/stage_client.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace orchidlead::wire {
namespace {

const attempt_key Key{request_id{"vm1-5f3a-17"}, 2, 1};
const std::string OwnId = "cmpl-vm1-5f3a-17/2/1";

/// Keeps what the client reports, one word or line for each event.
struct event_record
{
    stage_client_events handlers()
    {
        stage_client_events events;
        events.onSent = [this](const attempt_key &) { seen.emplace_back("sent"); };
        events.onAnswer = [this](const attempt_answer &answer) {
            seen.push_back(answer.echoed == answer.key ? "answer" : "foreign answer");
            output = *answer.output;
        };
        events.onChunk = [this](const attempt_chunk &chunk) { chunks += chunk.text; };
        events.onFailure = [this](const attempt_failed &failed) {
            seen.emplace_back(toName(failed.failure));
            retryAfter = failed.retryAfter;
        };
        events.onLoad = [this](const load_report &report) { load = report; };
        return events;
    }

    /// How the attempt ended; empty while it hasn't.
    [[nodiscard]] std::string end() const
    {
        return seen.empty() || seen.back() == "sent" ? "" : seen.back();
    }

    std::vector<std::string> seen;
    std::string output;
    std::string chunks;
    std::optional<milliseconds> retryAfter;
    std::optional<load_report> load;
};

stage_client_options smallBounds()
{
    stage_client_options options;
    options.bounds.json.maxBytes = 64U << 10U;
    return options;
}

/// A client before one server whose answers the test scripts.
struct socket_fixture
{
    using script = std::function<void(net::response_ptr)>;

    explicit socket_fixture(script answer)
        : server(net::serve(loop,
                            [this, answer = std::move(answer)](net::http_request &&request,
                                                               net::response_ptr response) {
                                ++requests;
                                lastRequest = std::move(request);
                                answer(std::move(response));
                            }))
        , client(net::http_client::create(*loop))
        , stages(*loop, *client, clock, record.handlers(), smallBounds())
    { }

    send_attempt attempt(service_kind kind, milliseconds remaining = milliseconds{15000}) const
    {
        send_attempt made;
        made.key = Key;
        made.stage.id = stage_id{"rerank"};
        made.stage.kind = kind;
        made.stage.path = "/run";
        made.server = backend_server_id{"r-1"};
        made.address = {"127.0.0.1", server->port()};
        made.input = std::make_shared<const std::string>(R"({"text":"x"})");
        made.deadline = clock.now() + remaining;
        made.stream = kind == service_kind::Engine;
        return made;
    }

    /// Makes one attempt and returns how it ended.
    std::string run(const send_attempt &made)
    {
        stages.send(made);
        loop.runUntil([this] { return !record.end().empty(); });
        return record.end();
    }

    net::test_loop loop;
    system_clock_source clock;
    event_record record;
    int requests = 0;
    net::http_request lastRequest;
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<net::http_client> client;
    stage_client stages;
};

std::string answerText(const std::string &request = "vm1-5f3a-17", int attempt = 1,
                       const std::string &output = R"({"ok":true})")
{
    return R"({"request":")" + request + R"(","stage_index":2,"attempt":)" + std::to_string(attempt)
        + R"(,"output":)" + output + R"(,"load":{"running":3,"queued":1,"leaving":true}})";
}

socket_fixture::script respond(int status, std::string body, net::header_list headers = {})
{
    return [=](const net::response_ptr &response) { response->respond(status, headers, body); };
}

socket_fixture::script cutShort(int status, std::string body)
{
    return [=](const net::response_ptr &response) {
        response->begin(status, {{"content-length", std::to_string(body.size() + 1)}});
        response->write(body);
        response->finish();
    };
}

struct scripted_end
{
    std::string name;
    socket_fixture::script script;
    std::string end;
};

TEST_CASE("Every way in which a pool's server can answer has its own end")
{
    const std::string deep = std::string(30000, '[') + std::string(30000, ']');
    const std::vector<scripted_end> cases{
        {"whole", respond(200, answerText()), "answer"},
        {"of another request", respond(200, answerText("vm1-5f3a-18")), "foreign answer"},
        {"of another attempt", respond(200, answerText("vm1-5f3a-17", 2)), "foreign answer"},
        {"doubled", respond(200, answerText() + answerText()), "bad_answer"},
        {"malformed", respond(200, "{\"request\""), "bad_answer"},
        {"empty", respond(200, ""), "bad_answer"},
        {"deep", respond(200, answerText("vm1-5f3a-17", 1, deep)), "bad_answer"},
        {"huge", respond(200, answerText("x", 1, std::string(200'000, '1'))), "bad_answer"},
        {"short", cutShort(200, answerText()), "broken"},
        {"no answer", [](const net::response_ptr &) {}, "broken"},
        {"429", respond(429, "", {{"retry-after", "3"}}), "refused"},
        {"503", respond(503, "{}"), "refused"},
        {"503 leaving", respond(503, R"({"error":"leaving"})"), "leaving"},
        {"503 cut short", cutShort(503, R"({"error":"leaving"})"), "broken"},
        {"500", respond(500, answerText()), "server_error"},
        {"404", respond(404, ""), "server_error"},
        {"302", respond(302, "", {{"location", "/run"}}), "server_error"},
    };
    for (const auto &each : cases) {
        CAPTURE(each.name);
        socket_fixture fixture(each.script);
        CHECK(fixture.run(fixture.attempt(service_kind::Reranker)) == each.end);
        CHECK(fixture.record.seen.front() == "sent");
        CHECK(fixture.record.seen.size() == 2);
        CHECK(fixture.requests == 1);
        CHECK(fixture.stages.inFlight() == 0);
    }
}

TEST_CASE("An answer brings the server's load, and a refusal when to come back")
{
    socket_fixture answering(respond(200, answerText()));
    answering.run(answering.attempt(service_kind::Reranker));
    REQUIRE(answering.record.load.has_value());
    CHECK(answering.record.load->server == backend_server_id{"r-1"});
    CHECK(answering.record.load->running == 3);
    CHECK(answering.record.load->leaving);
    CHECK(net::findHeader(answering.lastRequest.headers, "x-request-id") == "vm1-5f3a-17/2/1");

    socket_fixture refusing(respond(503, "", {{"retry-after", "99999999"}}));
    refusing.run(refusing.attempt(service_kind::Reranker));
    CHECK(refusing.record.retryAfter == MaxRetryAfter);
}

std::string streamText(const std::string &secondId, bool whole)
{
    const auto event = [](const std::string &id, const std::string &text, const std::string &rest) {
        return R"(data: {"id":")" + id + R"(","choices":[{"index":0,"text":")" + text
            + R"(","finish_reason":)" + rest + "}\n\n";
    };
    return event(OwnId, "one", "null}]") + event(secondId, " two", R"("stop"}])")
        + (whole ? "data: [DONE]\n\n" : "");
}

socket_fixture::script streamByteByByte(std::string text)
{
    return [=](const net::response_ptr &response) {
        response->begin(200, {{"content-type", "text/event-stream"}});
        for (const char byte : text)
            response->write(std::string(1, byte));
        response->finish();
    };
}

TEST_CASE("A stream is handed on as it comes and is an answer only when it is whole")
{
    socket_fixture whole(streamByteByByte(streamText(OwnId, true)));
    CHECK(whole.run(whole.attempt(service_kind::Engine)) == "answer");
    CHECK(whole.record.chunks == "one two");
    CHECK(whole.record.output == R"({"text":"one two","finish_reason":"stop"})");

    socket_fixture ended(streamByteByByte(streamText(OwnId, false)));
    CHECK(ended.run(ended.attempt(service_kind::Engine)) == "broken");

    socket_fixture foreign(streamByteByByte(streamText("cmpl-vm1-5f3a-18/2/1", true)));
    CHECK(foreign.run(foreign.attempt(service_kind::Engine)) == "bad_answer");
    CHECK(foreign.record.chunks == "one");
}

/// Starts a stream and leaves it open.
struct stalled_stream
{
    socket_fixture::script script()
    {
        return [this](const net::response_ptr &given) {
            response = given;
            response->onClosed([this] { closed = true; });
            response->begin(200, {{"content-type", "text/event-stream"}});
            response->write(streamText(OwnId, false).substr(0, 100));
        };
    }

    net::response_ptr response;
    bool closed = false;
};

TEST_CASE("A stream that stalls ends at the deadline")
{
    stalled_stream stalled;
    socket_fixture fixture(stalled.script());
    CHECK(fixture.run(fixture.attempt(service_kind::Engine, milliseconds{200})) == "timed_out");
}

TEST_CASE("Cancelling closes the connection and nothing is reported any more")
{
    stalled_stream stalled;
    socket_fixture fixture(stalled.script());
    fixture.stages.send(fixture.attempt(service_kind::Engine));
    REQUIRE(fixture.loop.runUntil([&] { return fixture.record.chunks == "one"; }));
    fixture.stages.cancel(Key);
    CHECK(fixture.loop.runUntil([&] { return stalled.closed; }));
    CHECK(fixture.record.end().empty());
    CHECK(fixture.stages.inFlight() == 0);
}

TEST_CASE("No chunk comes while the request isn't read, and none is lost")
{
    stalled_stream stalled;
    socket_fixture fixture(stalled.script());
    fixture.stages.send(fixture.attempt(service_kind::Engine));
    REQUIRE(fixture.loop.runUntil([&] { return fixture.record.chunks == "one"; }));
    fixture.stages.setReading(Key.request, false);
    stalled.response->write(streamText(OwnId, true).substr(100));
    fixture.loop.runUntil([&] { return stalled.response->queuedBytes() == 0; });
    fixture.loop.runFor(milliseconds{50});
    CHECK(fixture.record.chunks == "one");
    fixture.stages.setReading(Key.request, true);
    CHECK(fixture.loop.runUntil([&] { return fixture.record.end() == "answer"; }));
    CHECK(fixture.record.chunks == "one two");
}

TEST_CASE("A refused connection is an attempt that wasn't sent")
{
    socket_fixture fixture(respond(200, answerText()));
    const auto attempt = fixture.attempt(service_kind::Plain);
    fixture.server.reset();
    CHECK(fixture.run(attempt) == "not_sent");
    CHECK(fixture.record.seen == std::vector<std::string>{"not_sent"});
}

/// A client whose calls the test carries out by hand.
struct fake_fixture
{
    fake_fixture()
        : stages(loop, http, clock, record.handlers())
    {
        attempt.key = Key;
        attempt.stage.path = "/run";
        attempt.stage.repeatable = false;
        attempt.deadline = clock.now() + milliseconds{100};
    }

    fake_loop loop;
    fake_http_client http;
    manual_clock clock;
    event_record record;
    stage_client stages;
    send_attempt attempt;
};

TEST_CASE("Nothing is sent once the deadline has passed or the caller forbids it")
{
    fake_fixture late;
    late.stages.send(late.attempt, [] {
        FAIL("the deadline comes first");
        return true;
    });
    late.clock.advance(milliseconds{100});
    late.http.calls.back().answer(200, answerText());
    late.loop.run();
    CHECK(late.record.seen == std::vector<std::string>{"not_sent"});

    fake_fixture forbidden;
    forbidden.stages.send(forbidden.attempt, [] { return false; });
    forbidden.http.calls.back().answer(200, answerText());
    forbidden.loop.run();
    CHECK(forbidden.record.seen == std::vector<std::string>{"not_sent"});

    fake_fixture tooLate;
    tooLate.clock.advance(milliseconds{100});
    tooLate.stages.send(tooLate.attempt);
    tooLate.loop.run();
    CHECK(tooLate.http.calls.empty());
    CHECK(tooLate.record.seen == std::vector<std::string>{"not_sent"});
}

TEST_CASE("Once bytes may have left, no end says that nothing was sent")
{
    fake_fixture fixture;
    fixture.stages.send(fixture.attempt);
    CHECK_FALSE(fixture.http.calls.back().call.reuseConnection);
    CHECK(fixture.http.calls.back().call.mayStillSend());
    fixture.http.calls.back().events.onEnd(net::call_end::NotSent);
    fixture.loop.run();
    CHECK(fixture.record.seen == std::vector<std::string>{"sent", "broken"});
}

TEST_CASE("An attempt in flight isn't sent again, and an end never comes from within send")
{
    fake_fixture fixture;
    fixture.stages.send(fixture.attempt);
    fixture.stages.send(fixture.attempt);
    CHECK(fixture.http.calls.size() == 1);

    fake_fixture failing;
    failing.http.failAtOnce = true;
    failing.stages.send(failing.attempt);
    CHECK(failing.record.seen.empty());
    failing.stages.cancel(Key);
    failing.loop.run();
    CHECK(failing.record.seen.empty());
}

} // namespace
} // namespace orchidlead::wire
