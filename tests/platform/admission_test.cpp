#include "platform_world.h"

#include <orchidlead/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace orchidlead;
using namespace orchidlead::platform_world;

/// Admission of whole requests by gateways with two stages, the second of which is scarce.
namespace {

const std::string TwoStages = R"([{"service":"p","after":[],"length":100},)"
                              R"({"service":"q","after":[0],"length":50}])";

std::string stageService(const std::string &name, int batch, int callMs)
{
    return R"({"name":")" + name + R"(","segments":{"slots":1,"queue":2,"batch":)"
        + std::to_string(batch) + R"(,"call_ms":)" + std::to_string(callMs)
        + R"(,"item_ms":1,"headroom_mb":1,"handle_s":4}})";
}

/// A stage `p` that takes 60 ms and a stage `q` that takes 200 ms for two pieces at a time.
struct scarce_world : world
{
    scarce_world()
    {
        publish(1, streamRoute(true, TwoStages),
                stageService("p", 8, 60) + "," + stageService("q", 2, 200)
                    + R"(,{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})");
        addServer("engine", "e-1").setBehaviour(answerOneEvent);
        for (const auto &[service, work] : {std::pair{"p", 60}, std::pair{"q", 200}}) {
            auto &added = addServer(service, service + std::string("-1"));
            added.setBehaviour(
                [this, &added, work = milliseconds{work}](
                    const server_request &request, const std::shared_ptr<server_answer> &answer) {
                    answerStages(*this, added, request, answer, work, handles);
                });
        }
    }

    /// Sends this number of requests at once, in turn to the gateways.
    void ask(const std::vector<std::string> &gateways, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            answers.push_back(request(gateways[i % gateways.size()],
                                      makeStagedRequest("a" + std::to_string(++asked), "1,1"),
                                      "prompt"));
    }
    bool awaitAll()
    {
        return std::ranges::all_of(answers, [this](const auto &each) { return await(each); });
    }
    [[nodiscard]] std::size_t countOf(int status) const
    {
        return static_cast<std::size_t>(
            std::ranges::count(answers, status, [](const auto &each) { return each->status; }));
    }
    /// Returns the sum of a metric's rows; 0 if it has none.
    double metricOf(const std::string &gateway, const std::string &name)
    {
        std::istringstream lines(metrics(gateway));
        double sum = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + "{"))
                sum += std::stod(line.substr(line.rfind(' ')));
        }
        return sum;
    }
    /// Returns a name for a node that will host both stages if the other nodes are `others`.
    static std::string hostName(const std::vector<std::string> &others)
    {
        for (int i = 0;; ++i) {
            std::vector<vm_id> nodes{vm_id("host" + std::to_string(i))};
            for (const auto &each : others)
                nodes.emplace_back(each);
            const auto hosts = [&](const char *service) {
                return rendezvousPick(service, nodes, 1).front() == nodes.front();
            };
            if (hosts("p") && hosts("q"))
                return nodes.front().value;
        }
    }

    int handles = 0;
    int asked = 0;
    std::vector<std::shared_ptr<client_answer>> answers;
};

constexpr std::string_view Granted = "orchidlead_gateway_reservations_granted";
constexpr std::string_view Refused = "orchidlead_gateway_reservations_refused";
constexpr std::string_view Reserved = "orchidlead_gateway_reserved_pieces";

} // namespace

// Guards against requests whose first stage runs although the second one has no place for them.
TEST_CASE("requests that a later stage has no place for are refused before their first stage runs")
{
    scarce_world w;
    w.startGateway("g1");
    w.ask({"g1"}, 1); // shows the gateway that nothing waits
    REQUIRE(w.awaitAll());
    const auto begin = w.clock.now();
    w.ask({"g1"}, 40);
    const auto isRefused = [&] { return w.countOf(503) > 10; };
    REQUIRE(w.runUntil(isRefused, milliseconds{500}));
    CHECK(w.clock.now() - begin < milliseconds{300});
    REQUIRE(w.awaitAll());
    CHECK(w.countOf(200) + w.countOf(503) == w.answers.size());
    CHECK(w.countOf(200) >= 6);
    const auto granted = w.metricOf("g1", std::string(Granted));
    CHECK(granted > 0);
    CHECK(w.metricOf("g1", std::string(Refused)) > 0);
    CHECK(w.runUntil([&] { return w.metricOf("g1", std::string(Reserved)) == 0; }));
    for (const auto &each : w.answers) {
        if (each->status == 503)
            CHECK_FALSE(each->field("retry-after").empty());
    }
    CHECK(w.logOutput.str().find("outcome=not_admitted") != std::string::npos);
    CHECK(w.logOutput.str().find("event=admission_refused") != std::string::npos);
}

// Guards against messages and refusals where nothing is scarce.
TEST_CASE("requests one after another are served without asking for admission")
{
    scarce_world w;
    w.startGateway("g1");
    for (int i = 0; i < 4; ++i) {
        w.ask({"g1"}, 1);
        REQUIRE(w.awaitAll());
    }
    CHECK(w.countOf(200) == 4);
    CHECK(w.metricOf("g1", std::string(Granted)) == 0);
}

TEST_CASE("with the policy disabled no request asks for admission")
{
    scarce_world w;
    w.disabledPolicies = {gateway::policy::WholeRequestAdmission};
    w.startGateway("g1");
    w.ask({"g1"}, 20);
    REQUIRE(w.awaitAll());
    CHECK(w.countOf(200) + w.countOf(503) == w.answers.size());
    CHECK(w.metricOf("g1", std::string(Granted)) + w.metricOf("g1", std::string(Refused)) == 0);
    CHECK(w.logOutput.str().find("outcome=not_admitted") == std::string::npos);
}

// Guards against a wait of 0 that a host without the policy answers and its receivers take for a
// measured one: their requests would start although the pool has a backlog.
TEST_CASE("a node decides by its own estimate if the host of a pool doesn't decide")
{
    scarce_world w;
    const auto host = scarce_world::hostName({"g1"});
    w.disabledPolicies = {gateway::policy::WholeRequestAdmission};
    w.startGateway(host);
    w.disabledPolicies = {};
    w.startGateway("g1");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    w.runFor(milliseconds{300});
    for (int i = 0; i < 10; ++i) { // 60 requests in a second, for a pool that takes 10
        w.ask({"g1"}, 6);
        w.runFor(milliseconds{100});
    }
    REQUIRE(w.awaitAll());
    CHECK(w.countOf(200) + w.countOf(503) == w.answers.size());
    CHECK(w.logOutput.str().find("outcome=queue_too_long") != std::string::npos);
    CHECK(w.metricOf(host, std::string(Granted)) + w.metricOf(host, std::string(Refused)) == 0);
}

TEST_CASE("requests are served or refused when the host of their stages is killed")
{
    scarce_world w;
    const auto host = scarce_world::hostName({"g1", "g2"});
    for (const auto &name : {std::string("g1"), std::string("g2"), host})
        w.startGateway(name);
    REQUIRE(w.runUntil([&] { return w.knowsMembers(3); }));
    w.runFor(milliseconds{300});
    w.ask({"g1", "g2"}, 12);
    REQUIRE(w.runUntil([&] { return w.metricOf(host, std::string(Granted)) > 0; }));
    w.killGateway(host);
    REQUIRE(w.awaitAll());
    CHECK(w.countOf(200) + w.countOf(503) == w.answers.size());
    CHECK(w.countOf(200) > 0);
    w.answers.clear();
    w.runFor(milliseconds{1000});
    w.ask({"g1", "g2"}, 2);
    REQUIRE(w.awaitAll());
    CHECK(w.countOf(200) == 2);
}

// Guards against capacity that stays reserved for a node that is gone.
TEST_CASE("a host releases the reservations of an entry node that is killed")
{
    scarce_world w;
    const auto host = scarce_world::hostName({"g1"});
    w.startGateway("g1");
    w.startGateway(host);
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    w.runFor(milliseconds{300});
    w.ask({"g1"}, 8);
    REQUIRE(w.runUntil([&] { return w.metricOf(host, std::string(Reserved)) > 0; }));
    const auto killedAt = w.clock.now();
    w.killGateway("g1");
    REQUIRE(w.runUntil([&] { return w.metricOf(host, std::string(Reserved)) == 0; }));
    CHECK(w.clock.now() - killedAt < milliseconds{300});
    w.answers.clear();
    w.ask({host}, 1);
    REQUIRE(w.awaitAll());
    CHECK(w.countOf(200) == 1);
}

// Guards against capacity that stays reserved, until it lapses, for pieces which go to another
// pool.
TEST_CASE("a reservation is released at once when its pieces go to another data centre")
{
    world w;
    w.regions = {{data_center_id("y"), region_id("r")}, {data_center_id("z"), region_id("r")}};
    w.publish(1, streamRoute(true, TwoStages),
              stageService("p", 16, 400) + "," + stageService("q", 2, 60)
                  + R"(,{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})");
    int handles = 0;
    int piecesInY = 0;
    const auto addStage = [&](const std::string &service, const std::string &id, bool inY, int ms) {
        auto &added = w.addServer(service, id, inY ? "y" : "z");
        added.setBehaviour(
            [&, ms, counts = inY && service == "q"](const server_request &request,
                                                    const std::shared_ptr<server_answer> &answer) {
                piecesInY += counts ? 1 : 0;
                answerStages(w, added, request, answer, milliseconds{ms}, handles);
            });
    };
    // Its two calls are shorter than published, so that the places lapse long after the pieces.
    addStage("p", "p-1", true, 150);
    for (const bool inY : {true, false}) {
        const std::string dataCenter = inY ? "y" : "z";
        w.addServer("engine", "engine-" + dataCenter, dataCenter).setBehaviour(answerOneEvent);
        for (int i = 0; i < 3; ++i) // from three servers on, a data centre has a pool of its own
            addStage("q", "q-" + dataCenter + std::to_string(i), inY, 60);
    }
    w.startGateway("y1", true, "y");
    w.startGateway("z1");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    std::vector<std::shared_ptr<client_answer>> answers;
    for (int i = 0; i < 6; ++i)
        answers.push_back(w.request("z1", makeStagedRequest(std::to_string(i), "1,1"), "prompt"));
    const auto reserved = [&] {
        const auto text = w.metrics("z1");
        const auto row = std::string(Reserved) + "{service=\"q\"} ";
        const auto at = text.find(row);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + row.size()));
    };
    REQUIRE(w.runUntil([&] { return reserved() > 0; }, milliseconds{300}));
    w.evacuate("z");
    REQUIRE(w.runUntil([&] { return piecesInY > 0; }));
    CHECK(w.runUntil([&] { return reserved() == 0; }, milliseconds{300}));
    for (const auto &each : answers)
        CHECK(w.await(each));
}

// Guards against requests that wait for the answer of a host that has stopped responding.
TEST_CASE("requests don't wait for a host that is a member but answers nothing")
{
    scarce_world w;
    const auto host = scarce_world::hostName({"g1"});
    w.startGateway("g1");
    w.startSilentPeer(host);
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    w.runFor(milliseconds{300});
    w.ask({"g1"}, 4);
    REQUIRE(w.awaitAll());
    CHECK(w.countOf(200) == 4);
    const auto hosted = "host=" + host;
    CHECK(w.runUntil([&] { return w.logOutput.str().find(hosted) != std::string::npos; }));
    CHECK(w.logOutput.str().find("event=stage_host_lost") != std::string::npos);
}
