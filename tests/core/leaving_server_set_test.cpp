#include "core/servers/leaving_server_set.h"

#include <catch2/catch.hpp>

using namespace orchidlead;

namespace {
const backend_server_id Server{"runner-1"};
constexpr milliseconds PastReportLag{7000};
} // namespace

TEST_CASE("a leaving server is a new change only once")
{
    manual_clock clock;
    leaving_server_set servers(clock);
    CHECK(servers.apply({Server, true}));
    CHECK_FALSE(servers.apply({Server, true}));
    CHECK(servers.all() == std::vector<leaving_update>{{Server, true}});
}

TEST_CASE("a lagging load report does not override the server's statement that it is leaving")
{
    manual_clock clock;
    leaving_server_set servers(clock);
    CHECK(servers.apply({Server, true}));
    clock.advance(milliseconds{2000});
    CHECK_FALSE(servers.apply({Server, false}));
    CHECK(servers.all().size() == 1);
    clock.advance(PastReportLag);
    CHECK(servers.apply({Server, false}));
    CHECK(servers.all().empty());
}

TEST_CASE("a server that accepts work is not a change unless it was leaving")
{
    manual_clock clock;
    leaving_server_set servers(clock);
    CHECK_FALSE(servers.apply({Server, false}));
}
