#include "net_test_support.h"

#include <algorithm>
#include <vector>

using namespace orchidlead::net;
using orchidlead::toName;

namespace {

/// Responds with the body of the request.
void echo(http_request &&request, const response_ptr &response)
{
    response->respond(200, {{"content-type", "text/plain"}}, std::move(request.body));
}

std::string makePattern(std::size_t size)
{
    std::string text(size, ' ');
    for (std::size_t i = 0; i < size; ++i)
        text[i] = static_cast<char>('a' + (i * 31 + i / 977) % 26);
    return text;
}

} // namespace

TEST_CASE("Bodies of different sizes arrive whole in both directions")
{
    test_loop loop;
    const auto server = serve(loop, echo);
    const auto size = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{4096},
                               std::size_t{70000}, std::size_t{5000000});
    CAPTURE(size);
    const std::string body = makePattern(size);

    const auto got = callAndWait(loop, callTo(server->port(), body));

    REQUIRE(got.end.has_value());
    CAPTURE(toName(*got.end));
    CHECK(*got.end == call_end::Complete);
    CHECK(got.status == 200);
    CHECK(got.body.size() == body.size());
    CHECK((got.body == body));
}

TEST_CASE("A handler receives method, path, query and headers")
{
    test_loop loop;
    http_request seen;
    const auto server = serve(loop, [&](http_request &&request, const response_ptr &response) {
        seen = std::move(request);
        response->respond(404, {{"retry-after", "7"}, {"x-request-id", "r1/0/1"}}, "no");
    });
    auto call = callTo(server->port());
    call.method = GENERATE("GET", "DELETE", "POST", "PUT");
    call.path = "/a/b?x=1&y=two";
    call.headers = {{"x-request-id", "r1/0/1"},
                    {"idempotency-key", "k-1"},
                    {"content-type", "application/json"}};

    const auto got = callAndWait(loop, call);

    CAPTURE(call.method);
    REQUIRE(got.end == call_end::Complete);
    CHECK(got.status == 404);
    CHECK(got.body == "no");
    CHECK(findHeader(got.headers, "retry-after") == "7");
    CHECK(findHeader(got.headers, "x-request-id") == "r1/0/1");
    CHECK(seen.method == call.method);
    CHECK(seen.path == "/a/b");
    CHECK(seen.query == "x=1&y=two");
    CHECK(findHeader(seen.headers, "x-request-id") == "r1/0/1");
    CHECK(findHeader(seen.headers, "idempotency-key") == "k-1");
    CHECK(findHeader(seen.headers, "content-type") == "application/json");
}

TEST_CASE("A response written in parts arrives whole and in order")
{
    test_loop loop;
    const auto server = serve(loop, [&](http_request &&, const response_ptr &response) {
        response->begin(200, {{"content-type", "text/event-stream"}});
        for (int i = 0; i < 5; ++i) {
            loop->callAfter(std::chrono::milliseconds{i}, [response, i] {
                response->write("part " + std::to_string(i) + "\n");
                if (i == 4)
                    response->finish();
            });
        }
    });

    const auto got = callAndWait(loop, callTo(server->port(), "x"));

    CHECK(got.end == call_end::Complete);
    CHECK(got.body == "part 0\npart 1\npart 2\npart 3\npart 4\n");
}

TEST_CASE("Concurrent calls each get their own response")
{
    constexpr std::size_t Calls = 1000;
    test_loop loop;
    const auto server = serve(loop, [&](http_request &&request, const response_ptr &response) {
        auto body = "answer to " + request.body;
        // Responds out of order.
        const std::chrono::microseconds delay{(body.size() * 7919 + body.back() * 131) % 5000};
        loop->callAfter(delay, [response, body] { response->respond(200, {}, body); });
    });
    const auto client = http_client::create(*loop);
    std::vector<answer> answers(Calls);
    std::size_t ended = 0;
    for (std::size_t i = 0; i < Calls; ++i) {
        client->start(callTo(server->port(), std::to_string(i)), collect(answers[i], [&] {
                          if (++ended == Calls)
                              loop->stop();
                      }));
    }

    REQUIRE(loop.run());

    for (std::size_t i = 0; i < Calls; ++i) {
        CAPTURE(i, answers[i].end ? toName(*answers[i].end) : "no end");
        REQUIRE(answers[i].end == call_end::Complete);
        REQUIRE(answers[i].body == "answer to " + std::to_string(i));
    }
}

TEST_CASE("A call to a closed port ends as not sent")
{
    test_loop loop;
    std::uint16_t port = 0;
    {
        const auto server = serve(loop, echo);
        port = server->port();
    }
    bool asked = false;
    auto call = callTo(port, "x");
    call.mayStillSend = [&] { return asked = true; };

    const auto got = callAndWait(loop, call);

    CHECK(got.end == call_end::NotSent);
    CHECK_FALSE(asked);
}

TEST_CASE("A call is not sent if mayStillSend returns false")
{
    test_loop loop;
    int requests = 0;
    const auto server = serve(loop, [&](http_request &&request, const response_ptr &response) {
        ++requests;
        echo(std::move(request), response);
    });
    auto call = callTo(server->port(), "x");
    call.mayStillSend = [] { return false; };

    const auto got = callAndWait(loop, call);
    loop.runFor(std::chrono::milliseconds{20});

    CHECK(got.end == call_end::NotSent);
    CHECK(requests == 0);
}

TEST_CASE("A call without a response in time ends as timed out")
{
    test_loop loop;
    response_ptr held;
    const auto server =
        serve(loop, [&](http_request &&, response_ptr response) { held = std::move(response); });
    auto call = callTo(server->port(), "x");
    call.timeout = std::chrono::milliseconds{800};

    CHECK(callAndWait(loop, call).end == call_end::TimedOut);
    REQUIRE(held);
    CHECK(loop.runUntil([&] { return !held->open(); }));
}

TEST_CASE("An incomplete response ends the call as broken")
{
    test_loop loop;
    const bool declared = GENERATE(false, true);
    const bool finished = GENERATE(false, true);
    CAPTURE(declared, finished);
    if (!declared && finished)
        return; // a complete response
    const auto server = serve(loop, [&](http_request &&, const response_ptr &response) {
        const header_list length{{"content-length", "100"}};
        response->begin(200, declared ? length : header_list{});
        response->write("only this");
        if (finished)
            response->finish();
    });

    const auto got = callAndWait(loop, callTo(server->port(), "x"));

    CHECK(got.status == 200);
    CHECK(got.body == "only this");
    REQUIRE(got.end.has_value());
    CAPTURE(toName(*got.end));
    CHECK(*got.end == call_end::Broken);
}

TEST_CASE("A connection closed without a response ends the call as broken")
{
    test_loop loop;
    const auto server = serve(loop, [](http_request &&, const response_ptr &) {});

    CHECK(callAndWait(loop, callTo(server->port(), "x")).end == call_end::Broken);
}

TEST_CASE("The disconnection of a client is reported once")
{
    test_loop loop;
    const std::string method = GENERATE("GET", "POST");
    const bool begun = GENERATE(false, true);
    CAPTURE(method, begun);
    response_ptr held;
    int closed = 0;
    const auto server = serve(loop, [&](http_request &&, response_ptr response) {
        if (begun)
            response->begin(200, {});
        response->onClosed([&] { ++closed; });
        held = std::move(response);
    });
    const auto client = http_client::create(*loop);
    auto call = callTo(server->port(), method == "POST" ? "x" : "");
    call.method = method;
    answer got;
    const auto id = client->start(call, collect(got));
    REQUIRE(loop.runUntil([&] { return held != nullptr; }));

    client->cancel(id);

    CHECK(loop.runUntil([&] { return closed > 0; }));
    CHECK(closed == 1);
    CHECK_FALSE(held->open());
    CHECK_FALSE(got.end.has_value());
    held->write("after the end");
    held->finish();
    CHECK(loop.runUntil([&] { return server->connections() == 0; }));
}

TEST_CASE("A response that exceeds its limit ends the call as too large")
{
    test_loop loop;
    const bool whole = GENERATE(false, true);
    const auto server = serve(loop, [&](http_request &&, const response_ptr &response) {
        if (whole) {
            response->respond(200, {}, std::string(2000, 'x'));
            return;
        }
        response->begin(200, {});
        response->write(std::string(2000, 'x'));
        response->finish();
    });
    auto call = callTo(server->port(), "x");
    call.maxResponseBytes = 1000;

    CHECK(callAndWait(loop, call).end == call_end::TooLarge);
}

TEST_CASE("The queue for a client that does not read stays within the limit")
{
    test_loop loop;
    constexpr std::size_t Bound = 1U << 20U;
    http_server_options options;
    options.maxQueuedResponseBytes = Bound;
    response_ptr held;
    bool closed = false;
    std::size_t maxQueuedBytes = 0;
    std::function<void()> produce = [&] {
        if (!held->open())
            return;
        held->write(std::string(1U << 16U, 'x'));
        maxQueuedBytes = std::max(maxQueuedBytes, held->queuedBytes());
        loop->callAfter(std::chrono::microseconds{10}, produce);
    };
    const auto server = serve(
        loop,
        [&](http_request &&, response_ptr response) {
            held = std::move(response);
            held->onClosed([&] { closed = true; });
            held->begin(200, {});
            produce();
        },
        options);
    const auto client = http_client::create(*loop);
    answer got;
    auto events = collect(got);
    call_id id = 0;
    events.onHead = [&](int, const header_list &) { client->setReading(id, false); };
    id = client->start(callTo(server->port(), "x"), events);

    CHECK(loop.runUntil([&] { return closed; }));
    CHECK(maxQueuedBytes <= Bound + (1U << 17U));
    CHECK(got.body.size() < (64U << 10U));
}

TEST_CASE("Reading resumes where it was paused")
{
    test_loop loop;
    const std::string body = makePattern(3000000);
    const auto server = serve(loop, [&](http_request &&, const response_ptr &response) {
        response->respond(200, {}, body);
    });
    const auto client = http_client::create(*loop);
    answer got;
    call_id id = 0;
    auto events = collect(got, [&] { loop->stop(); });
    int stops = 0;
    events.onBody = [&](std::string_view bytes) {
        got.body += bytes;
        if (++stops % 8 != 0)
            return;
        client->setReading(id, false);
        loop->callAfter(std::chrono::milliseconds{1}, [&] { client->setReading(id, true); });
    };
    id = client->start(callTo(server->port(), "x"), events);

    REQUIRE(loop.run());
    CHECK(got.end == call_end::Complete);
    CHECK(got.body.size() == body.size());
    CHECK((got.body == body));
}
