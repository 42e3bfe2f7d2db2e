#include "cut_off_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int Engines = 4;
constexpr int EventsPerStream = 20;
constexpr milliseconds EventInterval{40};
/// More than one node may retry in a window, so that the retry budget denies some.
constexpr int Streams = 40;
/// Longer than a stream may be idle before it is sent to another server.
constexpr milliseconds Silence{1250};
/// How long streams run before their servers fall silent, so that the silence lasts beyond the
/// latency objective of their route.
constexpr milliseconds StreamAge{600};
/// Longer than the latency objective of a stream, after which it counts as unanswered.
constexpr milliseconds LongSilence{1800};

/// Engines, stage servers and web servers that can be suspended like stopped processes: they accept
/// connections and requests, and write nothing until they are resumed.
class silent_world : public world
{
public:
    explicit silent_world(bool resumable = true, bool staged = false)
        : m_routes(streamRoute(resumable, staged ? Stages : "[]") + "," + plainRoute("safe"))
    {
        publish(1, m_routes, Services);
        for (int i = 0; i < Engines; ++i)
            add("engine", i, &silent_world::answerStream);
        for (int i = 0; i < Engines; ++i)
            add("web", i, &silent_world::answerPlain);
        auto &stage = addServer("q", "q-0");
        stage.setBehaviour([this, &stage](const server_request &request,
                                          const std::shared_ptr<server_answer> &answer) {
            answerStages(*this, stage, request, answer, milliseconds{20}, m_resultCount);
        });
        startGateway("g1");
    }

    /// Suspends the first `count` servers of a service for a time.
    void suspend(const std::string &service, int count, milliseconds time)
    {
        for (int i = 0; i < count; ++i)
            m_silentUntil[service + "-" + std::to_string(i)] = clock.now() + time;
    }

    std::vector<std::shared_ptr<client_answer>> startStreams(int count)
    {
        std::vector<std::shared_ptr<client_answer>> answers;
        for (int i = 0; i < count; ++i) {
            const auto attempt = "a-" + std::to_string(++m_attempts);
            answers.push_back(
                request("g1", patient(makeStagedRequest(attempt, "1", attempt + ":10")), "prompt"));
        }
        return answers;
    }
    std::vector<std::shared_ptr<client_answer>> startPlain(int count, const std::string &method)
    {
        std::vector<std::shared_ptr<client_answer>> answers;
        for (int i = 0; i < count; ++i)
            answers.push_back(request(
                "g1", patient(makeRequest(method, "/p/x", "a-" + std::to_string(++m_attempts)))));
        return answers;
    }

    /// Starts streams, waits until each has begun, and lets them run for a time.
    std::vector<std::shared_ptr<client_answer>> beginStreams(int count, milliseconds age = {})
    {
        auto answers = startStreams(count);
        REQUIRE(runUntil([&] {
            return std::ranges::none_of(answers, [](auto &each) { return each->body.empty(); });
        }));
        runFor(age);
        return answers;
    }

    /// Returns how many answers arrived whole.
    int countWhole(const std::vector<std::shared_ptr<client_answer>> &answers)
    {
        runUntil([&] { return std::ranges::all_of(answers, [](auto &a) { return a->ended; }); });
        return static_cast<int>(std::ranges::count_if(answers, [](const auto &each) {
            return each->status == 200 && each->end == http::call_end::Complete;
        }));
    }

    [[nodiscard]] std::size_t countArrived(const std::string &service, int count = Engines) const
    {
        std::size_t arrived = 0;
        for (int i = 0; i < count; ++i)
            arrived += m_servers.at(service + "-" + std::to_string(i))->requests().size();
        return arrived;
    }

    /// Publishes the same routes with other limits, timeouts, routes or customers.
    void changeConfiguration(const std::string &kind)
    {
        auto routes = m_routes;
        if (kind == "timeout")
            replace(routes, "\"timeout_ms\":4000", "\"timeout_ms\":3000");
        else if (kind == "route")
            replace(routes, "\"path_prefix\":\"/s/\"", "\"path_prefix\":\"/t/\"");
        else if (kind == "weights")
            replace(
                routes, "\"service\":\"engine\"",
                R"("services":[{"service":"engine","weight":1},{"service":"other","weight":3}])");
        publish(2, routes, Services,
                kind == "tenant" ? R"(},{"name":"t2","api_keys":["k2"],"priority":2)" : "");
    }

private:
    using answer_ptr = std::shared_ptr<server_answer>;
    using behaviour = void (silent_world::*)(const std::string &, const server_request &,
                                             const answer_ptr &);

    /// Lets the client of a request wait longer than the routes allow.
    static http::request_head patient(http::request_head head)
    {
        for (auto &field : head.fields) {
            if (field.name == "X-Deadline-Ms")
                field.value = "10000";
        }
        return head;
    }

    static void replace(std::string &text, const std::string &from, const std::string &to)
    {
        const auto at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    }

    void add(const std::string &service, int number, behaviour answers)
    {
        const auto id = service + "-" + std::to_string(number);
        auto &added = addServer(service, id);
        m_servers[id] = &added;
        added.setBehaviour(
            [this, id, answers](const server_request &request, const answer_ptr &answer) {
                (this->*answers)(id, request, answer);
            });
    }

    /// Calls `next` after a time, or when the server is resumed.
    void whenRunning(const std::string &id, milliseconds time, const std::function<void()> &next)
    {
        loop.callAfter(time, [this, id, next] {
            const auto left = m_silentUntil[id] - clock.now();
            if (left > steady_time::duration::zero())
                whenRunning(id, std::chrono::ceil<milliseconds>(left), next);
            else
                next();
        });
    }

    void answerPlain(const std::string &id, const server_request &request, const answer_ptr &answer)
    {
        whenRunning(id, milliseconds{10},
                    [request, answer] { answer->write(signedAnswer(request, "ok")); });
    }

    void answerStream(const std::string &id, const server_request &request,
                      const answer_ptr &answer)
    {
        const auto last = http::findField(request.head.fields, "last-event-id");
        const int first = last ? std::stoi(std::string(*last)) + 1 : 1;
        whenRunning(id, EventInterval, [this, id, request, answer, first] {
            answer->write(streamHead(request));
            writeEvents(id, answer, first);
        });
    }

    void writeEvents(const std::string &id, const answer_ptr &answer, int number)
    {
        answer->write(number > EventsPerStream ? "0\r\n\r\n" : chunk(event(number)));
        if (number <= EventsPerStream)
            whenRunning(id, EventInterval,
                        [this, id, answer, number] { writeEvents(id, answer, number + 1); });
    }

    std::string m_routes;
    std::map<std::string, fake_server *> m_servers;
    std::map<std::string, steady_time> m_silentUntil;
    int m_attempts = 0;
    int m_resultCount = 0;
};

std::string wholeStream()
{
    std::string text;
    for (int i = 1; i <= EventsPerStream; ++i)
        text += event(i);
    return text;
}

} // namespace

// Guards against streams that are broken off as their servers fall silent for a second and the
// retry budget, or the stages, allow no attempt at another server.
TEST_CASE("streams whose servers fall silent and go on reach their clients whole")
{
    const int silent = GENERATE(as<int>{}, Engines, Engines - 1, 1);
    const bool resumable = GENERATE(true, false);
    const bool staged = GENERATE(false, true);
    CAPTURE(silent, resumable, staged);
    silent_world w(resumable, staged);
    const auto streams = w.beginStreams(Streams, StreamAge);
    w.suspend("engine", silent, Silence);
    CHECK(w.countWhole(streams) == Streams);
    for (const auto &each : streams)
        CHECK(each->body == wholeStream());
}

// Guards against streams that survive one silence of their servers but not the next one.
TEST_CASE("streams whose servers fall silent twice in a row reach their clients whole")
{
    const int silent = GENERATE(as<int>{}, Engines, Engines - 1);
    CAPTURE(silent);
    silent_world w;
    const auto streams = w.beginStreams(Streams);
    w.suspend("engine", silent, Silence);
    w.runFor(Silence + 2 * EventInterval);
    w.suspend("engine", silent, Silence);
    CHECK(w.countWhole(streams) == Streams);
}

// Guards against streams that end as unanswered, though their servers only fall silent before the
// first event.
TEST_CASE("streams whose servers are silent before the first event reach their clients whole")
{
    const int silent = GENERATE(as<int>{}, Engines, Engines - 1);
    const bool staged = GENERATE(false, true);
    CAPTURE(silent, staged);
    silent_world w(true, staged);
    w.suspend("engine", silent, LongSilence);
    const auto streams = w.startStreams(Streams);
    CHECK(w.countWhole(streams) == Streams);
}

// Guards against plain requests that end as unanswered, though their servers only fall silent.
TEST_CASE("plain requests whose servers fall silent are answered")
{
    const int silent = GENERATE(as<int>{}, Engines, Engines - 1);
    CAPTURE(silent);
    silent_world w;
    w.suspend("web", silent, Silence);
    const auto answers = w.startPlain(Streams, "GET");
    CHECK(w.countWhole(answers) == Streams);
}

// Guards against a change of the configuration that ends streams while their servers are silent.
TEST_CASE("streams whose servers fall silent beside a change of the configuration stay whole")
{
    const std::string kind =
        GENERATE(as<std::string>{}, "idle", "timeout", "route", "weights", "tenant");
    CAPTURE(kind);
    silent_world w;
    const auto streams = w.beginStreams(Streams, StreamAge);
    w.changeConfiguration(kind);
    w.suspend("engine", Engines, Silence);
    CHECK(w.countWhole(streams) == Streams);
}

// Guards against a planned stop that ends streams while their servers are silent.
TEST_CASE("streams whose servers fall silent beside a stop of the gateway stay whole")
{
    silent_world w;
    const auto streams = w.beginStreams(Streams, StreamAge);
    w.stopGateway("g1");
    w.suspend("engine", Engines, Silence);
    CHECK(w.countWhole(streams) == Streams);
}

// Guards against waiting for a server that hangs while others would continue the stream at once.
TEST_CASE("a stream whose server hangs for good continues on another one")
{
    silent_world w;
    const auto streams = w.beginStreams(Engines);
    w.suspend("engine", 1, milliseconds{60'000});
    CHECK(w.countWhole(streams) == Engines);
}

// Guards against silences that use up more than the retry budget.
TEST_CASE("silent servers cause no more repeats than the retry budget allows")
{
    silent_world w;
    const auto streams = w.beginStreams(Streams);
    w.suspend("engine", Engines - 1, milliseconds{60'000});
    w.runFor(milliseconds{3000});
    const gateway::platform_bounds bounds;
    const double limit = bounds.retryShare * Streams + bounds.retryReserve;
    CHECK(static_cast<double>(w.countArrived("engine")) <= Streams + limit);
}
