#include "gateway/quarantine/server_crash_detector.h"

#include <orchidlead/clock.h>

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

request_digest digestNumber(std::uint8_t number)
{
    request_digest digest;
    digest.bytes.front() = number;
    return digest;
}

} // namespace

TEST_CASE(
    "server_crash_detector: one probe connection is opened for all broken connections of a server")
{
    manual_clock clock;
    server_crash_detector observer(clock);
    const backend_server_id server("s");
    const auto began = clock.now();
    CHECK(observer.onConnectionBroken(server, {{digestNumber(1), clock.now()}}));
    clock.advance(milliseconds{3});
    CHECK_FALSE(observer.onConnectionBroken(server, {{digestNumber(2), clock.now()}}));
    CHECK_FALSE(observer.onConnectionBroken(
        server, {{digestNumber(2), clock.now()}})); // another piece of the same request
    CHECK(
        observer.onConnectionBroken(backend_server_id("other"), {{digestNumber(3), clock.now()}}));
    const auto end = observer.onProbeResult(server);
    REQUIRE(end);
    CHECK(end->server.value == "s");
    CHECK(end->at == began);
    REQUIRE(end->subjects.size() == 2);
    CHECK(toText(end->subjects[1].digest) == toText(digestNumber(2)));
}

TEST_CASE("server_crash_detector: a connection that breaks after a probe starts another probe")
{
    manual_clock clock;
    server_crash_detector observer(clock);
    const backend_server_id server("s");
    REQUIRE(observer.onConnectionBroken(server, {{digestNumber(1), clock.now()}}));
    REQUIRE(observer.onProbeResult(server));
    CHECK_FALSE(observer.onProbeResult(server));
    CHECK(observer.onConnectionBroken(server, {{digestNumber(1), clock.now()}}));
}
