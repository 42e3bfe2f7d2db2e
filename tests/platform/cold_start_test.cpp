#include "platform_world.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr milliseconds ColdFor{20'000};
// A node lets nothing go to cold servers before it may know the others, nor as a new host, which it
// is from the first request on.
constexpr milliseconds Acquainted{2200};
// Longer than the pause between two requests, so that the idlest server is the best.
constexpr milliseconds Work{200};

const std::string Services = R"({"name":"engine","cold_start_s":20,"cold_per_s":2,)"
                             R"("engine":{"slots":8,"kv_capacity":100000}},)"
                             R"({"name":"web","cold_start_s":20,"cold_per_s":2})";

/// A warm and a cold server of a pool of engines, and of a plain service.
struct cold_world : world
{
    cold_world()
    {
        publish(1, streamRoute(true) + "," + plainRoute("safe"), Services);
        for (auto *each : {&warm, &cold})
            each->behave(streamLater());
        for (auto *each : {&warmPlain, &coldPlain})
            each->behave([this](const server_request &request,
                                const std::shared_ptr<server_answer> &answer) {
                loop.callAfter(Work,
                               [request, answer] { answer->write(signedAnswer(request, "done")); });
            });
        startGateway("g1");
    }
    /// Answers with a stream of one event after a while.
    server_behaviour streamLater()
    {
        return [this](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            loop.callAfter(Work, [request, answer] { answerOneEvent(request, answer); });
        };
    }
    /// Waits until the node lets requests go to cold servers.
    void getAcquainted()
    {
        REQUIRE(ask("/s/x", 1) == 1);
        runFor(Acquainted);
    }
    /// Sends so many requests, one each 20 ms; gives how many were answered.
    int ask(const std::string &path, int count)
    {
        std::vector<std::shared_ptr<client_answer>> answers;
        for (int i = 0; i < count; ++i) {
            auto head = makeRequest("POST", path, "r" + std::to_string(++m_asked));
            // Nothing is shared, so the emptiest engine is the best.
            head.fields.push_back({"X-Prefix-Hash", "own" + std::to_string(m_asked) + ":4000"});
            answers.push_back(request("g1", head, "prompt"));
            runFor(milliseconds{20});
        }
        return static_cast<int>(std::ranges::count_if(
            answers, [&](const auto &each) { return await(each) && each->status == 200; }));
    }

    fake_server &warm = addServer("engine", "e-1");
    fake_server &cold = addServer("engine", "e-2", "z", ColdFor);
    fake_server &warmPlain = addServer("web", "i-1");
    fake_server &coldPlain = addServer("web", "i-2", "z", ColdFor);

private:
    int m_asked = 0;
};

} // namespace

TEST_CASE("a cold engine gets what it bears, and the others the rest")
{
    cold_world w;
    w.getAcquainted();
    CHECK(w.ask("/s/x", 100) == 100);
    // Three quarters of two a second, for two to three seconds, and one at once.
    CHECK(w.cold.requests().size() >= 1);
    CHECK(w.cold.requests().size() <= 5);
}

TEST_CASE("a cold server of a plain service gets what it bears, and the others the rest")
{
    cold_world w;
    w.getAcquainted();
    CHECK(w.ask("/p/x", 100) == 100);
    CHECK(w.coldPlain.requests().size() >= 1);
    CHECK(w.coldPlain.requests().size() <= 5);
}

TEST_CASE("a server that is cold no more gets its full share at once")
{
    cold_world w;
    w.announce(w.cold, "engine", "ready", "z", milliseconds{500});
    w.getAcquainted();
    w.announce(w.warm, "engine", "draining");
    REQUIRE(w.runUntil([&] { return w.logged.str().find("server_leaving") != std::string::npos; }));
    const auto before = w.cold.requests().size();
    CHECK(w.ask("/s/x", 20) == 20);
    CHECK(w.cold.requests().size() - before == 20);
}

TEST_CASE("servers of a data centre that was given back are taken to be cold for a while")
{
    cold_world w;
    REQUIRE(w.untilWatched());
    w.getAcquainted();
    w.addServer("engine", "e-3", "y").behave(w.streamLater());
    w.evacuate("z");
    REQUIRE(w.runUntil(
        [&] { return w.logged.str().find("data_center_evacuated") != std::string::npos; }));
    w.giveBack("z");
    REQUIRE(w.runUntil(
        [&] { return w.logged.str().find("data_center_returned") != std::string::npos; }));
    const auto before = w.warm.requests().size();
    CHECK(w.ask("/s/x", 50) == 50);
    CHECK(w.warm.requests().size() - before <= 4);
}
