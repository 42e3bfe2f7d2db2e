#include "daemon/test_fleet.h"

#include <catch2/catch.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::daemon;

namespace {

const std::string Ask = R"({"customer":"saare","pipeline":"ask","input":1})";
const std::string Chat = R"({"customer":"saare","pipeline":"chat","input":1,"stream":true})";

/// A stream of an engine that goes on until the test ends it.
class long_stream
{
public:
    void begin(const net::http_request &request, const net::response_ptr &response)
    {
        const auto id = net::findHeader(request.headers, "x-request-id");
        m_head = R"(data: {"id":"cmpl-)" + std::string(id.value_or("")) + R"(","choices":[)";
        m_response = response;
        m_response->begin(200, {{"content-type", "text/event-stream"}});
    }
    [[nodiscard]] bool begun() const { return m_response != nullptr; }
    void writeToken()
    {
        m_response->write(m_head + R"({"index":0,"text":"word ","finish_reason":null}]})" + "\n\n");
    }
    void end()
    {
        m_response->write(m_head + R"({"index":0,"text":"end","finish_reason":"stop"}]})"
                          + "\n\ndata: [DONE]\n\n");
        m_response->finish();
        m_response.reset();
    }

private:
    std::string m_head;
    net::response_ptr m_response;
};

} // namespace

TEST_CASE("a planned stop fails readiness first and goes on serving until the balancer noticed")
{
    test_fleet fleet;
    fleet.node().beginStop();
    const auto ready = fleet.get(fleet.callerAddress(), "/readyz");
    CHECK(ready.status == 503);
    CHECK(parsedBody(ready)["reason"].asString() == "stopping");
    const auto served = fleet.post("/v1/requests", Ask);
    INFO(served.body);
    CHECK(served.status == 200);
    CHECK(fleet.loop().runUntil([&] { return fleet.stopped(); }));
}

TEST_CASE("a planned stop cuts off no stream and refuses new work truthfully")
{
    test_fleet fleet;
    long_stream stream;
    fleet.onRun = [&](net::http_request &&request, const net::response_ptr &response) {
        if (request.path == "/run")
            test_fleet::answerStage(request, response);
        else
            stream.begin(request, response);
    };
    const auto client = net::http_client::create(*fleet.loop());
    net::answer streamed;
    client->start(fleet.composePost("/v1/requests", Chat), net::collect(streamed));
    REQUIRE(fleet.loop().runUntil([&] { return stream.begun(); }));
    fleet.node().beginStop();
    // Well past the notice, the stream alone keeps the node.
    fleet.loop().runFor(std::chrono::milliseconds{400});
    stream.writeToken();
    const auto refused = fleet.post("/v1/requests", Ask);
    INFO(refused.body);
    CHECK(refused.status == 503);
    CHECK(parsedBody(refused)["outcome"].asString() == "not_run");
    CHECK(parsedBody(refused)["reason"].asString() == "stopping");
    CHECK(net::findHeader(refused.headers, "retry-after") == "1");
    CHECK_FALSE(fleet.stopped());
    CHECK_FALSE(streamed.end.has_value());
    stream.end();
    REQUIRE(fleet.loop().runUntil([&] { return streamed.end.has_value(); }));
    CHECK(streamed.end == net::call_end::Complete);
    CHECK_THAT(streamed.body, Catch::Contains("word end"));
    CHECK(fleet.loop().runUntil([&] { return fleet.stopped(); }));
}

TEST_CASE("a planned stop cuts off none of a flow of requests")
{
    test_fleet fleet;
    // Each is answered after a while, so that some are in flight at every moment of the stop.
    fleet.onRun = [&](net::http_request &&request, const net::response_ptr &response) {
        fleet.loop()->callAfter(std::chrono::milliseconds{30}, [request, response] {
            test_fleet::answerStage(request, response);
        });
    };
    constexpr std::size_t Count = 60;
    const auto client = net::http_client::create(*fleet.loop());
    std::vector<net::answer> answers(Count);
    std::size_t sent = 0;
    std::function<void()> sendNext = [&] {
        if (sent == Count / 4)
            fleet.node().beginStop();
        if (sent < Count && !fleet.stopped()) {
            client->start(fleet.composePost("/v1/requests", Ask), net::collect(answers[sent++]));
            fleet.loop()->callAfter(std::chrono::milliseconds{5}, sendNext);
        }
    };
    sendNext();
    REQUIRE(fleet.loop().runUntil([&] { return fleet.stopped(); }));
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unsent = 0;
    for (std::size_t at = 0; at < sent; ++at) {
        fleet.loop().runUntil([&] { return answers[at].end.has_value(); });
        CAPTURE(at, answers[at].status, answers[at].body, toName(*answers[at].end));
        answered += answers[at].status == 200 ? 1 : 0;
        refused += answers[at].status == 503 ? 1 : 0;
        unsent += answers[at].end == net::call_end::NotSent ? 1 : 0;
        const bool whole = answers[at].end == net::call_end::Complete;
        CHECK((whole || answers[at].end == net::call_end::NotSent));
    }
    INFO("answered " << answered << " refused " << refused << " unsent " << unsent);
    CHECK(answered >= Count / 4);
    CHECK(answered + refused + unsent == sent);
}

TEST_CASE("SIGTERM ends the process with success after its planned stop")
{
    const char *build = std::getenv("ORCHIDLEAD_BUILD");
    REQUIRE(build != nullptr);
    const auto ports = standins::findFreePorts(5);
    const auto address = [&](std::size_t at) { return "127.0.0.1:" + std::to_string(ports[at]); };
    char directory[] = "/tmp/orchidlead-test-XXXXXX";
    REQUIRE(::mkdtemp(directory) != nullptr);
    const std::string path = std::string(directory) + "/settings.yaml";
    std::ofstream(path) << "vm: vm-1\ndata_center: dc-1\nregion: r-1\nlisten:\n  caller: "
                        << address(0) << "\n  operator: " << address(1)
                        << "\n  peer: " << address(2)
                        << "\nplatform:\n  configuration_service: " << address(3)
                        << "\n  vm_list: " << address(4) << "\nstop: {notice: 100ms, drain: 5s}\n"
                        << "log: {file: " << directory << "/log}\n";
    const std::string program = std::string(build) + "/orchidleadd";
    const std::string option = "--settings=" + path;
    const pid_t child = ::fork();
    if (child == 0) {
        ::execl(program.c_str(), program.c_str(), option.c_str(), nullptr);
        ::_exit(127);
    }
    // The process listens before it can be asked to stop in order.
    net::test_loop loop;
    net::answer alive;
    for (int attempt = 0; attempt < 100 && alive.status != 200; ++attempt) {
        alive = {};
        net::http_call call = net::callTo(ports[0]);
        call.method = "GET";
        call.path = "/healthz";
        alive = net::callAndWait(loop, std::move(call));
        loop.runFor(std::chrono::milliseconds{20});
    }
    CHECK(alive.status == 200);
    REQUIRE(::kill(child, SIGTERM) == 0);
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
    ::unlink(path.c_str());
    ::unlink((std::string(directory) + "/log").c_str());
    ::rmdir(directory);
}
