#include "raw_peer.h"

#include <string>

using namespace orchidlead::net;
using Catch::Matchers::Contains;
using orchidlead::toName;

namespace {

/// How the test server ends a connection.
enum class connection_end { Close, Reset, StayOpen };

/// Responds to one call with exactly these bytes.
answer respondWith(const std::string &bytes, connection_end how, http_call call = {})
{
    test_loop loop;
    raw_listener listener;
    const auto client = http_client::create(*loop);
    call.address = {"127.0.0.1", listener.port()};
    call.timeout = std::chrono::milliseconds{1500};
    answer got;
    client->start(std::move(call), collect(got));
    std::optional<raw_peer> peer;
    REQUIRE(loop.runUntil([&] {
        if (!peer) {
            if (auto accepted = listener.accept())
                peer.emplace(std::move(*accepted));
        }
        return peer && peer->received().find("\r\n\r\n") != std::string::npos;
    }));
    peer->send(bytes);
    if (how == connection_end::Reset)
        loop.runUntil([&] { return bytes.empty() || got.status != 0; });
    if (how == connection_end::Reset)
        peer->reset();
    if (how == connection_end::Close)
        peer->disconnect();
    REQUIRE(loop.runUntil([&] { return got.end.has_value(); }));
    return got;
}

/// The bytes and the end of a response, and the result that the call must report.
struct response_case
{
    std::string bytes;
    connection_end how;
    call_end end;
};

} // namespace

TEST_CASE("A call reports whether its response is complete")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto given = GENERATE_COPY(values<response_case>({
        {"", connection_end::Close, call_end::Broken},
        {"", connection_end::Reset, call_end::Broken},
        {"", connection_end::StayOpen, call_end::TimedOut},
        {"HTTP/1.1 20", connection_end::Close, call_end::Broken},
        {"nonsense\r\n\r\n", connection_end::Close, call_end::Broken},
        {head + "content-length: 3\r\n\r\nabc", connection_end::StayOpen, call_end::Complete},
        {head + "content-length: 3\r\n\r\nab", connection_end::Close, call_end::Broken},
        {head + "content-length: 3\r\n\r\nab", connection_end::Reset, call_end::Broken},
        {head + "content-length: 3\r\n\r\nab", connection_end::StayOpen, call_end::TimedOut},
        {head + "content-length: 0\r\n\r\n", connection_end::StayOpen, call_end::Complete},
        {head + "content-length: x\r\n\r\n", connection_end::Close, call_end::Broken},
        {head + "content-length: 3, 3\r\n\r\nabc", connection_end::Close, call_end::Broken},
        {head + "content-length: 99999999999\r\n\r\nabc", connection_end::Close,
         call_end::TooLarge},
        {head + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", connection_end::StayOpen,
         call_end::Complete},
        {head + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", connection_end::Close,
         call_end::Complete},
        {head + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", connection_end::Close,
         call_end::Broken},
        {head + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", connection_end::Close,
         call_end::Broken},
        {head + "transfer-encoding: chunked\r\n\r\n5\r\nabc", connection_end::Close,
         call_end::Broken},
        {head + "transfer-encoding: chunked\r\n\r\nfffffff0\r\nabc", connection_end::Close,
         call_end::Broken},
        {head + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\nabc", connection_end::Close,
         call_end::Broken},
        {head + "transfer-encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         connection_end::Close, call_end::Broken},
        {head + "\r\nabc", connection_end::Close, call_end::Complete},
        {head + "\r\nabc", connection_end::Reset, call_end::Broken},
        {"HTTP/1.1 304 Not Modified\r\n\r\n", connection_end::StayOpen, call_end::Complete},
        {"HTTP/1.1 204 No Content\r\n\r\n", connection_end::StayOpen, call_end::Complete},
        {"HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n",
         connection_end::StayOpen, call_end::Complete},
        {head + "x-long: " + std::string(70000, 'v') + "\r\n\r\n", connection_end::Close,
         call_end::Broken},
    }));
    CAPTURE(given.bytes.substr(0, 200), static_cast<int>(given.how));

    const auto got = respondWith(given.bytes, given.how);

    CAPTURE(toName(*got.end));
    CHECK(*got.end == given.end);
    if (got.end == call_end::Complete && got.status == 200 && given.bytes.ends_with("abc"))
        CHECK(got.body == "abc");
}

TEST_CASE("A call that cannot be written as a request head ends as not sent")
{
    test_loop loop;
    raw_listener listener;
    auto call = callTo(listener.port());
    SECTION("line break in a value")
    {
        call.headers = {{"a", "b\r\nc: d"}};
    }
    SECTION("line break in a name")
    {
        call.headers = {{"a\r\nb", "c"}};
    }
    SECTION("space in the path")
    {
        call.path = "/a b";
    }
    SECTION("path too long")
    {
        call.path = "/" + std::string(3000, 'p');
    }
    SECTION("headers too long")
    {
        call.headers = {{"a", std::string(60000, 'v')}};
    }
    SECTION("not a numeric address")
    {
        call.address.ip = "localhost";
    }

    CHECK(callAndWait(loop, call).end == call_end::NotSent);
    if (auto peer = listener.accept())
        CHECK(peer->received().empty());
}

TEST_CASE("A call whose connection times out ends as not sent")
{
    test_loop loop;
    auto call = callTo(9);
    // Reserved for documentation: no host answers at this address, with or without a route.
    call.address.ip = "192.0.2.1";
    call.connectTimeout = std::chrono::milliseconds{50};

    CHECK(callAndWait(loop, call).end == call_end::NotSent);
}

TEST_CASE("A connection reset during a large request body ends the call as broken")
{
    test_loop loop;
    raw_listener listener;
    const auto client = http_client::create(*loop);
    answer got;
    client->start(callTo(listener.port(), std::string(20U << 20U, 'x')), collect(got));
    std::optional<raw_peer> peer;
    REQUIRE(loop.runUntil([&] {
        if (auto accepted = listener.accept())
            peer.emplace(std::move(*accepted));
        return peer.has_value();
    }));

    peer->reset();

    REQUIRE(loop.runUntil([&] { return got.end.has_value(); }));
    CHECK(got.end == call_end::Broken);
}

TEST_CASE("A call may be cancelled in any of its events")
{
    test_loop loop;
    const auto server = serve(loop, [&](http_request &&, const response_ptr &response) {
        response->begin(200, {});
        response->write("some");
        loop->callAfter(std::chrono::milliseconds{1}, [response] {
            response->write("more");
            response->finish();
        });
    });
    const auto client = http_client::create(*loop);
    const int when = GENERATE(0, 1, 2, 3);
    CAPTURE(when);
    int ends = 0;
    int reported = 0;
    call_id id = 0;
    auto call = callTo(server->port(), "x");
    call.mayStillSend = [&] {
        if (when == 0)
            client->cancel(id);
        return true;
    };
    call_events events;
    events.onHead = [&](int, const header_list &) {
        ++reported;
        if (when == 1)
            client->cancel(id);
    };
    events.onBody = [&](std::string_view) {
        ++reported;
        if (when == 2)
            client->cancel(id);
    };
    events.onEnd = [&](call_end) {
        ++ends;
        client->cancel(id);
    };
    id = client->start(call, events);
    const bool reached = loop.runUntil([&] { return when == 3 ? ends == 1 : reported == when; });
    REQUIRE(reached);
    loop.runFor(std::chrono::milliseconds{20});

    CHECK(ends == (when == 3 ? 1 : 0));
    if (when < 3)
        CHECK(reported == when);
    CHECK(loop.runUntil([&] { return server->connections() == 0; }));
}

TEST_CASE("The destructor of a client cancels its calls")
{
    test_loop loop;
    int closed = 0;
    std::vector<response_ptr> held;
    const auto server = serve(loop, [&](http_request &&, const response_ptr &response) {
        response->onClosed([&] { ++closed; });
        held.push_back(response);
    });
    auto client = http_client::create(*loop);
    answer first;
    answer second;
    client->start(callTo(server->port(), "x"), collect(first));
    client->start(callTo(server->port(), "y"), collect(second));
    REQUIRE(loop.runUntil([&] { return held.size() == 2; }));

    client.reset();

    CHECK(loop.runUntil([&] { return closed == 2; }));
    CHECK_FALSE(first.end.has_value());
    CHECK_FALSE(second.end.has_value());
}
