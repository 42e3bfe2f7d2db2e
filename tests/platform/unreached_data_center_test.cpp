// A data centre is cut off with connection resets, here by crashes of all its servers, and this
// node does not know it yet. Some prompts prefer it. The node's own data centre has
// enough servers.
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Smallest number of engines with which each data centre has a pool of its own.
constexpr std::size_t EnginesPerDataCenter = 8;
constexpr std::size_t StageServersPerDataCenter = 3;
constexpr int Requests = 20;

const std::string Stages = R"([{"service":"p","after":[],"length":100}])";
const std::string Services =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},)"
    R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

struct two_data_centers : world
{
    explicit two_data_centers(const std::string &stages)
    {
        publish(1, streamRoute(true, stages), Services);
        for (const std::string dataCenter : {"z", "y"}) {
            for (std::size_t i = 0; i < EnginesPerDataCenter; ++i)
                add("engine", dataCenter, i).setBehaviour(answerOneEvent);
            for (std::size_t i = 0; i < StageServersPerDataCenter; ++i) {
                auto &server = add("p", dataCenter, i);
                server.setBehaviour([this, &server](const server_request &request,
                                                    const std::shared_ptr<server_answer> &answer) {
                    answerStages(*this, server, request, answer, milliseconds{20}, m_resultCount);
                });
            }
        }
        startGateway("g1");
    }

    fake_server &add(const std::string &service, const std::string &dataCenter, std::size_t number)
    {
        const auto id = service + "-" + dataCenter + "-" + std::to_string(number);
        auto &server = addServer(service, id, dataCenter);
        if (dataCenter != "z")
            m_remoteServers.push_back(&server);
        return server;
    }

    /// Returns the number of requests that servers of a service in the other data centre received.
    [[nodiscard]] std::size_t countRemoteRequests(const std::string &service) const
    {
        std::size_t arrived = 0;
        for (const auto *each : m_remoteServers)
            arrived += each->id().starts_with(service + "-") ? each->requests().size() : 0;
        return arrived;
    }

    void crashRemoteServers()
    {
        for (auto *each : m_remoteServers)
            each->crash();
    }

    /// Crashes the remote engines that the gateway tries first.
    void crashSomeRemoteEngines(std::size_t count)
    {
        for (auto *each : m_remoteServers) {
            if (count > 0 && each->id().starts_with("engine-")) {
                each->crash();
                --count;
            }
        }
    }

    [[nodiscard]] int resultCount() const { return m_resultCount; }

    /// Sends requests, each with a long prompt part of its own, and returns how many succeeded.
    std::size_t countServed(const std::string &pieces)
    {
        std::size_t served = 0;
        for (int i = 0; i < Requests; ++i) {
            const auto number = std::to_string(i);
            const auto answer = request(
                "g1", makeStagedRequest("a-" + number, pieces, "c" + number + ":4000,d:10"), "x");
            REQUIRE(await(answer));
            served += answer->status == 200 ? 1 : 0;
        }
        return served;
    }

private:
    std::vector<fake_server *> m_remoteServers;
    int m_resultCount = 0;
};

} // namespace

TEST_CASE("pieces for servers of an unreachable data centre are computed in the node's own one")
{
    two_data_centers w(Stages);
    w.crashRemoteServers();
    CHECK(w.countServed("2") == Requests);
}

TEST_CASE("a request runs in the node's own data centre if no engine of its prompt's preferred one "
          "answers")
{
    two_data_centers w("[]");
    w.crashRemoteServers();
    CHECK(w.countServed("") == Requests);
}

TEST_CASE("pieces are computed in the preferred data centre of their prompt while it is reachable")
{
    two_data_centers w(Stages);
    CHECK(w.countServed("2") == Requests);
    CHECK(w.countRemoteRequests("p") >= Requests / 4);
}

// Guards against computing results again, in stages that may be short of room, because engines
// refuse connections: two of them were taken for a data centre that can't be reached.
TEST_CASE(
    "crashed engines of a reachable data centre don't make a request compute its stages again")
{
    constexpr std::size_t CrashedEngines = 3; // an attempt on the fourth engine is still allowed
    constexpr int PiecesPerRequest = 2;
    two_data_centers w(Stages);
    w.crashSomeRemoteEngines(CrashedEngines);
    CHECK(w.countServed(std::to_string(PiecesPerRequest)) == Requests);
    CHECK(w.countRemoteRequests("p") >= Requests / 4);
    CHECK(w.resultCount() == Requests * PiecesPerRequest);
}
