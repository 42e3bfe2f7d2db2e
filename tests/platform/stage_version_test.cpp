// Guards against requests that hold results of two software versions of a stage's service: what
// two versions write doesn't fit together, and servers don't check it.
#include "platform_world.h"
#include "wire/json_text.h"

#include <orchidlead/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Three stages of one service; the engine gets the results of the last two.
const std::string Stages = R"([{"service":"p","after":[],"length":100},)"
                           R"({"service":"p","after":[0],"length":50},)"
                           R"({"service":"p","after":[],"length":50}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},{"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";
constexpr std::uint64_t FirstStart = 1'764'000'000'000;
constexpr milliseconds CallTime{30};
constexpr int Requests = 24;
/// A full call and some pieces more.
const std::string ManyPieces = "12,1,0";

/// Stage servers of several versions that record which results meet.
struct version_world : world
{
    version_world()
    {
        publish(1, streamRoute(true, Stages), Services);
        addEngine("e-z", "z");
        addEngine("e-y", "y");
    }

    void addEngine(const std::string &id, const std::string &dataCenter)
    {
        addServer("engine", id, dataCenter)
            .setBehaviour([this](const server_request &request,
                                 const std::shared_ptr<server_answer> &answer) {
                checkInputs(request);
                answerOneEvent(request, answer);
            });
    }

    void checkInputs(const server_request &request)
    {
        std::set<std::string> versions;
        const std::string inputs(
            http::findField(request.head.fields, "x-input-count").value_or(""));
        for (std::size_t begin = 0; begin < inputs.size();) {
            const auto end = std::min(inputs.find(',', begin), inputs.size());
            versions.insert(versionOf[inputs.substr(begin, end - begin)]);
            begin = end + 1;
        }
        mixed += versions.size() > 1 ? 1 : 0;
        used.insert(versions.begin(), versions.end());
    }

    fake_server &addStageServer(const std::string &id, const std::string &version,
                                const std::string &dataCenter = "z")
    {
        auto &added = addServerOfVersion("p", id, version, FirstStart, dataCenter);
        added.setBehaviour([this, &added, version](const server_request &request,
                                                   const std::shared_ptr<server_answer> &answer) {
            if (request.head.target == "/stage-free")
                answer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            else
                compute(added, version, request, answer);
        });
        return added;
    }

    void compute(const fake_server &server, const std::string &version,
                 const server_request &request, const std::shared_ptr<server_answer> &answer)
    {
        ++calls[version];
        std::string results;
        const auto parsed = wire::parseJson(request.body);
        for (const auto &item : parsed.value()["items"]) {
            const auto handle = toText(server.address()) + "/" + std::to_string(versionOf.size());
            versionOf[handle] = version;
            results += (results.empty() ? R"({"handle":")" : R"(,{"handle":")") + handle + "\"}";
            const bool mixes = std::ranges::any_of(item["inputs"], [&](const Json::Value &input) {
                return versionOf[input.asString()] != version;
            });
            mixed += mixes ? 1 : 0;
        }
        const auto body = R"({"items":[)" + results + "]}";
        auto send = [answer, body] {
            answer->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                          + "\r\n\r\n" + body);
        };
        if (holds)
            held.push_back(std::move(send));
        else
            loop.callAfter(CallTime, std::move(send));
    }

    void release()
    {
        holds = false;
        for (const auto &send : std::exchange(held, {}))
            send();
    }

    /// Sends requests in turn to the gateways, a few at a time.
    std::vector<std::shared_ptr<client_answer>> ask(const std::vector<std::string> &gateways,
                                                    int count, const std::string &pieces)
    {
        std::vector<std::shared_ptr<client_answer>> answers;
        for (int i = 0; i < count; ++i) {
            const auto attempt = "a" + std::to_string(++m_attempts);
            answers.push_back(request(gateways[static_cast<std::size_t>(i) % gateways.size()],
                                      makeStagedRequest(attempt, pieces), "prompt"));
            runFor(milliseconds{10});
        }
        return answers;
    }

    /// Waits until the gateway g1 may use this number of servers, engines included.
    bool waitForUsable(int servers)
    {
        const auto row = "what=\"usable_servers\"} " + std::to_string(servers) + "\n";
        return runUntil([&] { return metrics("g1").find(row) != std::string::npos; });
    }

    int countServed(const std::vector<std::shared_ptr<client_answer>> &answers)
    {
        for (const auto &each : answers)
            REQUIRE(await(each));
        return static_cast<int>(std::ranges::count_if(answers, [](const auto &each) {
            return each->status == 200 && each->end == http::call_end::Complete;
        }));
    }

    std::map<std::string, std::string> versionOf; ///< by handle
    std::map<std::string, int> calls; ///< by version
    std::set<std::string> used; ///< versions whose results the engine got
    int mixed = 0; ///< pieces and requests that hold results of two versions
    bool holds = false; ///< stage servers answer when `release` is called
    std::vector<std::function<void()>> held;

    /// Starts a node of an earlier release that hosts the pool if the other node is `other`: it
    /// gives pieces to all versions alike.
    void startEarlierHost(const std::string &other)
    {
        int i = 0;
        while (rendezvousPick("p", std::vector{vm_id(hostName(i)), vm_id(other)}, 1).front()
               == vm_id(other))
            ++i;
        gateway::peer_events events;
        events.onFrame = [this](const std::shared_ptr<gateway::peer_link> &link,
                                gateway::peer_frame &&frame) {
            if (std::holds_alternative<gateway::ping_frame>(frame))
                link->send(gateway::pong_frame{});
            const auto *piece = std::get_if<gateway::submit_piece_frame>(&frame);
            if (!piece)
                return;
            const std::string version = ++hosted % 2 == 0 ? "v1" : "v2";
            const auto handle =
                toText(server(version + "-0").address()) + "/hosted-" + std::to_string(hosted);
            versionOf[handle] = version;
            link->send(gateway::piece_outcome_frame{piece->token, {handle}});
        };
        events.onLinkClosed = [](const auto &) {};
        events.onPeerVersion = [](const auto &, auto) {};
        events.onHostChanged = [](const auto &, const auto &) {};
        events.onReachability = [](const auto &) {};
        m_earlierHost = std::make_unique<gateway::peer_network>(
            loop, m_log, makeSettings(hostName(i), "z"), 1, std::move(events));
        REQUIRE_FALSE(m_earlierHost->start());
    }

    int hosted = 0; ///< pieces that reached the earlier release

private:
    static std::string hostName(int i) { return "host" + std::to_string(i); }

    std::ostringstream m_logOutput;
    wire::log m_log{wire::log_options{vm_id("earlier")}, m_logOutput, clock};
    std::unique_ptr<gateway::peer_network> m_earlierHost;
    int m_attempts = 0;
};

} // namespace

TEST_CASE("a request gets stage results of one software version while two versions serve")
{
    version_world w;
    for (const std::string version : {"v1", "v2"}) {
        for (int i = 0; i < 2; ++i)
            w.addStageServer(version + "-" + std::to_string(i), version);
    }
    w.startGateway("g1");
    w.startGateway("g2");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    CHECK(w.countServed(w.ask({"g1", "g2"}, Requests, "3,2,1")) == Requests);
    CHECK(w.mixed == 0);
    CHECK(w.used == std::set<std::string>{"v1", "v2"});
}

// Guards against a version whose servers are all in another data centre than the request's pool.
TEST_CASE("a request gets stage results of one software version where pools are split")
{
    version_world w;
    for (int i = 0; i < 3; ++i) {
        w.addStageServer("z-" + std::to_string(i), "v1", "z");
        w.addStageServer("y-" + std::to_string(i), i == 0 ? "v1" : "v2", "y");
    }
    w.startGateway("g1", true, "z");
    w.startGateway("g2", true, "y");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    CHECK(w.countServed(w.ask({"g1", "g2"}, Requests, "3,2,1")) == Requests);
    CHECK(w.mixed == 0);
    CHECK(w.used == std::set<std::string>{"v1", "v2"});
}

TEST_CASE("a request keeps the software version of its stage results when another one appears")
{
    version_world w;
    w.addStageServer("v1-0", "v1");
    w.startGateway("g1");
    REQUIRE(w.waitForStoreWatch());
    w.holds = true;
    const auto answers = w.ask({"g1"}, 1, "2,2,1");
    REQUIRE(w.runUntil([&] { return w.calls["v1"] == 1; }));
    // After a slow call the new servers are preferred.
    for (int i = 0; i < 3; ++i)
        w.addStageServer("v2-" + std::to_string(i), "v2");
    REQUIRE(w.waitForUsable(6));
    w.release();
    CHECK(w.countServed(answers) == 1);
    CHECK(w.mixed == 0);
}

// Guards against pieces that were submitted while a single version was known.
TEST_CASE("pieces that wait while another software version appears don't mix results of both")
{
    version_world w;
    w.addStageServer("v1-0", "v1");
    w.startGateway("g1");
    REQUIRE(w.waitForStoreWatch());
    w.holds = true;
    const auto answers = w.ask({"g1"}, 1, ManyPieces);
    REQUIRE(w.runUntil([&] { return w.calls["v1"] == 1; }));
    w.addStageServer("v2-0", "v2");
    REQUIRE(w.waitForUsable(4));
    w.release();
    CHECK(w.countServed(answers) == 1);
    CHECK(w.mixed == 0);
}

TEST_CASE("stages are repeated at another software version when the last server of theirs leaves")
{
    version_world w;
    auto &old = w.addStageServer("v1-0", "v1");
    w.startGateway("g1");
    REQUIRE(w.waitForStoreWatch());
    w.holds = true;
    const auto answers = w.ask({"g1"}, 1, "2,2,1");
    REQUIRE(w.runUntil([&] { return w.calls["v1"] == 1; }));
    w.addStageServer("v2-0", "v2");
    REQUIRE(w.waitForUsable(4));
    w.announceVersion(old, "p", "v1", FirstStart, "z", "draining");
    REQUIRE(w.waitForUsable(3));
    w.release();
    CHECK(w.countServed(answers) == 1);
    CHECK(w.mixed == 0);
    CHECK(w.used == std::set<std::string>{"v2"});
}

// Guards against results of two versions while gateways are updated during a release of servers.
TEST_CASE("a request gets stage results of one software version from a host of an earlier release")
{
    version_world w;
    w.disabledPolicies = {gateway::policy::WholeRequestAdmission};
    w.addStageServer("v1-0", "v1");
    w.addStageServer("v2-0", "v2");
    w.startGateway("g1");
    w.startEarlierHost("g1");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    w.runFor(milliseconds{300});
    constexpr int Count = 8;
    CHECK(w.countServed(w.ask({"g1"}, Count, "2,1,1")) == Count);
    CHECK(w.hosted > 0);
    CHECK(w.mixed == 0);
}
