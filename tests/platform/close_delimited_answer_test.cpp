// Guards against answers without a length and without chunks, which end with their connection: a
// close in the order of the protocol is their end, a reset is not, and bytes of another answer
// behind them belong to no request.
#include "cut_off_world.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

std::string attemptOf(const server_request &request)
{
    return std::string(http::findField(request.head.fields, "x-attempt-id").value_or(""));
}

/// Returns the head of a signed answer that ends with its connection.
std::string unframedHead(const std::string &attempt, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " OK\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Instance-Signature: sig\r\nConnection: close\r\n\r\n";
}

enum class ending { Close, Reset };

/// Has a server write these bytes after an unframed head, and then end the connection.
server_behaviour unframed(const std::string &body, ending how)
{
    return
        [body, how](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            answer->write(unframedHead(attemptOf(request)) + body);
            if (how == ending::Close)
                answer->close();
            else
                answer->reset();
        };
}

struct plain_world : world
{
    explicit plain_world(const std::string &kind)
    {
        publish(1, plainRoute(kind));
        startGateway("g1");
    }
    fake_server &server = addServer("web", "s-1");
};

} // namespace

TEST_CASE("a plain answer that ends with its connection is forwarded whole and the client's "
          "connection is kept")
{
    plain_world w("unsafe");
    w.server.setBehaviour(unframed("all of it", ending::Close));
    const auto received = w.sendRaw(
        "g1",
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 900\r\n"
        "Api-Key: k1\r\nContent-Length: 0\r\n\r\n"
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a2\r\nX-Deadline-Ms: 900\r\n"
        "Api-Key: k1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    CHECK(w.server.requests().size() == 2);
    const auto first = received.find("all of it");
    REQUIRE(first != std::string::npos);
    CHECK(received.find("all of it", first + 1) != std::string::npos);
}

TEST_CASE("a plain answer without a length whose connection is reset is not complete")
{
    plain_world w("unsafe");
    w.server.setBehaviour(unframed("some of it", ending::Reset));
    const auto answer = w.request("g1", makeRequest("POST", "/p/x", "a1"), "x");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 502);
    CHECK(w.server.requests().size() == 1);
}

TEST_CASE(
    "bytes of another answer behind a plain one without a length are not forwarded as its body")
{
    plain_world w("unsafe");
    w.server.setBehaviour(unframed("mine" + unframedHead("of-another") + "theirs", ending::Close));
    const auto answer = w.request("g1", makeRequest("POST", "/p/x", "a1"), "x");
    REQUIRE(w.await(answer));
    CHECK(answer->body.find("theirs") == std::string::npos);
    CHECK(answer->status == 502);
}

// Guards against a second answer that is forwarded as the end of the first one, if both are too
// long to be buffered.
TEST_CASE("a long answer without a length does not look complete if another one follows it")
{
    const auto kind = GENERATE(as<std::string>{}, "safe", "unsafe");
    const std::size_t bytes = GENERATE(70U << 10U, 200U << 10U, 1U << 20U);
    CAPTURE(kind, bytes);
    plain_world w(kind);
    w.server.setBehaviour(
        [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            const auto whole = unframedHead(attemptOf(request)) + std::string(bytes, 'x');
            answer->write(whole + unframedHead(attemptOf(request)) + "theirs"
                          + std::string(bytes, 'y'));
            answer->close();
        });
    const auto answer = w.request("g1", makeRequest("POST", "/p/x", "a1"), "x");
    REQUIRE(w.await(answer));
    CHECK((answer->status != 200 || answer->end != http::call_end::Complete));
    CHECK(answer->body.find("theirs") == std::string::npos);
}

TEST_CASE("a large answer without a length is bounded in memory and complete at the close")
{
    plain_world w("safe");
    const std::string large(1U << 20U, 'x');
    w.server.setBehaviour(unframed(large, ending::Close));
    const auto answer = w.request("g1", makeRequest("GET", "/p/x", "a1"));
    REQUIRE(w.await(answer));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body.size() == large.size());
}

TEST_CASE("a large answer without a length whose connection is reset does not look complete")
{
    plain_world w("safe");
    w.server.setBehaviour(
        [](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            answer->write(unframedHead(attemptOf(request)) + std::string(1U << 20U, 'x'));
        });
    const auto answer = w.request("g1", makeRequest("GET", "/p/x", "a1"));
    REQUIRE(w.runUntil([&] { return answer->body.size() == 1U << 20U; }));
    w.server.crash();
    REQUIRE(w.await(answer));
    CHECK(answer->end != http::call_end::Complete);
}

TEST_CASE("a client that reads up to the close sees a reset where an answer breaks off")
{
    plain_world w("safe");
    w.server.setBehaviour(
        [&w](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            answer->write(unframedHead(attemptOf(request)) + std::string(1U << 18U, 'x'));
            w.loop.callAfter(milliseconds{200}, [answer] { answer->reset(); });
        });
    CHECK_FALSE(w.endsInOrder("g1",
                              "GET /p/x HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                              "X-Deadline-Ms: 900\r\nApi-Key: k1\r\n\r\n"));
    w.server.setBehaviour(unframed(std::string(1U << 18U, 'x'), ending::Close));
    CHECK(w.endsInOrder("g1",
                        "GET /p/x HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a2\r\n"
                        "X-Deadline-Ms: 900\r\nApi-Key: k1\r\n\r\n"));
}

namespace {

struct stream_pair : world
{
    stream_pair()
    {
        publish(1, streamRoute(true));
        startGateway("g1");
    }
    std::shared_ptr<client_answer> ask()
    {
        auto head = makeRequest("POST", "/s/x", "a1");
        head.fields.push_back({"X-Prefix-Hash", "a:100"});
        return request("g1", head, "prompt");
    }
    /// Has the server that is asked first write `body` unframed; the other one continues.
    void setFirstAnswer(const std::string &body, ending how)
    {
        for (auto *each : {&first, &second})
            each->setBehaviour([this, body, how](const server_request &request,
                                                 const std::shared_ptr<server_answer> &answer) {
                if (first.requests().size() + second.requests().size() == 1) {
                    unframed(body, how)(request, answer);
                    return;
                }
                continuedAfter =
                    http::findField(request.head.fields, "last-event-id").value_or("none");
                answer->write(streamHead(request) + chunk(event(3)) + "0\r\n\r\n");
            });
    }
    fake_server &first = addServer("engine", "e-1");
    fake_server &second = addServer("engine", "e-2");
    std::string continuedAfter; ///< last event named to the second server
};

} // namespace

TEST_CASE("a stream without chunks that closes after an event is complete")
{
    stream_pair w;
    w.setFirstAnswer(event(1) + event(2), ending::Close);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2));
    CHECK(w.continuedAfter.empty());
}

TEST_CASE("a stream without chunks that closes inside an event was broken off and continues")
{
    stream_pair w;
    w.setFirstAnswer(event(1) + event(2) + "id: 3\nda", ending::Close);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(w.continuedAfter == "2");
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2) + event(3));
}

TEST_CASE("a stream without chunks whose connection is reset was broken off and continues")
{
    stream_pair w;
    w.setFirstAnswer(event(1) + event(2), ending::Reset);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(w.continuedAfter == "2");
    CHECK(answer->body == event(1) + event(2) + event(3));
}

TEST_CASE("events of another answer behind a stream without chunks are not forwarded")
{
    stream_pair w;
    const auto foreign = GENERATE(as<std::string>(), "id: 3\ndata: theirs\n\n", "data: theirs\n\n");
    w.setFirstAnswer(event(1) + event(2) + unframedHead("of-another") + foreign, ending::Close);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->body.find("theirs") == std::string::npos);
    CHECK(answer->body == event(1) + event(2) + event(3));
}

TEST_CASE("a stage call whose answer ends with its connection brings its results")
{
    cut_off_world w(streamRoute(true, Stages));
    w.setBehaviour(
        "q", [](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            answer->write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                          R"({"items":[{"handle":"127.0.0.1:9/1"},{"handle":"127.0.0.1:9/2"}]})");
            (void)request;
            answer->close();
        });
    CHECK(w.countStagedServed("g1") == Requests);
}

TEST_CASE("a stage call whose answer without a length is reset brings no results")
{
    cut_off_world w(streamRoute(true, Stages));
    w.setBehaviour("q", [](const server_request &, const std::shared_ptr<server_answer> &answer) {
        answer->write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                      R"({"items":[{"handle":"127.0.0.1:9/1"},{"handle":"127.0.0.1:9/2"}]})");
        answer->reset();
    });
    const auto answer = w.request("g1", makeStagedRequest(w.nextAttempt(), "2"), "x");
    REQUIRE(w.await(answer));
    CHECK(answer->status != 200);
}

TEST_CASE("an answer that ends with its connection comes whole through a relay")
{
    cut_off_world w;
    w.setBehaviour("web", unframed("all of it", ending::Close));
    w.cutFromServers("g1", cut_kind::Reset);
    w.runFor(milliseconds{300});
    const auto answer = w.startPlain("g1", "GET");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 200);
    CHECK(answer->body == "all of it");
}

TEST_CASE("an answer without a length that is reset behind a relay is not complete")
{
    cut_off_world w(plainRoute("unsafe"));
    w.setBehaviour("web", unframed("some of it", ending::Reset));
    w.cutFromServers("g1", cut_kind::Reset);
    w.runFor(milliseconds{300});
    const auto answer = w.startPlain("g1", "POST");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 502);
}

// Guards against bytes of a second answer in the body of a relayed one, which nothing separates.
TEST_CASE("bytes of another answer behind a relayed one without a length are not forwarded")
{
    cut_off_world w(plainRoute("unsafe"));
    w.setBehaviour("web", unframed("mine" + unframedHead("of-another") + "theirs", ending::Close));
    w.cutFromServers("g1", cut_kind::Reset);
    w.runFor(milliseconds{300});
    const auto answer = w.startPlain("g1", "POST");
    REQUIRE(w.await(answer));
    CHECK(answer->body.find("theirs") == std::string::npos);
    CHECK(answer->status == 502);
}
