// Hedged calls with a whole gateway: which requests get them, and what happens to both results.
#include "recorded_stages.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

const std::string Stages = R"([{"service":"p","after":[],"length":100}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":4,"call_ms":100,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},)"
    R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";
constexpr milliseconds UsualTime{20};
/// Enough for one hedged call.
constexpr int UsualCalls = 30;

/// A gateway and two stage servers, of which one can delay its answers.
struct hedge_world
    : world
    , recorded_stages
{
    explicit hedge_world(bool repeatable, gateway::disabled_policies without = {})
    {
        disabledPolicies = std::move(without);
        // A call of 100 ms that began late is hedged when 125 ms of the time for stages are left.
        auto route = streamRoute(repeatable, Stages);
        const std::string usualObjective = R"("target_latency_ms":1500)";
        route.replace(route.find(usualObjective), usualObjective.size(),
                      R"("target_latency_ms":400)");
        publish(1, route, Services);
        addServer("engine", "e-1").setBehaviour(answerOneEvent);
        for (const std::string id : {"p-1", "p-2"})
            addStageServer(id);
        startGateway("g1");
        for (int i = 0; i < UsualCalls; ++i)
            REQUIRE(await(ask("usual-" + std::to_string(i))));
    }
    std::shared_ptr<client_answer> ask(const std::string &attempt)
    {
        return request("g1", makeStagedRequest(attempt, "1"), "prompt");
    }
    /// Sends a request whose first call is delayed; returns the answer.
    std::shared_ptr<client_answer> askDelayed(milliseconds delay)
    {
        m_delay = delay;
        auto answer = ask("delayed");
        REQUIRE(runUntil([&] { return computed["delayed"] == 1; }));
        m_delay = UsualTime;
        return answer;
    }
    [[nodiscard]] bool logged(const std::string &text) const
    {
        return logOutput.str().find(text) != std::string::npos;
    }

private:
    void addStageServer(const std::string &id)
    {
        serve(addServer("p", id),
              [this](const std::shared_ptr<server_answer> &answer, const std::string &bytes) {
                  loop.callAfter(m_delay, [answer, bytes] { answer->write(bytes); });
              });
    }

    milliseconds m_delay = UsualTime;
};

} // namespace

TEST_CASE("a piece of a slow stage call is computed at another server, and its second result freed")
{
    hedge_world w(true);
    const auto answer = w.askDelayed(milliseconds{500});
    REQUIRE(w.await(answer));
    CHECK(answer->body == event(1));
    CHECK(w.computed["delayed"] == 2);
    CHECK(w.logged("event=hedged_call "));
    CHECK(w.runUntil([&] { return w.freed.count("delayed") == 2; }));
    CHECK(w.logged("event=hedged_call_ended "));
    CHECK(w.metrics("g1").find(R"(hedged_pieces_total{event="used",service="p"} 1)")
          != std::string::npos);
}

TEST_CASE("a piece is computed once where its request may not be repeated, or without the policy")
{
    const bool repeatable = GENERATE(false, true);
    hedge_world w(repeatable,
                  repeatable ? gateway::disabled_policies{gateway::policy::SecondCalls}
                             : gateway::disabled_policies{});
    REQUIRE(w.await(w.askDelayed(milliseconds{500})));
    CHECK(w.computed["delayed"] == 1);
    CHECK_FALSE(w.logged("event=hedged_call "));
}

// Guards against a piece that is lost with the server of its first call while the second runs.
TEST_CASE("a request is answered although the server of its overdue stage call hangs or crashes")
{
    const bool crashes = GENERATE(false, true);
    hedge_world w(true);
    const auto answer = w.askDelayed(milliseconds{60'000});
    auto *first = w.lastCalled;
    REQUIRE(w.runUntil([&] { return w.computed["delayed"] == 2; }));
    if (crashes)
        first->crash();
    REQUIRE(w.await(answer));
    CHECK(w.logged("event=hedged_call "));
    CHECK(answer->body == event(1));
    CHECK(w.computed["delayed"] == 2);
}
