#include "platform_world.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr milliseconds ColdTime{20'000};
// A node sends nothing to cold servers until it has had time to learn of the other nodes. The same
// holds for a new host; this node becomes one with the first request.
constexpr milliseconds HostStartupWait{2200};
// Longer than the interval between two requests, so that the server with the fewest requests is
// preferred.
constexpr milliseconds AnswerDelay{200};

const std::string Services = R"({"name":"engine","cold_start_s":20,"cold_per_s":2,)"
                             R"("engine":{"slots":8,"kv_capacity":100000}},)"
                             R"({"name":"web","cold_start_s":20,"cold_per_s":2})";

/// One warm and one cold server of an engine pool, and the same of a plain service.
struct cold_world : world
{
    cold_world()
    {
        publish(1, streamRoute(true) + "," + plainRoute("safe"), Services);
        for (auto *each : {&warm, &cold})
            each->setBehaviour(streamLater());
        for (auto *each : {&warmPlain, &coldPlain})
            each->setBehaviour([this](const server_request &request,
                                      const std::shared_ptr<server_answer> &answer) {
                loop.callAfter(AnswerDelay,
                               [request, answer] { answer->write(signedAnswer(request, "done")); });
            });
        startGateway("g1");
    }
    /// Answers with a stream of one event after `AnswerDelay`.
    server_behaviour streamLater()
    {
        return [this](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            loop.callAfter(AnswerDelay, [request, answer] { answerOneEvent(request, answer); });
        };
    }
    /// Waits until the node sends requests to cold servers.
    void waitForHost()
    {
        REQUIRE(sendRequests("/s/x", 1) == 1);
        runFor(HostStartupWait);
    }
    /// Sends requests at intervals of 20 ms; returns the number answered with 200.
    int sendRequests(const std::string &path, int count)
    {
        std::vector<std::shared_ptr<client_answer>> answers;
        for (int i = 0; i < count; ++i) {
            auto head = makeRequest("POST", path, "r" + std::to_string(++m_requestCount));
            // No prompt part is shared, so the engine with the lowest load is preferred.
            head.fields.push_back(
                {"X-Prefix-Hash", "own" + std::to_string(m_requestCount) + ":4000"});
            answers.push_back(request("g1", head, "prompt"));
            runFor(milliseconds{20});
        }
        return static_cast<int>(std::ranges::count_if(
            answers, [&](const auto &each) { return await(each) && each->status == 200; }));
    }

    fake_server &warm = addServer("engine", "e-1");
    fake_server &cold = addServer("engine", "e-2", "z", ColdTime);
    fake_server &warmPlain = addServer("web", "i-1");
    fake_server &coldPlain = addServer("web", "i-2", "z", ColdTime);

private:
    int m_requestCount = 0;
};

} // namespace

TEST_CASE("a cold engine gets its limited rate, and the others the rest")
{
    cold_world w;
    w.waitForHost();
    CHECK(w.sendRequests("/s/x", 100) == 100);
    // Three quarters of two per second, for two to three seconds, plus one at once.
    CHECK(w.cold.requests().size() >= 1);
    CHECK(w.cold.requests().size() <= 5);
}

TEST_CASE("a cold plain server gets its limited rate, and the others the rest")
{
    cold_world w;
    w.waitForHost();
    CHECK(w.sendRequests("/p/x", 100) == 100);
    CHECK(w.coldPlain.requests().size() >= 1);
    CHECK(w.coldPlain.requests().size() <= 5);
}

TEST_CASE("a server that is no longer cold gets its full load at once")
{
    cold_world w;
    w.announce(w.cold, "engine", "ready", "z", milliseconds{500});
    w.waitForHost();
    w.announce(w.warm, "engine", "draining");
    REQUIRE(
        w.runUntil([&] { return w.logOutput.str().find("server_leaving") != std::string::npos; }));
    const auto before = w.cold.requests().size();
    CHECK(w.sendRequests("/s/x", 20) == 20);
    CHECK(w.cold.requests().size() - before == 20);
}

TEST_CASE("servers of a data centre whose evacuation ended are treated as cold for a while")
{
    cold_world w;
    REQUIRE(w.waitForStoreWatch());
    w.waitForHost();
    w.addServer("engine", "e-3", "y").setBehaviour(w.streamLater());
    w.evacuate("z");
    REQUIRE(w.runUntil(
        [&] { return w.logOutput.str().find("data_center_evacuated") != std::string::npos; }));
    w.endEvacuation("z");
    REQUIRE(w.runUntil(
        [&] { return w.logOutput.str().find("data_center_returned") != std::string::npos; }));
    const auto before = w.warm.requests().size();
    CHECK(w.sendRequests("/s/x", 50) == 50);
    CHECK(w.warm.requests().size() - before <= 4);
}
