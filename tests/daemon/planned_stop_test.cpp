#include "daemon/test_fleet.h"

#include <arpa/inet.h>
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

/// A caller's connection that is kept open, written to and read from without waiting.
class kept_connection
{
public:
    explicit kept_connection(const socket_address &to)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        REQUIRE(::inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr) == 1);
        REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                == 0);
    }
    ~kept_connection() { ::close(m_socket); }
    kept_connection(const kept_connection &) = delete;
    kept_connection &operator=(const kept_connection &) = delete;

    void send(const std::string &method, const std::string &path, const std::string &body)
    {
        const std::string request = method + " " + path + " HTTP/1.1\r\nHost: entry\r\n"
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        REQUIRE(::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(request.size()));
    }

    /// Counts whole answers that told how a request ended.
    [[nodiscard]] std::size_t answers()
    {
        read();
        std::size_t count = 0;
        const std::string end = "\"finished\":true}]}";
        for (auto at = m_received.find(end); at != std::string::npos;
             at = m_received.find(end, at + 1))
            ++count;
        return count;
    }
    [[nodiscard]] const std::string &received() const { return m_received; }
    [[nodiscard]] bool closed()
    {
        read();
        return m_closed;
    }

private:
    void read()
    {
        char buffer[4096];
        for (;;) {
            const ssize_t got = ::recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
            m_closed = m_closed || got == 0;
            if (got <= 0)
                return;
            m_received.append(buffer, static_cast<std::size_t>(got));
        }
    }

    int m_socket;
    std::string m_received;
    bool m_closed = false;
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

TEST_CASE("a planned stop answers what comes on kept connections, and then closes them")
{
    test_fleet fleet;
    kept_connection kept(fleet.callerAddress());
    kept.send("POST", "/v1/requests", Ask);
    REQUIRE(fleet.loop().runUntil([&] { return kept.answers() == 1; }));
    CHECK_THAT(kept.received(), !Catch::Contains("connection: close", Catch::CaseSensitive::No));
    fleet.node().beginStop();
    kept.send("POST", "/v1/requests", Ask);
    REQUIRE(fleet.loop().runUntil([&] { return kept.answers() == 2; }));
    CHECK_THAT(kept.received(), Catch::Contains("connection: close", Catch::CaseSensitive::No));
    CHECK(fleet.loop().runUntil([&] { return kept.closed(); }));
    CHECK(fleet.loop().runUntil([&] { return fleet.stopped(); }));
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
