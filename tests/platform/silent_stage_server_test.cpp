// Stage servers that fall silent for more than the timeout of a call, and go on or hang.
#include "recorded_stages.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

const std::string Stages = R"([{"service":"p","after":[],"length":100}])";
// A call of one piece times out after 2.5 x 21 ms + 300 ms.
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":64,)"
    R"("kv_capacity":1000000}})";
constexpr milliseconds UsualTime{20};
constexpr milliseconds Silence{1400};
constexpr milliseconds Forever{60'000};
/// Each has two pieces; together they are more than the retry budget of a node.
constexpr int Requests = 40;

/// A gateway and stage servers that answer nothing while they are silent, and then all calls.
struct silent_world
    : world
    , recorded_stages
{
    explicit silent_world(int servers, bool mayBeCut = false)
    {
        canBeCut = mayBeCut;
        publish(1, streamRoute(true, Stages), Services);
        addServer("engine", "e-1").setBehaviour(answerOneEvent);
        for (int i = 0; i < servers; ++i)
            addStageServer("p-" + std::to_string(i));
        startGateway("g1");
        REQUIRE(await(ask("usual")));
    }
    std::shared_ptr<client_answer> ask(const std::string &attempt, const std::string &pieces = "2")
    {
        return request("g1", makeStagedRequest(attempt, pieces), "prompt");
    }
    /// Makes this many servers silent from now on.
    void silence(int servers, milliseconds time = Silence)
    {
        for (int i = 0; i < servers; ++i)
            m_silentUntil["p-" + std::to_string(i)] = loop.now() + time;
    }
    void endSilenceOfOthers(const std::string &id)
    {
        std::erase_if(m_silentUntil, [&](const auto &entry) { return entry.first != id; });
    }
    /// Sends many requests within 200 ms.
    void askMany(const std::string &prefix)
    {
        for (int i = 0; i < Requests; ++i) {
            answers.push_back(ask(prefix + std::to_string(i)));
            runFor(milliseconds{5});
        }
    }
    /// Returns the number of requests that were not answered in full.
    int countLost()
    {
        int lost = 0;
        for (const auto &each : answers)
            lost += await(each) && each->status == 200 && each->body == event(1) ? 0 : 1;
        return lost;
    }

    std::vector<std::shared_ptr<client_answer>> answers;

private:
    void addStageServer(const std::string &id)
    {
        serve(addServer("p", id),
              [this, id](const std::shared_ptr<server_answer> &answer, const std::string &bytes) {
                  answerAfter(std::max(loop.now(), m_silentUntil[id]) + UsualTime, id, answer,
                              bytes);
              });
    }
    // The server may have fallen silent since it received the call.
    void answerAfter(steady_time at, const std::string &id,
                     const std::shared_ptr<server_answer> &answer, const std::string &bytes)
    {
        const auto delay = std::chrono::ceil<milliseconds>(at - loop.now());
        loop.callAfter(std::max(delay, milliseconds{0}), [this, id, answer, bytes] {
            if (m_silentUntil[id] > loop.now())
                answerAfter(m_silentUntil[id], id, answer, bytes);
            else
                answer->write(bytes);
        });
    }

    std::map<std::string, steady_time> m_silentUntil;
};

} // namespace

// Guards against requests that end because the retry budget allows no second call of their pieces.
TEST_CASE("no request ends because all, some or one of the stage servers are silent for a while")
{
    constexpr int Servers = 10;
    const int silent = GENERATE(10, 5, 1);
    silent_world w(Servers);
    w.silence(silent);
    w.askMany("a");
    CHECK(w.countLost() == 0);
}

// Guards against requests that end because a second silence meets a retry budget that is used up.
TEST_CASE("no request ends because all stage servers are silent twice in a row")
{
    constexpr int Servers = 10;
    silent_world w(Servers);
    for (const std::string prefix : {"a", "b"}) {
        w.silence(Servers);
        w.askMany(prefix);
        w.runFor(Silence);
    }
    CHECK(w.countLost() == 0);
}

// Guards against calls that are abandoned, and their work lost, with no other server to go to.
TEST_CASE("the results of the only stage server are used after a silence")
{
    silent_world w(1);
    w.silence(1);
    w.answers.push_back(w.ask("a", "1"));
    CHECK(w.countLost() == 0);
    CHECK(w.computed["a"] == 1);
}

// Guards against results that nobody frees, because their call was abandoned.
TEST_CASE("the results of a silent stage server are freed if another server's were used first")
{
    silent_world w(2);
    w.silence(2);
    w.answers.push_back(w.ask("a", "1"));
    REQUIRE(w.runUntil([&] { return w.computed["a"] == 1; }));
    w.endSilenceOfOthers(w.lastCalled->id());
    CHECK(w.countLost() == 0);
    CHECK(w.computed["a"] == 2);
    CHECK(w.runUntil([&] { return w.freed.count("a") == 2; }));
}

// Guards against requests that wait for a server that never goes on while others are idle.
TEST_CASE("a request is answered although two of three stage servers hang for good")
{
    silent_world w(3);
    w.silence(2, Forever);
    w.answers.push_back(w.ask("a", "1"));
    w.answers.push_back(w.ask("b", "1"));
    w.answers.push_back(w.ask("c", "1"));
    CHECK(w.countLost() == 0);
}

// Guards against requests that end because this node takes the silence for a cut, in which no
// connection is accepted either.
TEST_CASE("no request ends because silent stage servers accept no connections for a while")
{
    constexpr int Servers = 10;
    silent_world w(Servers, true);
    w.silence(Servers, milliseconds{1000});
    w.askMany("a");
    w.cutFromServers("g1", cut_kind::Hang);
    REQUIRE(w.runUntil([&] { return w.logOutput.str().find("cut_off") != std::string::npos; }));
    w.runFor(milliseconds{50});
    w.healServers("g1");
    CHECK(w.countLost() == 0);
}
