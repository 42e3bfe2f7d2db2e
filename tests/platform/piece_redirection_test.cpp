// Redirection of waiting pieces between the pools of a service in two data centres, with whole
// gateways: which pieces move, and what happens when a node fails in the meantime.
#include "platform_world.h"
#include "wire/json_text.h"

#include <orchidlead/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Number of servers from which on each data centre has a pool of its own.
constexpr std::size_t ServersPerPool = 3;
/// Requests of one piece that arrive at once in one data centre: its servers need a second for
/// them, which is within the latency objective of 1.5 s.
constexpr int Burst = 90;
constexpr milliseconds CallTime{100};

const std::string Stages = R"([{"service":"p","after":[],"length":100}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":4,"call_ms":100,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},)"
    R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

/// Gateways and stage servers in the data centres y and z; each gateway is named by its data centre
/// and a number.
struct split_world : world
{
    explicit split_world(const std::vector<std::string> &gateways,
                         gateway::disabled_policies without = {},
                         const std::string &customerFields = {})
    {
        peersCanBeCut = true;
        disabledPolicies = std::move(without);
        regions = {{data_center_id("y"), region_id("r")}, {data_center_id("z"), region_id("r")}};
        publish(1, streamRoute(true, Stages), Services, customerFields);
        for (const std::string dataCenter : {"z", "y"}) {
            addServer("engine", "engine-" + dataCenter, dataCenter).setBehaviour(answerOneEvent);
            for (std::size_t i = 0; i < ServersPerPool; ++i)
                addStageServer(dataCenter, i);
        }
        for (const auto &each : gateways)
            startGateway(each, true, each.substr(0, 1));
        REQUIRE(runUntil([&] { return knowsMembers(gateways.size()); }));
    }

    /// Sends a burst of requests to a gateway.
    void sendBurst(const std::string &gateway)
    {
        for (int i = 0; i < Burst; ++i)
            answers.push_back(
                request(gateway, makeStagedRequest(gateway + "-" + std::to_string(i), "1"), "x"));
    }
    /// Waits for all answers; returns how many have this status.
    std::size_t awaitAnswers(int status = 200)
    {
        for (const auto &each : answers)
            REQUIRE(await(each));
        return static_cast<std::size_t>(
            std::ranges::count(answers, status, [](const auto &each) { return each->status; }));
    }
    /// Returns the number of pieces that the servers of a data centre received.
    [[nodiscard]] std::size_t piecesIn(const std::string &dataCenter) const
    {
        const auto found = m_pieces.find(dataCenter);
        return found == m_pieces.end() ? 0 : found->second;
    }
    /// Returns how often the piece computed most often was computed.
    [[nodiscard]] int mostComputed() const
    {
        int most = 0;
        for (const auto &[attempt, times] : m_computed)
            most = std::max(most, times);
        return most;
    }
    /// Returns the number of requests of which a piece was computed.
    [[nodiscard]] std::size_t computed() const { return m_computed.size(); }
    /// Returns the count of redirected pieces of a gateway with this event.
    int redirected(const std::string &gateway, const std::string &event)
    {
        const auto text = metrics(gateway);
        const auto name = "redirected_pieces_total{event=\"" + event + "\",service=\"p\"} ";
        const auto at = text.find(name);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size()));
    }
    /// Returns the gateway that hosts the pool of its data centre.
    static std::string hostAmong(const std::vector<std::string> &gateways)
    {
        const std::vector<vm_id> nodes(gateways.begin(), gateways.end());
        return rendezvousPick("p", nodes, 1).front().value;
    }

    std::vector<std::shared_ptr<client_answer>> answers;

private:
    void addStageServer(const std::string &dataCenter, std::size_t number)
    {
        auto &added = addServer("p", "p-" + dataCenter + std::to_string(number), dataCenter);
        added.setBehaviour(
            [this, &added, dataCenter](const server_request &request,
                                       const std::shared_ptr<server_answer> &answer) {
                if (request.head.target != "/stage-free") {
                    const auto body = wire::parseJson(request.body);
                    for (const auto &item : body.value()["items"]) {
                        ++m_pieces[dataCenter];
                        ++m_computed[item["id"].asString()];
                    }
                }
                answerStages(*this, added, request, answer, CallTime, m_handles);
            });
    }

    std::map<std::string, std::size_t> m_pieces; ///< received, by data centre
    std::map<std::string, int> m_computed; ///< times, by the request's attempt
    int m_handles = 0;
};

} // namespace

TEST_CASE("a burst in one data centre uses the idle stage servers of the other one")
{
    split_world w({"y1", "z1"});
    w.sendBurst("z1");
    CHECK(w.awaitAnswers() == Burst);
    CHECK(w.piecesIn("y") >= ServersPerPool * 4);
    CHECK(w.piecesIn("z") > w.piecesIn("y"));
    CHECK(w.mostComputed() == 1);
    CHECK(w.computed() == Burst);
    CHECK(w.redirected("z1", "away") == static_cast<int>(w.piecesIn("y")));
    CHECK(w.redirected("y1", "received") == static_cast<int>(w.piecesIn("y")));
    CHECK(w.redirected("z1", "returned") == 0);
    CHECK(w.logOutput.str().find("pieces_redirected") != std::string::npos);
}

TEST_CASE("nothing is redirected without the policy, or while the other data centre is evacuated")
{
    const bool evacuated = GENERATE(false, true);
    INFO("evacuated " << evacuated);
    split_world w({"y1", "z1"},
                  evacuated ? gateway::disabled_policies{}
                            : gateway::disabled_policies{gateway::policy::PieceRedirection});
    if (evacuated) {
        w.evacuate("y");
        REQUIRE(w.runUntil([&] {
            return w.metrics("z1").find("what=\"evacuated_data_centers\"} 1") != std::string::npos
                && w.metrics("y1").find("what=\"evacuated_data_centers\"} 1") != std::string::npos;
        }));
    }
    w.sendBurst("z1");
    w.awaitAnswers();
    CHECK(w.piecesIn("z") > 0);
    CHECK(w.piecesIn("y") == 0);
    CHECK(w.redirected("z1", "away") == 0);
}

TEST_CASE("the pieces of a customer that is bound to regions aren't redirected")
{
    split_world w({"y1", "z1"}, {}, R"(,"allowed_regions":["r"])");
    w.sendBurst("z1");
    w.awaitAnswers();
    CHECK(w.piecesIn("z") > 0);
    CHECK(w.piecesIn("y") == 0);
}

// Guards against pieces that are lost with the host that they were redirected to: their submitter
// sends them to the next host of that pool.
TEST_CASE("redirected pieces are computed although the host that received them is killed")
{
    const std::vector<std::string> targets{"y1", "y2"};
    split_world w({"y1", "y2", "z1"});
    w.sendBurst("z1");
    REQUIRE(w.runUntil([&] { return w.piecesIn("y") > 0; }));
    w.killGateway(split_world::hostAmong(targets));
    CHECK(w.awaitAnswers() == Burst);
    CHECK(w.computed() == Burst);
    CHECK(w.redirected("z1", "away") > 0);
}

TEST_CASE("redirected pieces return to their data centre when all hosts of the other one are gone")
{
    split_world w({"y1", "z1"});
    w.sendBurst("z1");
    REQUIRE(w.runUntil([&] { return w.piecesIn("y") > 0; }));
    w.killGateway("y1");
    CHECK(w.awaitAnswers() == Burst);
    CHECK(w.computed() == Burst);
}

// Guards against pieces that only the failed host knew of: those on their way to the other pool.
TEST_CASE("all pieces are computed although the loaded host is killed in a redirection")
{
    const std::vector<std::string> loaded{"z1", "z2"};
    const auto host = split_world::hostAmong(loaded);
    const auto submitter = host == "z1" ? "z2" : "z1";
    split_world w({"y1", "z1", "z2"});
    w.sendBurst(submitter);
    REQUIRE(w.runUntil([&] { return w.piecesIn("y") > 0; }));
    w.killGateway(host);
    CHECK(w.awaitAnswers() == Burst);
    CHECK(w.computed() == Burst);
}

// Guards against pieces that wait for ever at a host whose outcomes, or whose submitter's frames,
// no longer arrive, while the members still consider each other alive.
TEST_CASE("all pieces are computed although links between the hosts are cut in a redirection")
{
    const auto kind = GENERATE(cut_kind::Reset, cut_kind::Hang, cut_kind::Silent);
    const std::string cut = GENERATE("z1", "y1");
    INFO("kind of cut " << static_cast<int>(kind) << " of the links of " << cut);
    split_world w({"y1", "z1"});
    w.sendBurst("z1");
    REQUIRE(w.runUntil([&] { return w.piecesIn("y") > 0; }));
    w.cutFromPeers(cut, kind);
    CHECK(w.awaitAnswers() == Burst);
    CHECK(w.computed() == Burst);
}

// Guards against decisions without a recent report: the other pool may be as loaded as this one.
TEST_CASE("nothing is redirected while no report arrives from the other data centre")
{
    const auto kind = GENERATE(cut_kind::Reset, cut_kind::Hang, cut_kind::Silent);
    INFO("kind of cut " << static_cast<int>(kind));
    split_world w({"y1", "z1"});
    w.cutFromPeers("z1", kind);
    w.sendBurst("z1");
    w.awaitAnswers();
    CHECK(w.piecesIn("z") > 0);
    CHECK(w.piecesIn("y") == 0);
    CHECK(w.redirected("z1", "away") == 0);
    CHECK(w.mostComputed() == 1);
}
