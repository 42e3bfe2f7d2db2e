// The pattern: a data centre is cut off with resets, and this node doesn't know it yet. Its prompts
// have their home there, its own data centre has servers enough.
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// From so many on each data centre has a pool of its own.
constexpr std::size_t Engines = 8;
constexpr std::size_t StageServers = 3;
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
            for (std::size_t i = 0; i < Engines; ++i)
                add("engine", dataCenter, i).behave(answerOneEvent);
            for (std::size_t i = 0; i < StageServers; ++i) {
                auto &server = add("p", dataCenter, i);
                server.behave([this, &server](const server_request &request,
                                              const std::shared_ptr<server_answer> &answer) {
                    answerStages(*this, server, request, answer, milliseconds{20}, m_made);
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
            m_elsewhere.push_back(&server);
        return server;
    }

    /// Requests that servers of a service elsewhere got.
    [[nodiscard]] std::size_t arrivedElsewhere(const std::string &service) const
    {
        std::size_t arrived = 0;
        for (const auto *each : m_elsewhere)
            arrived += each->id().starts_with(service + "-") ? each->requests().size() : 0;
        return arrived;
    }

    void resetElsewhere()
    {
        for (auto *each : m_elsewhere)
            each->crash();
    }

    /// Sends requests that share a long part of their prompts with none of the others.
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
    std::vector<fake_server *> m_elsewhere;
    int m_made = 0;
};

} // namespace

TEST_CASE("pieces whose data centre can't be reached are made in the own one")
{
    two_data_centers w(Stages);
    w.resetElsewhere();
    CHECK(w.countServed("2") == Requests);
}

TEST_CASE("a request whose prompt has its home where no engine can be reached runs in the own one")
{
    two_data_centers w("[]");
    w.resetElsewhere();
    CHECK(w.countServed("") == Requests);
}

TEST_CASE("pieces stay with the data centre of their request's prompt while it can be reached")
{
    two_data_centers w(Stages);
    CHECK(w.countServed("2") == Requests);
    CHECK(w.arrivedElsewhere("p") >= Requests / 4);
}
