#include "gateway/servers/server_access.h"

#include <orchidlead/clock.h>

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

backend_server_id serverNumber(int number)
{
    return backend_server_id("s" + std::to_string(number));
}

/// Fails a connection to a server and starts the round for it.
void startRound(server_access &access, int server, std::size_t connections = 3)
{
    REQUIRE(access.onConnectFailure(serverNumber(server)));
    access.onRoundStarted(connections);
}

/// Fails a connection to a server and all connections of the round that it starts.
void failRound(server_access &access, int server, std::size_t connections = 3)
{
    startRound(access, server, connections);
    for (std::size_t i = 0; i < connections; ++i)
        access.onRoundFailure();
}

} // namespace

TEST_CASE("server_access: a node is cut off when all connections of a round fail")
{
    manual_clock clock;
    server_access access(clock);
    startRound(access, 1);
    CHECK(access.state() == server_access_state::Checking);
    access.onRoundFailure();
    access.onRoundFailure();
    CHECK(access.state() == server_access_state::Checking);
    access.onRoundFailure();
    CHECK(access.state() == server_access_state::CutOff);
}

TEST_CASE("server_access: one connection of a round shows that the node is not cut off")
{
    manual_clock clock;
    server_access access(clock);
    startRound(access, 1);
    access.onRoundFailure();
    access.onRoundFailure();
    access.onConnected();
    CHECK(access.state() == server_access_state::Reachable);
    access.onRoundFailure(); // late
    CHECK(access.state() == server_access_state::Reachable);
}

TEST_CASE("server_access: nothing is concluded if no other server is known")
{
    manual_clock clock;
    server_access access(clock);
    startRound(access, 1, 0);
    CHECK(access.state() == server_access_state::Reachable);
}

TEST_CASE("server_access: a server that keeps refusing connections starts a round twice a second "
          "at most")
{
    manual_clock clock;
    server_access access(clock);
    int rounds = 0;
    for (int i = 0; i < 1000; ++i) {
        if (access.onConnectFailure(serverNumber(1))) {
            ++rounds;
            access.onRoundStarted(3);
        }
        access.onConnected();
        clock.advance(milliseconds{1});
    }
    CHECK(rounds <= 3);
}

TEST_CASE("server_access: two servers that fail in a row start a round at any time")
{
    manual_clock clock;
    server_access access(clock);
    startRound(access, 1);
    access.onConnected();
    clock.advance(milliseconds{10});
    CHECK_FALSE(access.onConnectFailure(serverNumber(1)));
    CHECK(access.onConnectFailure(serverNumber(2)));
}

TEST_CASE("server_access: the first failure of a cut that follows another one starts a round")
{
    manual_clock clock;
    server_access access(clock);
    failRound(access, 1);
    REQUIRE(access.state() == server_access_state::CutOff);
    access.onConnected();
    REQUIRE(access.state() == server_access_state::Reachable);
    clock.advance(milliseconds{1});
    failRound(access, 1);
    CHECK(access.state() == server_access_state::CutOff);
}

TEST_CASE("server_access: a node that is cut off tries a connection four times a second")
{
    manual_clock clock;
    server_access access(clock);
    failRound(access, 1);
    int probes = 0;
    for (int i = 0; i < 20; ++i) {
        clock.advance(milliseconds{100});
        probes += access.isProbeDue() ? 1 : 0;
    }
    CHECK(probes >= 6);
    CHECK(probes <= 8);
}

TEST_CASE("server_access: silence of all servers is probed only while an answer is awaited")
{
    manual_clock clock;
    server_access access(clock);
    clock.advance(milliseconds{2000});
    CHECK_FALSE(access.isProbeDue());
    access.onCallSent();
    clock.advance(milliseconds{299});
    CHECK_FALSE(access.isProbeDue());
    clock.advance(milliseconds{1});
    CHECK(access.isProbeDue());
    CHECK_FALSE(access.isProbeDue());
    clock.advance(milliseconds{1000});
    access.onReceived();
    CHECK_FALSE(access.isProbeDue());
    access.onCallEnded();
    clock.advance(milliseconds{1000});
    CHECK_FALSE(access.isProbeDue());
}

// A server that stops sending for a second and then continues has not failed.
TEST_CASE("server_access: a second of silence alone is no failure")
{
    manual_clock clock;
    server_access access(clock);
    access.onCallSent();
    for (int i = 0; i < 12; ++i) {
        clock.advance(milliseconds{100});
        if (access.isProbeDue())
            access.onConnected();
    }
    CHECK(access.state() == server_access_state::Reachable);
}
