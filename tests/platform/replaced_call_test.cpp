#include "platform_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int Engines = 3;
constexpr int EventsPerStream = 14;
constexpr milliseconds EventInterval{40};
/// How many times as long the work of a slow server takes: its events are further apart than a
/// stream may be idle before it goes on elsewhere.
constexpr int SlowFactor = 40;
/// Time until the first event of a run; longer than two servers may work on a request.
constexpr milliseconds PromptTime{700};
/// Longest time for which a server may work on a request that another one continues.
constexpr milliseconds MaxOverlap{400};
constexpr milliseconds CheckInterval{10};
const std::string Services =
    R"({"name":"engine","health_path":"/healthz","engine":{"slots":8,"kv_capacity":100000}})";

/// Engines that work on a request until its connection closes, and that can be slowed or suspended.
class engine_world : public world
{
public:
    struct run
    {
        std::string engine;
        std::string attempt;
        int after = 0; ///< last event of the run before
        steady_time from{};
        steady_time to = steady_time::max();
    };

    engine_world()
    {
        publish(1, streamRoute(true), Services);
        for (int i = 0; i < Engines; ++i)
            addEngine("e-" + std::to_string(i));
        startGateway("g1");
    }

    std::shared_ptr<client_answer> startStream()
    {
        const auto attempt = "a-" + std::to_string(++m_attempts);
        auto head = makeStagedRequest(attempt, "", attempt + ":10");
        for (auto &field : head.fields) {
            if (field.name == "X-Deadline-Ms")
                field.value = "10000";
        }
        return request("g1", std::move(head), "prompt");
    }

    /// Starts a stream and waits until it has begun; returns its answer and its engine.
    std::pair<std::shared_ptr<client_answer>, std::string> beginStream()
    {
        auto answer = startStream();
        REQUIRE(runUntil([&] { return !answer->body.empty(); }));
        return {std::move(answer), runs.back().engine};
    }

    void slowDown(const std::string &engine, milliseconds time)
    {
        m_slowUntil[engine] = clock.now() + time;
    }
    void suspend(const std::string &engine, milliseconds time)
    {
        m_silentUntil[engine] = clock.now() + time;
    }
    /// Suspends all engines but one.
    void suspendOthers(const std::string &engine, milliseconds time)
    {
        for (int i = 0; i < Engines; ++i) {
            const auto id = "e-" + std::to_string(i);
            if (id != engine)
                suspend(id, time);
        }
    }
    /// Makes all engines but one refuse requests, and pass health checks.
    void fillOthers(const std::string &engine) { m_onlyFree = engine; }

    /// Returns the longest time for which two servers worked on one request.
    [[nodiscard]] milliseconds longestOverlap() const
    {
        milliseconds longest{0};
        for (const auto &before : runs) {
            for (const auto &after : runs) {
                if (&before == &after || before.attempt != after.attempt
                    || after.from < before.from)
                    continue;
                const auto together = std::min({before.to, after.to, clock.now()}) - after.from;
                longest = std::max(longest, std::chrono::duration_cast<milliseconds>(together));
            }
        }
        return longest;
    }
    [[nodiscard]] std::size_t healthChecks() const { return m_healthChecks; }

    std::vector<run> runs;

private:
    using answer_ptr = std::shared_ptr<server_answer>;

    void addEngine(const std::string &id)
    {
        addServer("engine", id)
            .setBehaviour([this, id](const server_request &request, const answer_ptr &answer) {
                if (request.head.target == "/healthz") {
                    ++m_healthChecks;
                    whenRunning(id, milliseconds{0}, answer,
                                [=] { answer->write(signedAnswer(request, "ok")); });
                } else if (!m_onlyFree.empty() && id != m_onlyFree) {
                    answer->write("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n");
                } else {
                    whenRunning(id, milliseconds{0}, answer,
                                [this, id, request, answer] { answerStream(id, request, answer); });
                }
            });
    }

    /// Calls `next` after a time, which is longer while the server is slow or suspended, unless the
    /// connection closes before.
    void whenRunning(const std::string &id, milliseconds time, const answer_ptr &answer,
                     const std::function<void()> &next)
    {
        const auto step = std::min(time, CheckInterval);
        const int factor = clock.now() < m_slowUntil[id] ? SlowFactor : 1;
        loop.callAfter(step * factor, [this, id, time, step, answer, next] {
            if (clock.now() < m_silentUntil[id]) {
                loop.callAfter(CheckInterval, [this, id, time, answer, next] {
                    whenRunning(id, time, answer, next);
                });
                return;
            }
            if (!answer->isOpen())
                return;
            if (time > step)
                whenRunning(id, time - step, answer, next);
            else
                next();
        });
    }

    void answerStream(const std::string &id, const server_request &request,
                      const answer_ptr &answer)
    {
        const auto last = http::findField(request.head.fields, "last-event-id");
        const int after = last ? std::stoi(std::string(*last)) : 0;
        const auto number = runs.size();
        runs.push_back(
            {id, std::string(http::findField(request.head.fields, "x-attempt-id").value_or("")),
             after, clock.now()});
        watch(number, answer);
        whenRunning(id, PromptTime, answer, [this, id, request, answer, after, number] {
            answer->write(streamHead(request));
            writeEvents(id, answer, after + 1, number);
        });
    }

    /// Records when the connection of a run closes.
    void watch(std::size_t number, const answer_ptr &answer)
    {
        loop.callAfter(CheckInterval, [this, number, answer] {
            if (answer->isOpen())
                watch(number, answer);
            else
                runs[number].to = std::min(runs[number].to, clock.now());
        });
    }

    void writeEvents(const std::string &id, const answer_ptr &answer, int number,
                     std::size_t runNumber)
    {
        answer->write(number > EventsPerStream ? "0\r\n\r\n" : chunk(event(number)));
        if (number > EventsPerStream) {
            runs[runNumber].to = clock.now();
            return;
        }
        whenRunning(id, EventInterval, answer, [this, id, answer, number, runNumber] {
            writeEvents(id, answer, number + 1, runNumber);
        });
    }

    std::map<std::string, steady_time> m_slowUntil;
    std::map<std::string, steady_time> m_silentUntil;
    std::string m_onlyFree; ///< empty: all engines have room
    std::size_t m_healthChecks = 0;
    int m_attempts = 0;
};

std::string wholeStream()
{
    std::string text;
    for (int i = 1; i <= EventsPerStream; ++i)
        text += event(i);
    return text;
}

} // namespace

// Guards against a slow server that works on a stream for as long as its replacement reads the
// prompt.
TEST_CASE("a stream that goes on at another server ends at the slow one before it")
{
    engine_world w;
    const auto [answer, first] = w.beginStream();
    w.slowDown(first, milliseconds{6000});
    REQUIRE(w.await(answer));
    CHECK(answer->body == wholeStream());
    REQUIRE(w.runs.size() == 2);
    CHECK(w.runs[1].engine != first);
    CHECK(w.runs[1].after > 0);
    CHECK(w.longestOverlap() <= MaxOverlap);
}

// Guards against a server that works on a request for as long as its replacement does, before the
// first event.
TEST_CASE("a request that is sent again before its first event ends at the slow server")
{
    engine_world w;
    const auto answer = w.startStream();
    REQUIRE(w.runUntil([&] { return !w.runs.empty(); }));
    const auto first = w.runs.front().engine;
    w.slowDown(first, milliseconds{6000});
    REQUIRE(w.await(answer));
    CHECK(answer->body == wholeStream());
    REQUIRE(w.runs.size() == 2);
    CHECK(w.runs[1].engine != first);
    CHECK(w.longestOverlap() <= MaxOverlap);
}

// Guards against leaving a silent server for one that is silent as well, which no request has shown
// yet: the stream would have to wait for a server that reads its prompt again.
TEST_CASE("a stream waits for its silent server while the idle ones don't respond either")
{
    engine_world w;
    const auto [answer, first] = w.beginStream();
    w.suspend(first, milliseconds{1600});
    w.suspendOthers(first, milliseconds{3000});
    REQUIRE(w.await(answer));
    CHECK(answer->body == wholeStream());
    CHECK(w.healthChecks() > 0);
    CHECK(w.runs.size() == 1);
}

// Guards against ending the call of a silent server though its replacement refuses the request.
TEST_CASE("a stream waits for its silent server while the others refuse it")
{
    engine_world w;
    const auto [answer, first] = w.beginStream();
    w.fillOthers(first);
    w.suspend(first, milliseconds{2000});
    REQUIRE(w.await(answer));
    CHECK(answer->body == wholeStream());
    CHECK(w.runs.size() == 1);
}

// Guards against a stream that stays at a hung server since the idle ones have sent nothing lately.
TEST_CASE("a stream whose server hangs goes on at an idle server that passes its health check")
{
    engine_world w;
    const auto [answer, first] = w.beginStream();
    w.suspend(first, milliseconds{60'000});
    REQUIRE(w.await(answer));
    CHECK(answer->body == wholeStream());
    CHECK(w.healthChecks() > 0);
}
