#include "raw_peer.h"

#include <functional>
#include <string>
#include <vector>

using namespace orchidlead::net;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

namespace {

using std::chrono::milliseconds;

/// Responds with the method, path and body of the request.
void describe(http_request &&request, const response_ptr &response)
{
    response->respond(200, {}, request.method + " " + request.path + " " + request.body);
}

/// Sends bytes one at a time, 10 ms apart, until all are sent or this object is destroyed.
class slow_sender
{
public:
    slow_sender(test_loop &loop, raw_peer &peer, std::string bytes)
        : m_loop(loop)
        , m_peer(peer)
        , m_bytes(std::move(bytes))
    {
        next();
    }
    ~slow_sender() { m_loop->cancelTimer(m_timer); }
    slow_sender(const slow_sender &) = delete;
    slow_sender &operator=(const slow_sender &) = delete;

private:
    void next()
    {
        if (m_sent == m_bytes.size())
            return;
        m_peer.send(m_bytes.substr(m_sent++, 1));
        m_timer = m_loop->callAfter(milliseconds{10}, [this] { next(); });
    }

    test_loop &m_loop;
    raw_peer &m_peer;
    std::string m_bytes;
    std::size_t m_sent = 0;
    timer_id m_timer = 0;
};

bool hasBody(raw_peer &peer, const std::string &body)
{
    return peer.received().ends_with(body);
}

} // namespace

TEST_CASE("A body that exceeds the limit is refused before it is sent")
{
    test_loop loop;
    http_server_options options;
    options.maxBodyBytes = 1000;
    int handled = 0;
    const auto server = serve(
        loop, [&](http_request &&, const response_ptr &) { ++handled; }, options);
    raw_peer client(server->port());

    client.send("POST /run HTTP/1.1\r\nhost: x\r\ncontent-length: 100000000\r\n\r\nfirst bytes");

    REQUIRE(loop.runUntil([&] { return client.received().ends_with("}"); }));
    CHECK_THAT(client.received(), StartsWith("HTTP/1.1 413 "));
    CHECK_THAT(client.received(), Contains(R"("outcome":"not_run","reason":"too_large")"));
    CHECK(handled == 0);
    CHECK(loop.runUntil([&] { return server->connections() == 0; }));
}

TEST_CASE("A client that keeps sending a refused body is disconnected")
{
    test_loop loop;
    http_server_options options;
    options.maxBodyBytes = 1000;
    const auto server = serve(loop, describe, options);
    raw_peer client(server->port());
    client.send("POST /run HTTP/1.1\r\nhost: x\r\ncontent-length: 100000000\r\n\r\n");
    const slow_sender more(loop, client, std::string(10000, 'x'));

    CHECK(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), StartsWith("HTTP/1.1 413 "));
}

TEST_CASE(
    "The total size of concurrent bodies is limited, and bodies passed to the handler do not count")
{
    test_loop loop;
    http_server_options options;
    options.maxBufferedBodyBytes = 1000;
    std::vector<response_ptr> held;
    const auto server = serve(
        loop, [&](http_request &&, response_ptr response) { held.push_back(std::move(response)); },
        options);
    const std::string head = "POST / HTTP/1.1\r\ncontent-length: 600\r\n\r\n";
    raw_peer first(server->port());
    first.send(head + std::string(599, 'a'));
    raw_peer second(server->port());
    second.send(head + std::string(599, 'b'));

    // The body that exceeds the limit is refused; either may be the later one.
    REQUIRE(loop.runUntil([&] { return first.ended() || second.ended(); }));
    raw_peer &refused = first.ended() ? first : second;
    raw_peer &kept = first.ended() ? second : first;
    CHECK_THAT(refused.received(), StartsWith("HTTP/1.1 503 "));
    CHECK_THAT(refused.received(), Contains("retry-after: 1"));
    CHECK(kept.received().empty());
    kept.send("x");
    REQUIRE(loop.runUntil([&] { return held.size() == 1; }));
    raw_peer third(server->port());
    third.send(head + std::string(300, 'c'));
    REQUIRE(loop.runUntil([&] { return server->connections() >= 2; }));
    third.disconnect();
    REQUIRE(loop.runUntil([&] { return server->connections() == 1; }));
    raw_peer fourth(server->port());
    fourth.send(head + std::string(600, 'd'));
    CHECK(loop.runUntil([&] { return held.size() == 2; }));
}

TEST_CASE("A head that exceeds the limit is refused")
{
    test_loop loop;
    http_server_options options;
    options.maxHeaderBytes = 4000;
    const std::size_t size = GENERATE(4100, 31000, 50000);
    const std::string name = GENERATE("cookie", "x-unheard-of", "x-request-id");
    CAPTURE(size, name);
    const auto server = serve(loop, describe, options);
    raw_peer client(server->port());

    client.send("GET / HTTP/1.1\r\nhost: x\r\n" + name + ": " + std::string(size, 'v')
                + "\r\n\r\n");

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), StartsWith("HTTP/1.1 431 "));
    CHECK(server->connections() == 0);
}

TEST_CASE("A head too large to be parsed closes the connection")
{
    test_loop loop;
    int handled = 0;
    const auto server = serve(loop, [&](http_request &&, const response_ptr &) { ++handled; });
    raw_peer client(server->port());

    client.send("GET / HTTP/1.1\r\nhost: x\r\ncookie: " + std::string(100000, 'v'));

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK(handled == 0);
    CHECK(server->connections() == 0);
}

TEST_CASE("A client that sends byte by byte is refused when the request times out")
{
    test_loop loop;
    http_server_options options;
    options.requestTimeout = milliseconds{500};
    const auto server = serve(loop, describe, options);
    raw_peer client(server->port());
    std::string slow;
    SECTION("in the head")
    {
        slow = "GET / HTTP/1.1\r\nx-long: " + std::string(5000, 'v');
    }
    SECTION("in the body")
    {
        client.send("POST / HTTP/1.1\r\ncontent-length: 5000\r\n\r\n");
        slow = std::string(5000, 'b');
    }
    SECTION("in its second request")
    {
        client.send("GET /1 HTTP/1.1\r\n\r\n");
        REQUIRE(loop.runUntil([&] { return hasBody(client, "GET /1 "); }));
        slow = "GET / HTTP/1.1\r\nx-long: " + std::string(5000, 'v');
    }
    const slow_sender bytes(loop, client, slow);

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), Contains("HTTP/1.1 408 "));
}

TEST_CASE("An idle connection is closed without a response")
{
    test_loop loop;
    http_server_options options;
    options.requestTimeout = milliseconds{300};
    options.idleTimeout = milliseconds{600};
    const auto server = serve(loop, describe, options);
    raw_peer client(server->port());
    if (GENERATE(false, true)) {
        client.send("GET /1 HTTP/1.1\r\n\r\n");
        REQUIRE(loop.runUntil([&] { return hasBody(client, "GET /1 "); }));
    }

    CHECK(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), !Contains("408"));
}

TEST_CASE("A malformed request is refused")
{
    test_loop loop;
    int handled = 0;
    const auto server = serve(loop, [&](http_request &&, const response_ptr &) { ++handled; });
    const std::string bytes = GENERATE(
        as<std::string>{}, "BREW / HTTP/1.1\r\nhost: x\r\n\r\n", "\x01\x02\x03 garbage\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 3, 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\ncontent-length: -3\r\n\r\nabc",
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        "CONNECT x:1 HTTP/1.1\r\n\r\n");
    CAPTURE(bytes);
    raw_peer client(server->port());

    client.send(bytes);

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), StartsWith("HTTP/1.1 40"));
    CHECK(handled == 0);
    CHECK(server->connections() == 0);
}

TEST_CASE("A chunked request is refused, since libwebsockets does not support it")
{
    test_loop loop;
    int handled = 0;
    const auto server = serve(loop, [&](http_request &&, const response_ptr &) { ++handled; });
    raw_peer client(server->port());

    client.send("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), StartsWith("HTTP/1.1 411 "));
    CHECK(handled == 0);
}

TEST_CASE("A request without a content length is handled without a body")
{
    test_loop loop;
    const auto server = serve(loop, describe);
    raw_peer client(server->port());

    client.send("POST /drain HTTP/1.1\r\nhost: x\r\n\r\n");

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), StartsWith("HTTP/1.1 200 "));
    CHECK(hasBody(client, "POST /drain "));
}

TEST_CASE("A protocol upgrade is refused")
{
    test_loop loop;
    const auto server = serve(loop, describe);
    const std::string to = GENERATE("websocket", "h2c");
    raw_peer client(server->port());

    client.send("GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: " + to + "\r\n\r\n");

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), StartsWith("HTTP/1.1 501 "));
}

TEST_CASE("A request with expect 100-continue gets an interim response")
{
    test_loop loop;
    const auto server = serve(loop, describe);
    raw_peer client(server->port());

    client.send("POST /a HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n");
    REQUIRE(loop.runUntil([&] { return client.received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    client.send("abc");

    CHECK(loop.runUntil([&] { return hasBody(client, "POST /a abc"); }));
}

TEST_CASE("Connections that exceed the limit are refused")
{
    test_loop loop;
    http_server_options options;
    options.maxConnections = 2;
    const auto server = serve(loop, describe, options);
    raw_peer first(server->port());
    raw_peer second(server->port());
    REQUIRE(loop.runUntil([&] { return server->connections() == 2; }));

    raw_peer third(server->port());

    REQUIRE(loop.runUntil([&] { return third.ended(); }));
    CHECK_THAT(third.received(), StartsWith("HTTP/1.1 503 "));
    first.disconnect();
    REQUIRE(loop.runUntil([&] { return server->connections() == 1; }));
    raw_peer fourth(server->port());
    fourth.send("GET /4 HTTP/1.1\r\n\r\n");
    CHECK(loop.runUntil([&] { return hasBody(fourth, "GET /4 "); }));
}

TEST_CASE("Pipelined requests are answered in order, each with its own response")
{
    test_loop loop;
    // Later requests have shorter delays, so they would complete first if handled concurrently.
    int delay = 9;
    std::vector<std::string> seen;
    const auto server = serve(loop, [&](http_request &&request, const response_ptr &response) {
        seen.push_back(request.path);
        const auto text = "<" + request.path + request.body + ">";
        delay -= 2;
        loop->callAfter(milliseconds{delay},
                        [response, text] { response->respond(200, {}, text); });
    });
    raw_peer client(server->port());

    client.send("POST /1 HTTP/1.1\r\ncontent-length: 3\r\n\r\nabcGET /2 HTTP/1.1\r\n\r\n"
                "DELETE /3 HTTP/1.1\r\n\r\nGET /4 HTTP/1.1\r\n\r\n");

    REQUIRE(loop.runUntil([&] { return hasBody(client, "</4>"); }));
    CHECK(seen == std::vector<std::string>{"/1", "/2", "/3", "/4"});
    const auto &got = client.received();
    CHECK(got.find("</1abc>") < got.find("</2>"));
    CHECK(got.find("</2>") < got.find("</3>"));
    CHECK(got.find("</3>") < got.find("</4>"));
}

// libwebsockets 4.1.6 delivers the start of the head of such a request as its body, and then loops.
TEST_CASE("A pipelined request with a body is refused")
{
    test_loop loop;
    std::vector<std::string> seen;
    const auto server = serve(loop, [&](http_request &&request, const response_ptr &response) {
        seen.push_back(request.path + " " + request.body);
        response->respond(200, {}, "<" + request.path + ">");
    });
    raw_peer client(server->port());
    const std::string first = GENERATE(as<std::string>{}, "GET /1 HTTP/1.1\r\n\r\n",
                                       "POST /1 HTTP/1.1\r\ncontent-length: 0\r\n\r\n");

    client.send(first + "POST /2 HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc");

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK(seen == std::vector<std::string>{"/1 "});
    CHECK_THAT(client.received(), Contains("</1>"));
    CHECK_THAT(client.received(), Contains("HTTP/1.1 400 "));
}

TEST_CASE("The disconnection of a client is detected although it has pipelined a request")
{
    test_loop loop;
    bool closed = false;
    response_ptr held;
    const auto server = serve(loop, [&](http_request &&, response_ptr response) {
        held = std::move(response);
        held->onClosed([&] { closed = true; });
    });
    raw_peer client(server->port());
    const std::string first = GENERATE(as<std::string>{}, "GET /1 HTTP/1.1\r\n\r\n",
                                       "POST /1 HTTP/1.1\r\ncontent-length: 1\r\n\r\nx");
    CAPTURE(first);
    client.send(first + "GET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(loop.runUntil([&] { return held != nullptr; }));

    client.disconnect();

    CHECK(loop.runUntil([&] { return closed; }));
}

TEST_CASE("A stopping server closes each connection after its response")
{
    test_loop loop;
    const auto server = serve(loop, describe);
    raw_peer client(server->port());
    client.send("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(loop.runUntil([&] { return hasBody(client, "GET /1 "); }));
    CHECK_FALSE(client.ended());

    server->stopKeepAlive();
    server->stopListening();
    client.send("GET /2 HTTP/1.1\r\n\r\n");

    REQUIRE(loop.runUntil([&] { return client.ended(); }));
    CHECK_THAT(client.received(), Contains("connection: close"));
    CHECK(hasBody(client, "GET /2 "));
    CHECK(callAndWait(loop, callTo(server->port())).end == call_end::NotSent);
}

TEST_CASE("The port of a server is free as soon as the server is destroyed")
{
    test_loop loop;
    auto server = serve(loop, describe);
    const auto port = server->port();
    raw_peer client(port);
    client.send("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(loop.runUntil([&] { return hasBody(client, "GET /1 "); }));

    server.reset();
    http_server_options options;
    options.listen = {"127.0.0.1", port};
    auto next = http_server::create(*loop, options, describe);

    REQUIRE(next.has_value());
    CHECK(loop.runUntil([&] { return client.ended(); }));
    CHECK(callAndWait(loop, callTo(port)).end == call_end::Complete);
}

TEST_CASE("Servers of one loop on the same port of different addresses are independent")
{
    test_loop loop;
    const auto first = serve(loop, [](http_request &&, const response_ptr &response) {
        response->respond(200, {}, "first");
    });
    http_server_options options;
    options.listen = {"127.0.0.2", first->port()};
    auto second =
        http_server::create(*loop, options, [](http_request &&, const response_ptr &response) {
            response->respond(200, {}, "second");
        });
    REQUIRE(second.has_value());
    auto call = callTo(first->port());
    CHECK(callAndWait(loop, call).body == "first");
    call.address.ip = "127.0.0.2";
    CHECK(callAndWait(loop, call).body == "second");
}
