#include "tests/wire/fake_net.h"
#include "wire/cache_event_reader.h"
#include "wire/load_reader.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace orchidlead::wire {
namespace {

std::vector<backend_server> servers(int count)
{
    std::vector<backend_server> made;
    for (int at = 0; at < count; ++at) {
        const auto port = static_cast<std::uint16_t>(9000 + at);
        made.push_back({backend_server_id{"r-" + std::to_string(at)}, {"127.0.0.1", port}, {}});
    }
    return made;
}

TEST_CASE("The nodes share the servers out, each taking the same few again")
{
    std::set<backend_server_id> polled;
    for (int node = 0; node < 60; ++node) {
        const vm_id self{"vm-" + std::to_string(node)};
        const auto picked = pickPolled(servers(100), self, 8);
        REQUIRE(picked.size() == 8);
        CHECK(pickPolled(servers(100), self, 8)[0].id == picked[0].id);
        for (const auto &server : picked)
            polled.insert(server.id);
    }
    CHECK(polled.size() > 90);
}

TEST_CASE("In a small fleet every node polls every server, in a large one each takes few")
{
    const server_poller_options options;
    CHECK(polledCount(options, 24, 0) == 8);
    CHECK(polledCount(options, 24, 6) == 24);
    CHECK(polledCount(options, 600, 350) == 10);
    CHECK(polledCount(options, 3, 350) == 3);
}

struct load_fixture
{
    load_fixture()
        : reader(loop, http, clock, {vm_id{"vm-1"}, 2, 6, milliseconds{2000}},
                 [this](const load_report &report) { reports.push_back(report); })
    {
        reader.setServers(servers(2));
        reader.start();
    }

    fake_loop loop;
    fake_http_client http;
    manual_clock clock;
    std::vector<load_report> reports;
    load_reader reader;
};

TEST_CASE("Servers are asked in turn, but for those that were heard of and those still asked")
{
    load_fixture fixture;
    REQUIRE(fixture.http.calls.size() == 1);
    CHECK(fixture.loop.fireTimer() == milliseconds{1000});
    REQUIRE(fixture.http.calls.size() == 2);
    CHECK(fixture.http.calls[0].call.address != fixture.http.calls[1].call.address);
    fixture.loop.fireTimer();
    CHECK(fixture.http.calls.size() == 2);

    fixture.http.calls[0].answer(200, R"({"running":3,"queued":1,"capacity":8,"leaving":false})");
    fixture.http.calls[1].answer(200, R"({"running":-3,"queued":1})");
    CHECK(fixture.reports.size() == 1);
    CHECK(fixture.reader.counts().failures == 1);
    fixture.reader.onHeard(backend_server_id{"r-0"});
    fixture.reader.onHeard(backend_server_id{"r-1"});
    fixture.loop.fireTimer();
    fixture.loop.fireTimer();
    CHECK(fixture.http.calls.size() == 2);
    fixture.clock.advance(milliseconds{2000});
    fixture.loop.fireTimer();
    CHECK(fixture.http.calls.size() == 3);
}

TEST_CASE("Nodes that come make a node poll fewer servers")
{
    load_fixture fixture;
    fixture.reader.setServers(servers(100));
    fixture.reader.setNodes(6);
    CHECK(fixture.loop.fireTimer() == milliseconds{1000}); // set before
    CHECK(fixture.loop.timers.begin()->second.first == milliseconds{20});
    fixture.reader.setNodes(1000);
    fixture.loop.fireTimer();
    CHECK(fixture.loop.timers.begin()->second.first == milliseconds{1000});
}

TEST_CASE("A server that is taken out has its call given up")
{
    load_fixture fixture;
    fixture.reader.setServers({});
    CHECK(fixture.http.calls[0].cancelled);
}

cache_report readCache(cache_document::state &state, const std::string &body)
{
    const auto report = cache_document::parse(backend_server_id{"e-1"}, state, body);
    REQUIRE(report.has_value());
    return *report;
}

std::string cacheEvent(int sequence)
{
    return R"({"sequence":)" + std::to_string(sequence) + R"(,"prefix":"00ff","event":"stored"})";
}

TEST_CASE(
    "A gap in the cache events, or an engine that began anew, makes the earlier ones worthless")
{
    cache_document::state state;
    const auto first =
        readCache(state, R"({"last":2,"events":[)" + cacheEvent(1) + "," + cacheEvent(2) + "]}");
    CHECK(first.events.size() == 2);
    CHECK(first.events[0].prefix == 0xff);
    CHECK_FALSE(first.forgetEarlier);
    CHECK(cache_document::path(state) == "/cache/events?after=2");

    const auto gap =
        readCache(state, R"({"last":6,"events":[)" + cacheEvent(3) + "," + cacheEvent(6) + "]}");
    CHECK(gap.forgetEarlier);
    CHECK(gap.events.size() == 1);

    const auto cutOff = readCache(state, R"({"last":8,"events":[)" + cacheEvent(7) + "]}");
    CHECK(cutOff.forgetEarlier);
    CHECK(cutOff.events.empty());

    const auto doubled = readCache(state, R"({"last":8,"events":[)" + cacheEvent(8) + "]}");
    CHECK_FALSE(doubled.forgetEarlier);
    CHECK(doubled.events.empty());

    const auto anew = readCache(state, R"({"last":1,"events":[)" + cacheEvent(1) + "]}");
    CHECK(anew.forgetEarlier);
    CHECK(anew.events.size() == 1);

    for (const char *bad :
         {"", "{}", R"({"last":1,"events":[7]})",
          R"({"last":1,"events":[{"sequence":1,"prefix":"x","event":"stored"}]})"})
        CHECK_FALSE(cache_document::parse(backend_server_id{"e-1"}, state, bad).has_value());
}

} // namespace
} // namespace orchidlead::wire
