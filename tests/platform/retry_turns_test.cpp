#include "platform_world.h"

#include <orchidlead/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <sstream>

using namespace orchidlead;
using namespace orchidlead::platform_world;

/// Refused requests that return at gateways with one stage, which takes 200 ms for two pieces.
namespace {

const std::string OneStage = R"([{"service":"q","after":[],"length":50}])";
const std::string Services =
    R"({"name":"q","segments":{"slots":1,"queue":2,"batch":2,"call_ms":200,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

// Clients follow a `Retry-After` of up to a third of their time, so turns up to 2.6 s are given.
const std::string PatientClientMs = "8000";

/// A request and its repeats.
struct repeated_request
{
    std::string body;
    int tries = 0;
    int refusals = 0;
    bool served = false;
    steady_time nextTry;
    std::shared_ptr<client_answer> answer;
};

struct refusing_world : world
{
    refusing_world()
    {
        publish(1, streamRoute(true, OneStage), Services);
        addServer("engine", "e-1").setBehaviour(answerOneEvent);
        auto &added = addServer("q", "q-1");
        added.setBehaviour([this, &added](const server_request &request,
                                          const std::shared_ptr<server_answer> &answer) {
            answerStages(*this, added, request, answer, milliseconds{200}, handles);
        });
    }

    void send(const std::string &gateway, repeated_request &each)
    {
        const auto attempt = "a" + std::to_string(++attempts);
        auto head = makeStagedRequest(attempt, "1");
        for (auto &field : head.fields) {
            if (field.name == "X-Deadline-Ms")
                field.value = PatientClientMs;
        }
        each.answer = request(gateway, std::move(head), each.body);
        ++each.tries;
    }
    /// Sends different requests at once.
    std::vector<repeated_request> sendBurst(const std::string &gateway, std::size_t count)
    {
        std::vector<repeated_request> burst(count);
        for (auto &each : burst) {
            each.body = "prompt " + std::to_string(++bodies);
            send(gateway, each);
        }
        return burst;
    }
    /// Handles answers; sends refused requests again at their time while they have tries left.
    /// Returns whether all have ended.
    bool repeat(const std::string &gateway, std::vector<repeated_request> &all, int maxTries)
    {
        bool ended = true;
        for (auto &each : all) {
            if (each.answer && each.answer->ended) {
                each.served = each.answer->status == 200;
                each.refusals += each.answer->status == 503 ? 1 : 0;
                const auto delay = each.answer->field("retry-after");
                const auto ms = static_cast<int>(1000 * (delay.empty() ? 0.1 : std::stod(delay)));
                each.nextTry = clock.now() + milliseconds{ms};
                each.answer.reset();
            } else if (!each.answer && !each.served && each.tries < maxTries
                       && clock.now() >= each.nextTry) {
                send(gateway, each);
            }
            ended = ended && !each.answer && (each.served || each.tries >= maxTries);
        }
        return ended;
    }
    /// Waits until all requests have their first answer, and returns how many were refused.
    std::size_t awaitRefusals(const std::string &gateway, std::vector<repeated_request> &all)
    {
        REQUIRE(runUntil([&] { return repeat(gateway, all, 1); }));
        return static_cast<std::size_t>(
            std::ranges::count_if(all, [](const auto &each) { return each.refusals > 0; }));
    }
    /// Returns a row of the metric of turns.
    double turns(const std::string &gateway, const std::string &state)
    {
        std::istringstream lines(metrics(gateway));
        const auto row = "orchidlead_gateway_retry_turns{service=\"q\",state=\"" + state + "\"}";
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(row))
                return std::stod(line.substr(line.rfind(' ')));
        }
        return 0;
    }
    /// Returns a name for a node that will host the stage beside `other`.
    static std::string hostName(const std::string &other)
    {
        for (int i = 0;; ++i) {
            const auto name = "host" + std::to_string(i);
            if (rendezvousPick("q", std::vector<vm_id>{vm_id(name), vm_id(other)}, 1).front().value
                == name)
                return name;
        }
    }

    int handles = 0;
    int attempts = 0;
    int bodies = 0;
};

} // namespace

// Guards against refusals that name a time at which the same queue is found again.
TEST_CASE("refused requests that return at their time redeem their turns")
{
    refusing_world w;
    w.startGateway("g1");
    auto first = w.sendBurst("g1", 1); // shows the gateway that nothing waits
    REQUIRE(w.awaitRefusals("g1", first) == 0);
    auto burst = w.sendBurst("g1", 60);
    CHECK(w.awaitRefusals("g1", burst) > 0);
    CHECK(w.turns("g1", "given") > 0);
    REQUIRE(w.runUntil([&] { return w.repeat("g1", burst, 3); }, milliseconds{15'000}));
    CHECK(w.turns("g1", "redeemed") > 0);
    CHECK(w.logOutput.str().find("turn_held=yes") != std::string::npos);
    CHECK(w.metrics("g1").find("orchidlead_gateway_customer_pool_seconds_total")
          != std::string::npos);
}

// Guards against turns that are lost with their host and then refused again and again.
TEST_CASE("requests that return to a new host of their stage are refused there twice at most")
{
    refusing_world w;
    const auto host = refusing_world::hostName("g1");
    w.startGateway("g1");
    w.startGateway(host);
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    w.runFor(milliseconds{300});
    auto burst = w.sendBurst("g1", 24); // of which about 13 begin in time
    CHECK(w.awaitRefusals("g1", burst) > 0);
    CHECK(w.turns(host, "given") > 0);
    w.killGateway(host);
    constexpr int MaxTries = 4;
    REQUIRE(w.runUntil([&] { return w.repeat("g1", burst, MaxTries); }, milliseconds{20'000}));
    for (const auto &each : burst) {
        CAPTURE(each.body, each.tries);
        CHECK(each.served);
        CHECK(each.refusals <= 3); // one of them by the earlier host
    }
}
