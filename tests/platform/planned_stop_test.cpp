// Planned stops of gateway processes: each request that was read has an answer before the process
// ends, and the answer is true.
#include "cut_off_world.h"
#include "gateway_process.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr milliseconds Grace{4000};
/// Longer than the grace, so that no request ends by a timeout of its own.
constexpr int LongTimeoutMs = 20'000;

std::string withTimeout(std::string route)
{
    for (const std::string key : {R"("timeout_ms":)", R"("target_latency_ms":)"}) {
        const auto value = route.find(key) + key.size();
        route.replace(value, route.find(',', value) - value, std::to_string(LongTimeoutMs));
    }
    return route;
}

/// Gives a route another path and name, so that several of its kind can be published.
std::string at(const std::string &path, std::string route)
{
    const std::string key = R"("path_prefix":")";
    const auto value = route.find(key) + key.size();
    route.replace(value, route.find('"', value) - value, "/" + path + "/");
    const std::string name = R"({"name":")";
    return route.replace(0, route.find('"', name.size()), name + path);
}

/// One gateway process and servers of which `web` and `engine` do what a test says. A stage server
/// doesn't answer.
class stop_world : public process_world
{
public:
    stop_world()
    {
        stopGrace = Grace;
        publish(1,
                at("unsafe", withTimeout(plainRoute("unsafe", 1))) + ","
                    + at("safe", withTimeout(plainRoute("safe"))) + ","
                    + at("resumable", withTimeout(streamRoute(true))) + ","
                    + at("single", withTimeout(streamRoute(false))) + ","
                    + at("staged", withTimeout(streamRoute(true, Stages))),
                Services);
        for (const auto *service : {"web", "engine", "q"})
            addServer(service, std::string(service) + "-1")
                .setBehaviour([](const auto &, const auto &) {});
        gateways = std::make_unique<gateway_processes>(*this, std::vector<std::string>{"z"});
        gateways->start(0);
        REQUIRE(runUntil([&] { return gateways->isReady(0); }, milliseconds{20'000}));
    }

    [[nodiscard]] static http::request_head head(const std::string &path,
                                                 const std::string &attempt)
    {
        auto made = makeRequest("POST", "/" + path + "/x", attempt);
        made.fields[2].value = std::to_string(LongTimeoutMs);
        if (path == "staged") {
            made.fields.push_back({"X-Chunk-Count", "1"});
            made.fields.push_back({"X-Chunk-Key", "key"});
        }
        return made;
    }
    std::shared_ptr<client_answer> ask(const std::string &path, const std::string &attempt)
    {
        auto answer = std::make_shared<client_answer>();
        startRequestAt(gateways->clientAddress(0), head(path, attempt), "body", answer);
        return answer;
    }
    void stop()
    {
        stoppedAt = clock.now();
        gateways->terminate(0);
    }
    [[nodiscard]] milliseconds sinceStop() const
    {
        return std::chrono::duration_cast<milliseconds>(clock.now() - stoppedAt);
    }
    /// Waits until the process has ended by itself; returns whether it does within the grace.
    bool endsInGrace()
    {
        return runUntil([&] { return !gateways->isRunning(0); }, Grace - sinceStop());
    }

    std::unique_ptr<gateway_processes> gateways;
    steady_time stoppedAt{};
};

/// A client that sends a part of a request and doesn't read.
struct silent_client final : http::stream_events
{
    silent_client(world &w, const socket_address &to, std::string sent)
        : bytes(std::move(sent))
        , socket(http::stream_socket::connect(w.loop, to, *this))
    { }
    ~silent_client() override { socket->close(); }
    silent_client(const silent_client &) = delete;
    silent_client &operator=(const silent_client &) = delete;

    void onConnected() override { socket->write(bytes); }
    void onBytes(std::string_view got) override { received.append(got); }
    void onEnd(bool inOrder) override
    {
        ended = true;
        endedInOrder = inOrder;
    }

    std::string bytes;
    std::string received;
    bool ended = false;
    bool endedInOrder = false;
    std::shared_ptr<http::stream_socket> socket;
};

} // namespace

// Guards against connections that the process closes without an answer as it ends, while requests
// wait at busy servers.
TEST_CASE("requests that wait at their servers have an answer before a planned stop completes")
{
    stop_world w;
    const std::vector<std::string> paths{"unsafe", "safe", "resumable", "single"};
    std::vector<std::shared_ptr<client_answer>> answers;
    for (const auto &each : paths)
        answers.push_back(w.ask(each, "a-" + each));
    REQUIRE(w.runUntil([&] {
        return w.server("web-1").requests().size() == 2
            && w.server("engine-1").requests().size() == 2;
    }));
    w.stop();
    for (std::size_t i = 0; i < paths.size(); ++i) {
        CAPTURE(paths[i]);
        CHECK(w.await(answers[i], Grace));
        CHECK(answers[i]->status == 504);
        CHECK(answers[i]->end == http::call_end::Complete);
        CHECK(answers[i]->field("connection") == "close");
    }
    CHECK(w.endsInGrace());
}

// Guards against "not run" for a request that a server may have begun, and against no answer for
// one that none has.
TEST_CASE("requests that reached no server are refused before a planned stop completes")
{
    stop_world w;
    const auto staged = w.ask("staged", "a1");
    REQUIRE(w.runUntil([&] { return !w.server("q-1").requests().empty(); }));
    w.stop();
    // A body without progress for 3 s gets 408, so this one begins later.
    w.runFor(milliseconds{1000});
    silent_client uploading(w, w.gateways->clientAddress(0),
                            "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a2\r\n"
                            "X-Deadline-Ms: 20000\r\nApi-Key: k1\r\nContent-Length: 100\r\n\r\nx");
    REQUIRE(w.await(staged, Grace));
    CHECK(staged->status == 503);
    CHECK(staged->end == http::call_end::Complete);
    CHECK(w.endsInGrace());
    CHECK(w.runUntil([&] { return uploading.ended; }));
    CHECK(uploading.received.starts_with("HTTP/1.1 503"));
    CHECK(uploading.received.find("Retry-After") != std::string::npos);
    CHECK(uploading.endedInOrder);
    CHECK(w.server("web-1").requests().empty());
    CHECK(w.server("engine-1").requests().empty());
}

// Guards against giving up requests whose answer comes late in the grace.
TEST_CASE("an answer that comes shortly before the end of a planned stop is delivered whole")
{
    stop_world w;
    constexpr milliseconds Work{3300};
    for (const auto *service : {"web", "engine"})
        w.server(std::string(service) + "-1")
            .setBehaviour(
                [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
                    w.loop.callAfter(Work, [request, answer] {
                        if (request.head.target == "/unsafe/x")
                            answer->write(signedAnswer(request, "late"));
                        else
                            answerOneEvent(request, answer);
                    });
                });
    const auto plain = w.ask("unsafe", "a1");
    const auto stream = w.ask("single", "a2");
    REQUIRE(w.runUntil([&] {
        return !w.server("web-1").requests().empty() && !w.server("engine-1").requests().empty();
    }));
    w.stop();
    REQUIRE(w.await(plain, Grace));
    REQUIRE(w.await(stream, Grace));
    CHECK(plain->status == 200);
    CHECK(plain->body == "late");
    CHECK(stream->status == 200);
    CHECK(stream->body == event(1));
    CHECK(stream->end == http::call_end::Complete);
}

// Guards against a broken-off stream that looks complete, and against work that goes on at the
// server of a request that has ended.
TEST_CASE("a stream that a planned stop breaks off doesn't look complete and ends at its server")
{
    stop_world w;
    w.server("engine-1")
        .setBehaviour(
            [](const server_request &request, const std::shared_ptr<server_answer> &answer) {
                answer->write(streamHead(request) + chunk(event(1)));
            });
    const auto stream = w.ask("single", "a1");
    REQUIRE(w.runUntil([&] { return !stream->body.empty(); }));
    w.stop();
    CHECK(w.await(stream, Grace));
    CHECK(stream->end != http::call_end::Complete);
    CHECK(w.runUntil([&] { return w.server("engine-1").openConnections() == 0; }));
    CHECK(w.endsInGrace());
}

// Guards against a process that waits for a client until it is killed.
TEST_CASE("a planned stop completes although a client doesn't read its answer")
{
    stop_world w;
    const std::string body(8U << 20U, 'x');
    w.server("web-1").setBehaviour(
        [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            answer->write(signedAnswer(request, body));
        });
    silent_client client(w, w.gateways->clientAddress(0),
                         "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                         "X-Deadline-Ms: 20000\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n");
    client.socket->setReading(false);
    REQUIRE(w.runUntil([&] { return !w.server("web-1").requests().empty(); }));
    w.stop();
    CHECK(w.endsInGrace());
}

namespace {

/// A process that stops while one stream keeps it from ending, and a server whose time of work was
/// seen before.
struct late_world : stop_world
{
    explicit late_world(milliseconds work)
    {
        server("web-1").setBehaviour([this, work](const server_request &request,
                                                  const std::shared_ptr<server_answer> &answer) {
            loop.callAfter(work, [request, answer] { answer->write(signedAnswer(request, "x")); });
        });
        constexpr int Earlier = 6;
        std::vector<std::shared_ptr<client_answer>> answers;
        for (int i = 0; i < Earlier; ++i)
            answers.push_back(ask("unsafe", "e" + std::to_string(i)));
        for (const auto &each : answers) {
            REQUIRE(await(each));
            REQUIRE(each->status == 200);
        }
        open = ask("single", "open");
        REQUIRE(runUntil([&] { return !server("engine-1").requests().empty(); }));
        stop();
    }
    /// Sends a request this long after the stop signal, and waits until it ends.
    std::shared_ptr<client_answer> askAt(milliseconds time)
    {
        runFor(time - sinceStop());
        const auto answer = ask("unsafe", "late");
        const auto began = clock.now();
        REQUIRE(await(answer, Grace));
        took = std::chrono::duration_cast<milliseconds>(clock.now() - began);
        return answer;
    }
    [[nodiscard]] bool lateArrived()
    {
        return std::ranges::any_of(server("web-1").requests(), [](const server_request &each) {
            return http::findField(each.head.fields, "x-attempt-id") == "late";
        });
    }

    std::shared_ptr<client_answer> open;
    milliseconds took{0};
};

} // namespace

// Guards against refusing requests late in the grace that would be served in time.
TEST_CASE("a request late in a planned stop is served if it is known to end in time")
{
    late_world w(milliseconds{50});
    const auto answer = w.askAt(milliseconds{3050});
    CHECK(answer->status == 200);
    CHECK(answer->field("connection") == "close");
}

// Guards against requests that are taken although their answer can't come before the process ends.
TEST_CASE("a request in a planned stop that can't end in time is refused at once as not run")
{
    const auto [work, time] = GENERATE(std::pair{milliseconds{900}, milliseconds{3050}},
                                       std::pair{milliseconds{2200}, milliseconds{1800}});
    CAPTURE(work.count(), time.count());
    late_world w(work);
    const auto answer = w.askAt(time);
    CHECK(answer->status == 503);
    CHECK_FALSE(answer->field("retry-after").empty());
    CHECK(answer->field("connection") == "close");
    CHECK(w.took < milliseconds{300});
    CHECK_FALSE(w.lateArrived());
}
