// Servers and clients that send bytes without end that are no answer or request.
#include "cut_off_world.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/publication/store_options.h"
#include "gateway/stages/stage_host_frees_impl.h"
#include "http/outbound_connection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr std::size_t PieceBytes = 16U << 10U;
/// What the system and the reader hold beyond a limit when the connection is closed.
constexpr std::size_t BufferedBytes = 512U << 10U;
/// A request is left for another server long before its timeout of 2 s.
constexpr milliseconds SoonTime{1400};

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

/// Bytes that a server sends: first `begin`, then `piece` until its connection is closed.
struct endless_answer
{
    std::string name;
    std::string begin;
    std::string piece;
    std::size_t limit = 0; ///< most bytes that are read
};

enum class pace { Fast, Slow };

/// Counts what the servers of a test wrote on connections with endless answers.
struct endless_writer
{
    explicit endless_writer(world &w)
        : m_world(w)
    { }

    void start(const std::shared_ptr<server_answer> &answer, const endless_answer &what, pace speed)
    {
        answer->write(what.begin);
        proceed(answer, speed == pace::Fast ? repeat(what.piece, PieceBytes) : what.piece, speed);
    }

    std::size_t written = 0;
    bool closed = false;

private:
    void proceed(const std::shared_ptr<server_answer> &answer, const std::string &piece, pace speed)
    {
        if (!answer->isOpen()) {
            closed = true;
            return;
        }
        if (answer->queuedBytes() == 0) {
            answer->write(piece);
            written += piece.size();
        }
        m_world.loop.callAfter(milliseconds{speed == pace::Fast ? 1 : 20},
                               [this, answer, piece, speed] { proceed(answer, piece, speed); });
    }

    world &m_world;
};

std::string attemptOf(const server_request &request)
{
    return std::string(http::findField(request.head.fields, "x-attempt-id").value_or(""));
}

std::string chunkedHead(const std::string &attempt, const std::string &status,
                        const std::string &fields)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt + "\r\n" + fields
        + "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string Signature = "X-Instance-Signature: sig\r\n";

/// Returns answers that can't be forwarded, to a request with this attempt id.
std::vector<endless_answer> unusableAnswers(const std::string &attempt)
{
    using gateway::MaxDiscardedAnswer;
    using http::MaxResponseHeadBytes;
    using http::MaxUnusableBytes;
    const auto body = chunk("some bytes");
    const auto signedHead = chunkedHead(attempt, "200 OK", Signature);
    const std::string other =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\na";
    return {
        {"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", MaxResponseHeadBytes},
        {"header field", "HTTP/1.1 200 OK\r\nX-A: ", "a", MaxResponseHeadBytes},
        {"reason", "HTTP/1.1 200 ", "a", MaxResponseHeadBytes},
        {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", MaxUnusableBytes},
        {"answers to others", "", other, MaxUnusableBytes},
        {"answer to another", chunkedHead("other", "200 OK", Signature), body, MaxUnusableBytes},
        {"chunk extension", signedHead + "5;", "a", MaxResponseHeadBytes},
        {"trailers", signedHead + "0\r\n", "X-A: b\r\n", MaxResponseHeadBytes},
        {"refusal", chunkedHead(attempt, "503 X", "X-Not-Executed: 1\r\n"), body,
         2 * MaxDiscardedAnswer},
        {"unsigned success", chunkedHead(attempt, "200 OK", {}), body, 2 * MaxDiscardedAnswer},
    };
}

/// One gateway before two servers, of which the first that gets a request answers it without end.
struct endless_world : world
{
    explicit endless_world(const std::string &routes, const std::string &service)
        : first(addServer(service, service + "-1"))
        , second(addServer(service, service + "-2"))
    {
        publish(1, routes);
        startGateway("g1");
    }

    void setBehaviour(const std::function<endless_answer(const std::string &attempt)> &make,
                      pace speed, const server_behaviour &afterwards)
    {
        const auto behaviour = [=, this](const server_request &request,
                                         const std::shared_ptr<server_answer> &answer) {
            if (first.requests().size() + second.requests().size() == 1)
                writer.start(answer, make(attemptOf(request)), speed);
            else
                afterwards(request, answer);
        };
        first.setBehaviour(behaviour);
        second.setBehaviour(behaviour);
    }

    fake_server &first;
    fake_server &second;
    endless_writer writer{*this};
};

struct played
{
    std::shared_ptr<client_answer> answer;
    milliseconds took{0};
    std::size_t written = 0;
    bool closed = false;
    std::size_t requests = 0;
};

played play(endless_world &w, http::request_head head, const std::string &body)
{
    const auto began = w.clock.now();
    played result;
    result.answer = w.request("g1", std::move(head), body);
    w.await(result.answer);
    result.took = std::chrono::duration_cast<milliseconds>(w.clock.now() - began);
    result.closed = w.runUntil([&] { return w.writer.closed; }, milliseconds{500});
    result.written = w.writer.written;
    result.requests = w.first.requests().size() + w.second.requests().size();
    return result;
}

played playPlain(const std::string &kind, pace speed,
                 const std::function<endless_answer(const std::string &attempt)> &make)
{
    endless_world w(plainRoute(kind), "web");
    w.setBehaviour(make, speed, answerAtOnce);
    const std::string method = kind == "unsafe" ? "POST" : "GET";
    return play(w, makeRequest(method, "/p/x", "a1"), kind == "unsafe" ? "x" : "");
}

played playStream(pace speed, const std::function<endless_answer(const std::string &attempt)> &make)
{
    endless_world w(streamRoute(true), "engine");
    w.setBehaviour(make, speed, [](const auto &request, const auto &answer) {
        answer->write(streamHead(request) + chunk(event(1) + event(2)) + "0\r\n\r\n");
    });
    auto head = makeRequest("POST", "/s/x", "a1");
    head.fields.push_back({"X-Prefix-Hash", "a:100,b:50"});
    return play(w, std::move(head), "prompt");
}

void checkLeft(const played &result, const endless_answer &what)
{
    INFO("answer: " << what.name << ", bytes written " << result.written << ", limit " << what.limit
                    << ", took " << result.took.count() << " ms, status " << result.answer->status);
    CHECK(result.closed);
    CHECK(result.written <= what.limit + BufferedBytes);
    CHECK(result.took < SoonTime);
}

endless_answer serverFailure(const std::string &attempt, const std::string &status)
{
    return {status, chunkedHead(attempt, status, Signature), chunk("some bytes"),
            3 * gateway::MaxBufferedAnswer};
}

} // namespace

// Guards against a safe request that waits for the end of an answer that is none while another
// server could answer it.
TEST_CASE("an endless unusable answer to a safe request is left for another server")
{
    for (const auto speed : {pace::Fast, pace::Slow}) {
        for (std::size_t i = 0; i < unusableAnswers("a1").size(); ++i) {
            const auto result =
                playPlain("safe", speed, [i](const auto &a) { return unusableAnswers(a)[i]; });
            INFO((speed == pace::Fast ? "fast" : "slow"));
            checkLeft(result, unusableAnswers("a1")[i]);
            CHECK(result.answer->status == 200);
            CHECK(result.answer->body == "ok");
            CHECK(result.requests == 2);
        }
    }
}

// Guards against a request that is repeated, or ends with its timeout only, although its answer can
// no longer be used.
TEST_CASE("an endless unusable answer to an unsafe request ends with 502")
{
    for (std::size_t i = 0; i < unusableAnswers("a1").size(); ++i) {
        const auto result =
            playPlain("unsafe", pace::Fast, [i](const auto &a) { return unusableAnswers(a)[i]; });
        checkLeft(result, unusableAnswers("a1")[i]);
        CHECK(result.answer->status == 502);
        CHECK(result.requests == 1);
    }
}

// Guards against a failure that is forwarded because it is long, although another server can
// answer.
TEST_CASE("an endless failure in answer to a safe request is left for another server")
{
    const auto make = [](const auto &a) { return serverFailure(a, "500 X"); };
    const auto result = playPlain("safe", pace::Fast, make);
    checkLeft(result, make("a1"));
    CHECK(result.answer->status == 200);
    CHECK(result.requests == 2);
}

// Guards against forwarding a long answer whose status promises that the request hasn't run, when
// its server doesn't state that.
TEST_CASE("a long answer that claims not to have run an unsafe request ends with 502")
{
    for (const std::string status : {"503 X", "429 X", "408 X"}) {
        const auto make = [status](const auto &a) { return serverFailure(a, status); };
        const auto result = playPlain("unsafe", pace::Fast, make);
        checkLeft(result, make("a1"));
        CHECK(result.answer->status == 502);
        CHECK(result.requests == 1);
    }
}

// Guards against a stream that waits on a server whose bytes never become its next event.
TEST_CASE("an endless unusable answer to a stream request is left for another server")
{
    for (const auto speed : {pace::Fast, pace::Slow}) {
        for (std::size_t i = 0; i < unusableAnswers("a1").size(); ++i) {
            const auto result =
                playStream(speed, [i](const auto &a) { return unusableAnswers(a)[i]; });
            INFO((speed == pace::Fast ? "fast" : "slow"));
            auto what = unusableAnswers("a1")[i];
            INFO("answer: " << what.name << ", bytes written " << result.written << ", took "
                            << result.took.count() << " ms, status " << result.answer->status);
            CHECK(result.closed);
            CHECK(result.written <= what.limit + BufferedBytes);
            CHECK(result.took < milliseconds{2500}); // its latency objective is 1.5 s
            CHECK(result.answer->body == event(1) + event(2));
        }
    }
}

// Guards against a stream that stays on a server that repeats an event, or never ends one.
TEST_CASE("a stream with an endless event, or repeating an event, continues on another server")
{
    const auto begin = [](const std::string &attempt) {
        return chunkedHead(attempt, "200 OK", Signature + "Content-Type: text/event-stream\r\n")
            + chunk(event(1));
    };
    const auto endless = [&](const auto &a) {
        return endless_answer{"event", begin(a), chunk("data: token"), 2 * gateway::MaxEventBytes};
    };
    const auto repeated = [&](const auto &a) {
        return endless_answer{"events", begin(a), chunk(event(1)), gateway::MaxEventBytes};
    };
    for (const auto speed : {pace::Fast, pace::Slow}) {
        for (const auto &make :
             std::vector<std::function<endless_answer(const std::string &)>>{endless, repeated}) {
            const auto result = playStream(speed, make);
            INFO((speed == pace::Fast ? "fast" : "slow"));
            const auto what = make("a1");
            INFO("answer: " << what.name << ", bytes written " << result.written << ", took "
                            << result.took.count() << " ms");
            CHECK(result.closed);
            CHECK(result.written <= what.limit + BufferedBytes);
            CHECK(result.took < milliseconds{2500});
            CHECK(result.answer->body == event(1) + event(2));
        }
    }
}

// Guards against a stage call that collects bytes until its timeout.
TEST_CASE("an endless answer to a stage call counts as broken, and another server gets the pieces")
{
    using http::MaxResponseHeadBytes;
    const std::vector<endless_answer> answers{
        {"body", chunkedHead("", "200 OK", {}), chunk("some bytes"),
         2 * gateway::MaxStageAnswerBytes},
        {"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", MaxResponseHeadBytes},
        {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", http::MaxUnusableBytes},
        {"trailers", chunkedHead("", "200 OK", {}) + "0\r\n", "X-A: b\r\n", MaxResponseHeadBytes}};
    for (const auto &what : answers) {
        cut_off_world w(streamRoute(true, Stages));
        endless_writer writer(w);
        int calls = 0;
        int results = 0;
        auto &holder = w.server("q-0");
        w.setBehaviour("q", [&](const server_request &request, const auto &answer) {
            if (request.head.target != "/stage-free" && ++calls == 1)
                writer.start(answer, what, pace::Fast);
            else
                answerStages(w, holder, request, answer, milliseconds{20}, results);
        });
        const auto began = w.clock.now();
        const auto answer = w.request("g1", makeStagedRequest("a1", "2"), "x");
        REQUIRE(w.await(answer));
        const auto took = std::chrono::duration_cast<milliseconds>(w.clock.now() - began);
        w.runUntil([&] { return writer.closed; }, milliseconds{500});
        INFO("answer: " << what.name << ", bytes written " << writer.written << ", took "
                        << took.count() << " ms");
        CHECK(writer.closed);
        CHECK(writer.written <= what.limit + BufferedBytes);
        CHECK(took < SoonTime);
        CHECK(answer->status == 200);
        CHECK(calls == 2);
    }
}

// Guards against the connections of frees that are read until their timeout.
TEST_CASE("an endless answer to a call that frees results is closed at its limit")
{
    cut_off_world w(streamRoute(true, Stages));
    endless_writer writer(w);
    int results = 0;
    auto &holder = w.server("q-0");
    bool freed = false;
    const endless_answer what{"body", chunkedHead("", "200 OK", {}), chunk("some bytes"),
                              2 * gateway::MaxFreeAnswerBytes};
    w.setBehaviour("q", [&](const server_request &request, const auto &answer) {
        if (request.head.target == "/stage-free" && !std::exchange(freed, true))
            writer.start(answer, what, pace::Fast);
        else
            answerStages(w, holder, request, answer, milliseconds{20}, results);
    });
    const auto answer = w.request("g1", makeStagedRequest("a1", "2"), "x");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 200);
    CHECK(w.runUntil([&] { return writer.closed; }, milliseconds{3000}));
    INFO("bytes written " << writer.written);
    CHECK(freed);
    CHECK(writer.written <= what.limit + BufferedBytes);
}

// Guards against a node that collects what a server sends to a peer whose call it relays.
TEST_CASE("an endless unusable answer to a relayed call is closed at its limit")
{
    for (std::size_t i = 0; i < unusableAnswers("a1").size(); ++i) {
        cut_off_world w(plainRoute("unsafe"));
        endless_writer writer(w);
        w.setBehaviour("web", [&](const server_request &request, const auto &answer) {
            writer.start(answer, unusableAnswers(attemptOf(request))[i], pace::Fast);
        });
        w.cutFromServers("g1", cut_kind::Reset);
        w.runFor(milliseconds{300});
        const auto answer = w.request("g1", makeRequest("POST", "/p/x", "a1"), "x");
        REQUIRE(w.await(answer));
        const auto what = unusableAnswers("a1")[i];
        INFO("answer: " << what.name << ", bytes written " << writer.written);
        CHECK(writer.written > 0);
        CHECK(w.runUntil([&] { return writer.closed; }, milliseconds{500}));
        // Both nodes buffer.
        CHECK(writer.written <= what.limit + 2 * BufferedBytes);
        CHECK(answer->status >= 500);
    }
}

// Guards against a node that collects the report of a server at its start.
TEST_CASE("an endless report of a server is closed at its limit")
{
    const auto what =
        GENERATE(endless_answer{"body", chunkedHead("", "200 OK", {}), chunk("some bytes"),
                                2 * gateway::MaxReportBytes},
                 endless_answer{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                "{\"runs\":[", 2 * gateway::MaxReportBytes},
                 endless_answer{"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n",
                                http::MaxResponseHeadBytes},
                 endless_answer{"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n",
                                http::MaxUnusableBytes});
    CAPTURE(what.name);
    world w;
    endless_writer writer(w);
    w.addServer("engine", "e-1").setReport([&](const auto & /*request*/, const auto &answer) {
        writer.start(answer, what, pace::Fast);
    });
    w.publish(1, streamRoute(true), Services);
    w.startGateway("g1");
    CHECK(w.runUntil([&] { return writer.closed; }, milliseconds{3000}));
    INFO("bytes written " << writer.written);
    CHECK(writer.written > 0);
    CHECK(writer.written <= what.limit + BufferedBytes);
}

// Guards against a node that collects an answer of the store until its memory is used up.
TEST_CASE("an endless answer of the store is read up to its limit, and the store is read again")
{
    world w;
    w.addServer("web", "s-1").setBehaviour(answerAtOnce);
    w.publish(1, plainRoute("safe"));
    w.store.setEndless(true);
    w.startGateway("g1", false);
    const auto limit = gateway::store_options{}.maxAnswerBytes;
    w.runUntil([&] { return w.store.longestBody() > 2 * limit; }, milliseconds{4000});
    INFO("bytes written " << w.store.longestBody());
    CHECK(w.store.longestBody() > limit / 2);
    CHECK(w.store.longestBody() <= limit + 4 * BufferedBytes);
    w.store.setEndless(false);
    CHECK(w.runUntil([&] { return w.readiness("g1") == 200; }, milliseconds{8000}));
}

// Guards against clients whose requests grow outside of the parts that have limits.
TEST_CASE("requests with endless heads, chunk extensions or trailers are refused")
{
    world w;
    w.addServer("web", "s-1");
    w.publish(1, plainRoute("safe"));
    w.startGateway("g1");
    const std::string line = "POST /p/x HTTP/1.1\r\nHost: h.example\r\n";
    const std::string chunked =
        line + "X-Attempt-Id: a1\r\nApi-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t Bytes = 200U << 10U;
    for (const auto &bytes : std::vector<std::string>{
             line + repeat("X-A: b\r\n", Bytes), line + "X-A: " + std::string(Bytes, 'a'),
             chunked + "5;" + std::string(Bytes, 'a'),
             chunked + "0\r\n" + repeat("X-A: b\r\n", Bytes)}) {
        const auto began = w.clock.now();
        const auto received = w.sendRaw("g1", bytes);
        const auto took = std::chrono::duration_cast<milliseconds>(w.clock.now() - began);
        INFO("request: " << bytes.substr(0, 160) << ", took " << took.count() << " ms");
        CHECK(received.substr(0, 12) == "HTTP/1.1 431");
        CHECK(took < milliseconds{1500});
    }
    CHECK(w.server("s-1").requests().empty());
}

// Guards against limits that break sound answers.
TEST_CASE("long answers and long streams are forwarded whole")
{
    const std::string body(8U << 20U, 'b');
    endless_world w(plainRoute("safe") + "," + streamRoute(true), "web");
    w.setBehaviour([](const auto &) { return endless_answer{}; }, pace::Slow, answerAtOnce);
    const server_behaviour sendsBody = [&](const auto &request, const auto &answer) {
        answer->write(signedAnswer(request, body));
    };
    w.first.setBehaviour(sendsBody);
    w.second.setBehaviour(sendsBody);
    const auto plain = w.request("g1", makeRequest("GET", "/p/x", "a1"));
    REQUIRE(w.await(plain));
    CHECK(plain->body == body);

    constexpr int Events = 100000;
    std::string events;
    for (int i = 1; i <= Events; ++i)
        events += event(i);
    auto &engine = w.addServer("engine", "e-1");
    engine.setBehaviour([&](const auto &request, const auto &answer) {
        std::string chunks = streamHead(request);
        for (int i = 1; i <= Events; ++i)
            chunks += chunk(event(i));
        answer->write(chunks + "0\r\n\r\n");
    });
    w.runFor(milliseconds{2500});
    auto head = makeRequest("POST", "/s/x", "a2");
    head.fields.push_back({"X-Prefix-Hash", "a:100,b:50"});
    // With sanitizers, so many events take longer than the default deadline of 2 s.
    for (auto &field : head.fields) {
        if (field.name == "X-Deadline-Ms")
            field.value = "10000";
    }
    const auto stream = w.request("g1", std::move(head), "prompt");
    REQUIRE(w.await(stream));
    CHECK(stream->body == events);
}
