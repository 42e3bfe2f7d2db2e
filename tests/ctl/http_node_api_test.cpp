#include "ctl/http_node_api.h"
#include "net/event_loop.h"
#include "net/http_server.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>

namespace orchidlead::ctl {
namespace {

/// An HTTP server on a thread of its own, since the tool's call blocks its caller.
class server_thread
{
public:
    explicit server_thread(net::http_handler handler)
        : m_loop(net::event_loop::create().value())
    {
        net::http_server_options options;
        options.listen = {"127.0.0.1", 0};
        m_server = net::http_server::create(*m_loop, options, std::move(handler)).value();
        m_address = {"127.0.0.1", m_server->port()};
        m_thread = std::thread([this] { m_loop->run(); });
    }

    ~server_thread()
    {
        m_loop->stop();
        m_thread.join();
    }

    [[nodiscard]] const socket_address &address() const { return m_address; }

private:
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<net::http_server> m_server;
    socket_address m_address;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a call brings the node's status and body, and its streamed parts in order")
{
    const server_thread server([](net::http_request &&request, const net::response_ptr &response) {
        if (request.path == "/stream") {
            response->begin(200, {{"content-type", "text/event-stream"}});
            response->write("data: 1\n\n");
            response->write("data: 2\n\n");
            response->finish();
            return;
        }
        response->respond(409, {{"content-type", "application/json"}},
                          request.method + request.path + "?" + request.query + request.body);
    });
    api_request request{server.address(), "POST", "/v1/x?a=1", "{}", milliseconds(5000), {}};
    const auto answer = callOverHttp(request);
    REQUIRE(answer);
    CHECK(answer.value().status == 409);
    CHECK(answer.value().body == "POST/v1/x?a=1{}");

    std::string parts;
    request.path = "/stream";
    request.onStream = [&](std::string_view bytes) { parts += bytes; };
    REQUIRE(callOverHttp(request));
    CHECK(parts == "data: 1\n\ndata: 2\n\n");
}

TEST_CASE("a call to nobody, and one that isn't answered in time, are errors")
{
    net::response_ptr kept;
    const server_thread server(
        [&](net::http_request &&, const net::response_ptr &response) { kept = response; });
    api_request request{server.address(), "GET", "/", "", milliseconds(200), {}};
    const auto late = callOverHttp(request);
    REQUIRE_FALSE(late);
    CHECK(late.error().what == "no whole answer in time");

    request.address.port = 1;
    const auto nobody = callOverHttp(request);
    REQUIRE_FALSE(nobody);
    CHECK(nobody.error().what == "can't connect; nothing was sent");
}

} // namespace orchidlead::ctl
