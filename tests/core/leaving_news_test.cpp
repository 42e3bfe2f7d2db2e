#include "core/servers/leaving_news.h"

#include <catch2/catch.hpp>

using namespace orchidlead;

namespace {
const backend_server_id Runner{"runner-1"};
constexpr milliseconds WellPastLag{7000};
} // namespace

TEST_CASE("that a server is leaving is told once")
{
    manual_clock clock;
    leaving_news news(clock);
    CHECK(news.note({Runner, true}));
    CHECK_FALSE(news.note({Runner, true}));
    CHECK(news.all() == std::vector<server_news>{{Runner, true}});
}

TEST_CASE("a lagging load report doesn't take back what the server said")
{
    manual_clock clock;
    leaving_news news(clock);
    CHECK(news.note({Runner, true}));
    clock.advance(milliseconds{2000});
    CHECK_FALSE(news.note({Runner, false}));
    CHECK(news.all().size() == 1);
    clock.advance(WellPastLag);
    CHECK(news.note({Runner, false}));
    CHECK(news.all().empty());
}

TEST_CASE("that a server takes work is no news of one that never left")
{
    manual_clock clock;
    leaving_news news(clock);
    CHECK_FALSE(news.note({Runner, false}));
}
