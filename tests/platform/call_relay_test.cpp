#include "gateway/relay/call_relay.h"
#include "gateway/relay/relay_fields.h"
#include "http/connection_pool.h"
#include "platform/codec.h"
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

using namespace orchidlead;
using namespace orchidlead::gateway;
using namespace orchidlead::platform_world;

namespace {

constexpr std::uint64_t FirstStart = 1'764'000'000'000;

/// A relay before one server, and a caller that sends it an order.
struct relay_world
{
    relay_world()
    {
        backend.setBehaviour([](const server_request &request, const auto &answer) {
            answer->write(signedAnswer(request, "ok"));
        });
        REQUIRE_FALSE(relay.start(at));
    }

    void publish(const std::string &version, std::uint64_t startedAt)
    {
        server_record record;
        record.id = backend_server_id("s-1");
        record.service = service_id("web");
        record.address = backend.address();
        record.dataCenter = data_center_id("z");
        record.version = software_version(version);
        record.startedAt = startedAt;
        directory.put(record);
    }

    /// Returns the result of a call to a start of the server.
    std::optional<relay_result> resultFor(std::optional<std::uint64_t> startedAt)
    {
        relay_order order;
        order.server = backend_server_id("s-1");
        order.startedAt = startedAt;
        std::optional<relay_result> result;
        bool ended = false;
        http::outbound_call call;
        call.writeHead = [&] {
            auto head = http::formatHead(makeRequest("GET", "/p/x", "a1"));
            insertOrder(head, order);
            return std::optional(head);
        };
        call.onHead = [&](const http::response_head &head) { result = findResult(head.fields); };
        call.onEnd = [&](http::call_end) { ended = true; };
        pool.start(at, std::move(call));
        const auto end = clock.now() + milliseconds{2000};
        while (!ended && clock.now() < end) {
            loop.context().restart();
            loop.context().run_one_for(std::chrono::milliseconds{20});
        }
        return result;
    }

    const socket_address at{"127.250.250.1", 10'200}; ///< unused by other tests
    system_clock_source clock;
    http::io_loop loop{clock};
    std::ostringstream output;
    wire::log log{wire::log_options{vm_id("test")}, output, clock};
    http::connection_pool pool{loop};
    server_directory directory{clock};
    server_transport transport{loop, pool, directory, data_center_id("z"), log, 1};
    fake_server backend{loop, "s-1"};
    call_relay<platform::codec> relay{loop, transport, directory, log};
};

} // namespace

// Guards against a stream that goes on at another software version, as its server has started again
// under the same id, which the relay knows and its peer doesn't yet.
TEST_CASE("a relay sends no call to a later start of the server than the peer has chosen")
{
    relay_world w;
    w.publish("v1", FirstStart);
    CHECK(w.resultFor(FirstStart) == relay_result::Forwarded);
    w.publish("v2", FirstStart + 1);
    CHECK(w.resultFor(FirstStart) == relay_result::Ineligible);
    CHECK(w.backend.requests().size() == 1);
    CHECK(w.resultFor(FirstStart + 1) == relay_result::Forwarded);
    CHECK(w.resultFor(std::nullopt) == relay_result::Forwarded);
}
