// Options of TCP connections, as the kernel has them.
#include "http/acceptor.h"
#include "http/stream_socket.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace orchidlead;

namespace {

constexpr int MaxDescriptors = 256;

struct silent_events final : http::stream_events
{
    void onConnected() override { connected = true; }
    void onBytes(std::string_view /*bytes*/) override { }
    void onEnd(bool /*orderly*/) override { }
    bool connected = false;
};

/// Returns the options of the descriptors that are connected to, or from, a port.
std::vector<std::pair<int, int>> timeoutsAndKeepAlives(std::uint16_t port)
{
    std::vector<std::pair<int, int>> found;
    for (int descriptor = 0; descriptor < MaxDescriptors; ++descriptor) {
        sockaddr_in here{};
        sockaddr_in there{};
        socklen_t size = sizeof here;
        if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&here), &size) != 0)
            continue;
        size = sizeof there;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr *>(&there), &size) != 0)
            continue;
        if (ntohs(here.sin_port) != port && ntohs(there.sin_port) != port)
            continue;
        int timeout = 0;
        int keepAlive = 0;
        size = sizeof timeout;
        ::getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &size);
        size = sizeof keepAlive;
        ::getsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &keepAlive, &size);
        found.emplace_back(timeout, keepAlive);
    }
    return found;
}

} // namespace

// Guards against connections that the kernel ends while a healthy server is silent: the user
// timeout also decides when unanswered keep-alive probes end a connection, whatever their count.
TEST_CASE("a connection outlives seconds of silence")
{
    constexpr int LongestSilenceMs = 1500;
    const system_clock_source clock;
    http::io_loop loop(clock);
    std::shared_ptr<http::stream_socket> accepted;
    silent_events server;
    silent_events client;
    auto listening = http::acceptor::create(loop, {"127.0.0.1", 0}, [&](auto socket) {
        accepted = std::move(socket);
        accepted->start(server);
    });
    REQUIRE(listening);
    const auto port = listening.value()->port();
    const auto socket = http::stream_socket::connect(loop, {"127.0.0.1", port}, client);
    loop.context().run_for(std::chrono::milliseconds{200});
    REQUIRE(client.connected);
    REQUIRE(accepted);
    const auto options = timeoutsAndKeepAlives(port);
    REQUIRE(options.size() == 2);
    for (const auto &[timeout, keepAlive] : options) {
        CHECK(timeout >= 2 * LongestSilenceMs);
        CHECK(keepAlive == 0);
    }
    socket->close();
    accepted->close();
}
