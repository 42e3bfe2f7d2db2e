#include "http/connection_pool.h"
#include "http/inbound_connection.h"
#include "http/io_loop.h"
#include "http/listener.h"

#include <orchidlead/clock.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace orchidlead;
using namespace orchidlead::http;

namespace {

/// A server that answers each request with the same body, and a pool that calls it.
struct fixture
{
    fixture()
    {
        shared->onRequest = [this](const inbound_ptr &client, request_head &&, std::string &&) {
            ++requests;
            client->respond(200, {}, "body");
        };
        auto made = listener::create(loop, {"127.0.0.1", 0}, shared);
        REQUIRE(made);
        server = std::move(made).value();
    }

    /// Sends a request and returns whether its answer ended within a second.
    bool completes(bool pauses)
    {
        bool ended = false;
        outbound_call call;
        call.writeHead = [] { return std::optional<std::string>("GET / HTTP/1.1\r\n\r\n"); };
        pool_call id = 0;
        call.onBody = [&](std::string_view) {
            if (pauses)
                pool.setReading(id, false);
        };
        call.onEnd = [&](call_end how) { ended = how == call_end::Complete; };
        id = pool.start({"127.0.0.1", server->port()}, std::move(call));
        const auto end = clock.now() + milliseconds{1000};
        while (!ended && clock.now() < end) {
            loop.context().restart();
            loop.context().run_one_for(std::chrono::milliseconds{20});
        }
        pool.abandon(id);
        return ended;
    }

    system_clock_source clock;
    io_loop loop{clock};
    std::shared_ptr<inbound_shared> shared = std::make_shared<inbound_shared>();
    std::unique_ptr<listener> server;
    connection_pool pool{loop};
    int requests = 0;
};

} // namespace

// Guards against a call without answer on a connection whose last answer was paused, for a client
// that read slowly, when it ended.
TEST_CASE("connection_pool: a connection is read again for its next call")
{
    fixture w;
    REQUIRE(w.completes(true));
    CHECK(w.completes(false));
    CHECK(w.requests == 2);
    CHECK(w.pool.opened() == 1);
}
