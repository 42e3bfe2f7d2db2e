#include "ctl/request_history.h"
#include "cut_off_world.h"

#include <catch2/catch.hpp>

#include <sstream>

/// Histories of failed requests, reconstructed from the log lines of gateways alone.
using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

ctl::request_history explain(world &w, const std::string &request)
{
    // The last line of a request is written by another thread.
    const auto ended = [&] {
        ctl::history_finder finder(request);
        std::istringstream lines(w.logOutput.str());
        for (std::string line; std::getline(lines, line);)
            finder.add(line);
        return finder.finish();
    };
    REQUIRE(w.runUntil([&] { return !ended().outcome.empty(); }));
    return ended();
}

bool hasEntry(const ctl::request_history &history, const std::string &event,
              const std::string &field, const std::string &value)
{
    for (const auto &line : history.lines) {
        if (line.entry.event == event && line.entry.field(field) == value)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("the history of an unsafe call with a lost answer explains why there was no retry")
{
    world w;
    w.publish(1, plainRoute("unsafe"));
    auto &server = w.addServer("web", "s-1");
    server.setBehaviour([](const server_request &, const std::shared_ptr<server_answer> &answer) {
        answer->reset();
    });
    w.startGateway("g1");
    const auto answer = w.request("g1", makeRequest("POST", "/p/x", "lost"), "x");
    REQUIRE(w.await(answer));
    REQUIRE(answer->status == 502);
    const auto history = explain(w, "lost");
    CHECK(history.outcome == "server_failed");
    CHECK(hasEntry(history, "attempt_ended", "end", "unknown"));
    CHECK(hasEntry(history, "attempt_ended", "server", "s-1"));
    CHECK(hasEntry(history, "retry_denied", "reason", "may_have_run"));
}

TEST_CASE("the history of a continued stream tells how its software version is known")
{
    world w;
    w.publish(1, streamRoute(true));
    auto &first = w.addServerOfVersion("engine", "e-1", "v1", 1'764'000'000'000);
    auto &second = w.addServerOfVersion("engine", "e-2", "v2", 1'764'000'000'000);
    for (auto *each : {&first, &second})
        each->setBehaviour(answerOneEvent);
    w.startGateway("g1");
    auto begun = makeRequest("POST", "/s/x", "begun");
    begun.fields.push_back({"X-Prefix-Hash", "a:10"});
    REQUIRE(w.await(w.request("g1", begun, "x")));
    const std::vector<std::pair<std::string, std::string>> sources{
        {"begun", "own"}, {"never-seen", "computed"}, {"", "unknown"}};
    for (const auto &[named, source] : sources) {
        auto head = makeRequest("POST", "/s/x", "continues-" + named);
        head.fields.push_back({"X-Prefix-Hash", "a:10"});
        head.fields.push_back({"Last-Event-Id", "1"});
        if (!named.empty())
            head.fields.push_back({"Resumes", named});
        REQUIRE(w.await(w.request("g1", head, "x")));
        const auto history = explain(w, "continues-" + named);
        CHECK(hasEntry(history, "stream_origin", "first_attempt", named));
        CHECK(hasEntry(history, "stream_origin", "source", source));
        CHECK((history.outcome == "origin_unknown") == (source == "unknown"));
    }
}

TEST_CASE("the history of a relayed request tells which gateway relayed it and how that ended")
{
    cut_off_world w;
    w.cutFromServers("g1", cut_kind::Reset);
    REQUIRE(w.runUntil([&] {
        const auto answer = w.startPlain("g1", "GET");
        return w.isServed(answer) == 1 && w.gauge("g1", "servers_cut_off") == 1;
    }));
    const auto answer = w.request("g1", makeRequest("GET", "/p/x", "relayed"));
    REQUIRE(w.await(answer));
    REQUIRE(answer->status == 200);
    const auto history = explain(w, "relayed");
    CHECK(history.outcome == "answered");
    CHECK((hasEntry(history, "call_relayed", "by", "g2")
           || hasEntry(history, "call_relayed", "by", "g3")));
    CHECK(hasEntry(history, "relayed_call_ended", "end", "complete"));
}

TEST_CASE("the history of a refused request contains the refusal and the status sent to the client")
{
    world w;
    w.publish(1, plainRoute("unsafe"));
    auto &server = w.addServer("web", "s-1");
    server.setBehaviour([](const server_request &request,
                           const std::shared_ptr<server_answer> &answer) {
        const auto id = http::findField(request.head.fields, "x-attempt-id").value_or("");
        answer->write("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + std::string(id)
                      + "\r\nContent-Length: 0\r\n\r\n");
    });
    w.startGateway("g1");
    const auto answer = w.request("g1", makeRequest("POST", "/p/x", "full"), "x");
    REQUIRE(w.await(answer));
    REQUIRE(answer->status == 503);
    const auto history = explain(w, "full");
    CHECK(hasEntry(history, "attempt_ended", "end", "not_run"));
    CHECK(hasEntry(history, "request", "told", "503"));
}

TEST_CASE("the history of a stream interrupted twice names each server and the last event")
{
    world w;
    w.publish(1, streamRoute(true));
    for (const auto *id : {"e-1", "e-2"}) {
        auto &engine = w.addServer("engine", id);
        engine.setBehaviour([](const server_request &request,
                               const std::shared_ptr<server_answer> &answer) {
            const bool resumed = http::findField(request.head.fields, "last-event-id").has_value();
            answer->write(streamHead(request) + chunk(event(resumed ? 2 : 1)));
            answer->reset();
        });
    }
    w.startGateway("g1");
    auto head = makeRequest("POST", "/s/x", "broken");
    head.fields.push_back({"X-Prefix-Hash", "a:10"});
    const auto answer = w.request("g1", head, "prompt");
    REQUIRE(w.await(answer));
    const auto history = explain(w, "broken");
    CHECK(history.outcome != "answered");
    CHECK(hasEntry(history, "attempt_ended", "server", "e-1"));
    CHECK(hasEntry(history, "attempt_ended", "server", "e-2"));
    CHECK(hasEntry(history, "attempt_ended", "last_event", "2"));
    CHECK(hasEntry(history, "retry_denied", "reason", "attempts_used_up"));
}
