#include "platform_world.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

struct stream_world : world
{
    explicit stream_world(bool resumable)
    {
        publish(1, streamRoute(resumable));
        startGateway("g1");
    }
    std::shared_ptr<client_answer> ask()
    {
        auto head = makeRequest("POST", "/s/x", "a1");
        head.fields.push_back({"X-Prefix-Hash", "a:100,b:50"});
        return request("g1", head, "prompt");
    }
    std::size_t arrivals() { return first.requests().size() + second.requests().size(); }

    fake_server &first = addServer("engine", "e-1");
    fake_server &second = addServer("engine", "e-2");
};

} // namespace

TEST_CASE("events of a stream are forwarded as they arrive")
{
    stream_world w(false);
    std::shared_ptr<server_answer> open;
    const auto behaviour = [&](const server_request &request,
                               const std::shared_ptr<server_answer> &answer) {
        open = answer;
        answer->write(streamHead(request) + chunk(event(1) + "id: 2\nda"));
    };
    w.first.setBehaviour(behaviour);
    w.second.setBehaviour(behaviour);
    const auto answer = w.ask();
    REQUIRE(w.runUntil([&] { return answer->body == event(1); }));
    CHECK(answer->field("x-instance-signature") == "sig");
    open->write(chunk("ta: token\n\n") + "0\r\n\r\n");
    REQUIRE(w.await(answer));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2));
}

TEST_CASE("a broken stream continues on another server without missing or repeated events")
{
    stream_world w(true);
    const auto behaviour = [&](const server_request &request,
                               const std::shared_ptr<server_answer> &answer) {
        if (w.arrivals() == 1) {
            answer->write(streamHead(request) + chunk(event(1) + event(2) + "id: 3\nda"));
            answer->reset();
            return;
        }
        CHECK(http::findField(request.head.fields, "last-event-id") == "2");
        answer->write(streamHead(request) + chunk(event(3) + event(4)) + "0\r\n\r\n");
    };
    w.first.setBehaviour(behaviour);
    w.second.setBehaviour(behaviour);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2) + event(3) + event(4));
    CHECK(w.first.requests().size() == 1);
    CHECK(w.second.requests().size() == 1);
}

TEST_CASE("a broken stream that can't be resumed is aborted for its client")
{
    stream_world w(false);
    const auto behaviour = [](const server_request &request,
                              const std::shared_ptr<server_answer> &answer) {
        answer->write(streamHead(request) + chunk(event(1)));
        answer->close();
    };
    w.first.setBehaviour(behaviour);
    w.second.setBehaviour(behaviour);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->end != http::call_end::Complete);
    CHECK(w.arrivals() == 1);
}

TEST_CASE("a resumable stream that becomes idle continues on another server")
{
    stream_world w(true);
    const auto behaviour = [&](const server_request &request,
                               const std::shared_ptr<server_answer> &answer) {
        if (w.arrivals() == 1)
            answer->write(streamHead(request) + chunk(event(1)));
        else
            answer->write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
    };
    w.first.setBehaviour(behaviour);
    w.second.setBehaviour(behaviour);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2));
}

// Guards against logs from which a gap in the events of a server can't be told from a broken
// connection.
TEST_CASE("the log names the events of each attempt of a stream and the defect of its answer")
{
    stream_world w(true);
    const auto behaviour = [&](const server_request &request,
                               const std::shared_ptr<server_answer> &answer) {
        if (w.arrivals() == 1)
            answer->write(streamHead(request) + chunk(event(1) + event(2) + event(4)));
        else
            answer->write(streamHead(request) + chunk(event(2) + event(3)) + "0\r\n\r\n");
    };
    w.first.setBehaviour(behaviour);
    w.second.setBehaviour(behaviour);
    const auto answer = w.ask();
    REQUIRE(w.await(answer));
    CHECK(answer->body == event(1) + event(2) + event(3));
    const auto isLogged = [&](const std::string &fields) {
        return w.runUntil([&] { return w.logOutput.str().find(fields) != std::string::npos; });
    };
    CHECK(isLogged("abandoned=unusable"));
    CHECK(isLogged("first_event=1 last_event=2 defect=missing_events"));
    CHECK(isLogged("first_event=2 last_event=3 left_out_events=1"));
}

// Guards against a stream that looks complete though its client's deadline ended it, or its gateway
// did.
TEST_CASE("a stream that its gateway ends doesn't look complete")
{
    stream_world w(true);
    const auto behaviour = [](const server_request &request,
                              const std::shared_ptr<server_answer> &answer) {
        answer->write(streamHead(request) + chunk(event(1) + event(2)));
    };
    w.first.setBehaviour(behaviour);
    w.second.setBehaviour(behaviour);
    const bool killed = GENERATE(false, true);
    const auto answer = w.ask();
    REQUIRE(w.runUntil([&] { return answer->body == event(1) + event(2); }));
    if (killed)
        w.killGateway("g1");
    REQUIRE(w.await(answer));
    CHECK(answer->end != http::call_end::Complete);
    CHECK(answer->body == event(1) + event(2));
}

// Guards against the same for a client that reads up to the end of the connection.
TEST_CASE("a stream that reaches its deadline is reset for a client that reads up to the close")
{
    stream_world w(true);
    const auto behaviour = [](const server_request &request,
                              const std::shared_ptr<server_answer> &answer) {
        answer->write(streamHead(request) + chunk(event(1)));
    };
    w.first.setBehaviour(behaviour);
    w.second.setBehaviour(behaviour);
    CHECK_FALSE(w.endsInOrder("g1",
                              "POST /s/x HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                              "X-Deadline-Ms: 900\r\nApi-Key: k1\r\nX-Prefix-Hash: a:9\r\n"
                              "Content-Length: 1\r\n\r\nx"));
}
