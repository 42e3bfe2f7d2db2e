#include "net/http_client.h"
#include "net/http_server.h"
#include "net/udp_socket.h"
#include "standins/loop_driver.h"
#include "standins/peer_relay.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace orchidlead;
using namespace orchidlead::standins;
using namespace std::chrono_literals;

namespace {

const socket_address AnyPort{"127.0.0.1", 0};
constexpr milliseconds Patience{10000}; // for what comes, on however busy a machine
constexpr milliseconds Silence{300}; // in which nothing may come

/// One process as the relay sees it: a UDP socket, and an HTTP server on the same number.
struct peer
{
    peer(net::event_loop &loop, loop_driver &runner)
        : driver(runner)
    {
        net::http_server_options options;
        options.listen = AnyPort;
        server = std::move(
            net::http_server::create(loop, options, [](net::http_request &&, const auto &response) {
                response->respond(200, {}, "{}");
            }).value());
        address = {"127.0.0.1", server->port()};
        socket = std::move(
            net::udp_socket::create(loop, address,
                                    [this](const socket_address &from, std::string_view bytes) {
                                        lastFrom = from;
                                        received += bytes;
                                    })
                .value());
    }

    loop_driver &driver;
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<net::udp_socket> socket;
    socket_address address;
    socket_address lastFrom;
    std::string received;
};

} // namespace

TEST_CASE("a relay shows receivers the sender's listed address, and a cut link passes nothing")
{
    const auto loop = std::move(net::event_loop::create().value());
    const auto client = net::http_client::create(*loop);
    loop_driver driver(*loop, *client);
    peer one(*loop, driver);
    peer two(*loop, driver);
    const auto relay =
        std::move(peer_relay::create({{"one", one.address, {}}, {"two", two.address, {}}}).value());
    relay->setProcess("one", ::getpid());
    const auto arrives = [&](const char *text, milliseconds patience) {
        one.socket->send(relay->listed("two"), text);
        return driver.runUntil([&] { return two.received == text; }, patience);
    };
    const auto answers = [&](milliseconds patience) {
        return driver.call(relay->listed("two"), "GET", "/", "", patience).has_value();
    };

    CHECK(arrives("a", Patience));
    CHECK(two.lastFrom == relay->listed("one"));
    CHECK(answers(Patience));
    CHECK(relay->counted().unknownSenders == 0);

    relay->cut("two", "one");
    two.received.clear();
    CHECK_FALSE(arrives("b", Silence));
    CHECK_FALSE(answers(Silence));

    relay->heal();
    CHECK(arrives("c", Patience));
    CHECK(answers(Patience));
}
