// What a submitter does with a redirected piece, where its view of the servers differs from that of
// the host.
#include "gateway/stages/stage_router.h"
#include "platform/codec.h"

#include <catch2/catch.hpp>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const service_id Service("p");
constexpr milliseconds ColdTime{60'000};

gateway_settings makeSettings()
{
    gateway_settings settings;
    settings.vm = vm_id("z1");
    settings.dataCenter = data_center_id("z");
    return settings;
}

configuration_ptr makeConfiguration()
{
    configuration content;
    service_spec service;
    service.id = Service;
    service.stage = stage_capacity{};
    service.stage->callOverhead = milliseconds{1000}; // longer than each test
    content.services.push_back(service);
    return std::make_shared<const configuration_index>(std::move(content));
}

/// A node that hosts all pools itself, with stage servers in three data centres that never answer:
/// those of c are cold.
struct router_fixture
{
    router_fixture()
    {
        for (const std::string dataCenter : {"a", "b", "c"}) {
            for (int i = 0; i < 3; ++i) {
                server_record record;
                record.id = backend_server_id(dataCenter + std::to_string(i));
                record.service = Service;
                record.dataCenter = data_center_id(dataCenter);
                record.address = {"127.0.0.1", listen()};
                directory.put(record, dataCenter == "c" ? ColdTime : milliseconds{0});
            }
        }
        host.setConfiguration(makeConfiguration());
    }

    /// Submits a piece that may be redirected to the pool of a; returns its token.
    piece_token submit()
    {
        piece_task job;
        job.request.attempt = "r1";
        job.softDeadline = loop.now() + milliseconds{3000};
        job.deadline = job.softDeadline;
        job.preferredDataCenter = data_center_id("a");
        const auto token = router.submit(Service, std::move(job), [](const piece_report &) {});
        run();
        return token;
    }
    /// Reports to the submitter that a host redirected its piece.
    void redirect(piece_token token, const std::string &to)
    {
        router.onFrame(nullptr,
                       piece_outcome_frame{token,
                                           {piece_failure::Redirected, milliseconds{0},
                                            pool_key{Service, data_center_id(to)}}});
        run();
    }
    void run()
    {
        loop.context().restart();
        loop.context().run_for(milliseconds{30});
    }
    /// Returns the number of servers of a data centre that have no call.
    std::uint32_t idleIn(const std::string &dataCenter)
    {
        return host.loadOf({Service, data_center_id(dataCenter)}).idleServers;
    }
    bool countsReturned(int pieces)
    {
        return metrics.text({}).find("redirected_pieces_total{event=\"returned\",service=\"p\"} "
                                     + std::to_string(pieces))
            != std::string::npos;
    }

    system_clock_source clock;
    std::ostringstream logOutput;
    wire::log log{wire::log_options{vm_id("z1")}, logOutput, clock};
    http::io_loop loop{clock};
    http::connection_pool connections{loop};
    gateway_settings settings = makeSettings();
    gateway_metrics metrics;
    server_directory directory{clock};
    server_transport transport{loop, connections, directory, settings.dataCenter, log, 1};
    service_retry_budget retryBudget{clock, {0.0, 1000.0, milliseconds{10'000}}};
    stage_host<platform::codec> host{loop, transport, directory, retryBudget, log, metrics};
    peer_network peers{loop,
                       log,
                       settings,
                       1,
                       {[](const auto &, auto &&) {}, [](const auto &) {},
                        [](const auto &, auto) {}, [](const auto &, const auto &) {},
                        [](const auto &) {}}};
    stage_router<platform::codec> router{loop,      log,         peers,   host,
                                         directory, retryBudget, metrics, settings};

private:
    /// Accepts connections that are never answered; returns the port.
    std::uint16_t listen()
    {
        auto made = http::acceptor::create(loop, {"127.0.0.1", 0},
                                           [this](std::shared_ptr<http::stream_socket> socket) {
                                               m_accepted.push_back(std::move(socket));
                                           });
        REQUIRE(made);
        m_silent.push_back(std::move(made).value());
        return m_silent.back()->port();
    }

    std::vector<std::unique_ptr<http::acceptor>> m_silent;
    std::vector<std::shared_ptr<http::stream_socket>> m_accepted;
};

} // namespace

// The first host keeps its copy of the piece in this test, so the servers of `a` have one call.
TEST_CASE("a redirected piece goes to the pool that its host names")
{
    router_fixture f;
    const auto token = f.submit();
    REQUIRE(f.idleIn("a") == 2);
    f.redirect(token, "b");
    CHECK(f.idleIn("a") == 2);
    CHECK(f.idleIn("b") == 2);
    CHECK_FALSE(f.countsReturned(1));
}

// Guards against pieces that go to and fro, and against pieces that wait for servers that this node
// must not use.
TEST_CASE("a piece goes back to its pool if it can't be redirected there, or was redirected before")
{
    router_fixture f;
    const auto cold = f.submit();
    f.redirect(cold, "c");
    CHECK(f.idleIn("a") == 1);
    CHECK(f.countsReturned(1));
    f.redirect(cold, "b"); // it has returned once, so it stays
    CHECK(f.idleIn("a") == 0);
    CHECK(f.idleIn("b") == 3);
    CHECK(f.countsReturned(2));
}

TEST_CASE("a piece that was redirected once isn't redirected again")
{
    router_fixture f;
    const auto token = f.submit();
    f.redirect(token, "b");
    f.redirect(token, "a");
    CHECK(f.idleIn("a") == 2);
    CHECK(f.idleIn("b") == 1);
    CHECK(f.countsReturned(1));
}
