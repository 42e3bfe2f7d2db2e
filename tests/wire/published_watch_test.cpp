#include "tests/wire/fake_net.h"
#include "wire/vm_list_client.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace orchidlead::wire {
namespace {

std::string listOf(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"vms":[]})";
}

/// A watch whose calls the test answers.
struct watch_fixture
{
    watch_fixture()
        : watch(loop, http, clock, {{"127.0.0.1", 7000}}, options(), handlers())
    { }

    static published_watch_options options()
    {
        published_watch_options made;
        made.wait = milliseconds{15000};
        made.minInterval = milliseconds{500};
        made.maxBackoff = milliseconds{4000};
        return made;
    }

    vm_list_watch::events handlers()
    {
        vm_list_watch::events events;
        events.onChanged = [this](const vm_list &list) { versions.push_back(list.version); };
        events.onConfirmed = [this](steady_time askedAt) { confirmed.push_back(askedAt); };
        events.onFailure = [this](const read_error &error) { failures.push_back(error.failure); };
        return events;
    }

    fake_http_client::started_call &lastCall() { return http.calls.back(); }

    /// Fires the timer of the next call and returns how long it waited.
    std::chrono::microseconds next()
    {
        REQUIRE(loop.timers.size() == 1);
        return loop.fireTimer();
    }

    fake_loop loop;
    fake_http_client http;
    manual_clock clock;
    std::vector<std::uint64_t> versions;
    std::vector<steady_time> confirmed;
    std::vector<read_failure> failures;
    vm_list_watch watch;
};

TEST_CASE("A watch reads at once, then waits for what is higher, and no faster than it may")
{
    watch_fixture fixture;
    fixture.watch.start();
    fixture.watch.start();
    REQUIRE(fixture.http.calls.size() == 1);
    CHECK(fixture.lastCall().call.path == "/v1/vms");
    fixture.clock.advance(milliseconds{100});
    fixture.lastCall().answer(200, listOf(7));
    CHECK(fixture.versions == std::vector<std::uint64_t>{7});
    CHECK(fixture.next() == milliseconds{400});
    CHECK(fixture.lastCall().call.path == "/v1/vms?after=7&wait_ms=15000");
    fixture.lastCall().answer(304, "");
    CHECK(fixture.next() == milliseconds{500});
    CHECK(fixture.versions.size() == 1);
    CHECK(fixture.confirmed.size() == 2);
    CHECK(fixture.watch.counts().calls == 3);
}

TEST_CASE("The list is confirmed as of when it was asked for, not when the answer came")
{
    watch_fixture fixture;
    fixture.watch.start();
    fixture.lastCall().answer(200, listOf(7));
    fixture.next();
    const steady_time askedAt = fixture.clock.now();
    fixture.clock.advance(milliseconds{15000});
    fixture.lastCall().answer(304, "");
    CHECK(fixture.confirmed.back() == askedAt);
}

TEST_CASE("An old or malformed list confirms nothing and is asked for again after a backoff")
{
    watch_fixture fixture;
    fixture.watch.start();
    fixture.lastCall().answer(200, listOf(7));
    const auto confirmedBefore = fixture.confirmed.size();
    fixture.next();
    fixture.lastCall().answer(200, listOf(6));
    fixture.next();
    fixture.lastCall().answer(200, "{");
    CHECK(fixture.next() >= milliseconds{1000});
    fixture.lastCall().answer(500, "");
    fixture.next();
    // A plain read gives what the service has, which may be old as well.
    fixture.lastCall().answer(200, listOf(6));
    CHECK(fixture.failures
          == std::vector{read_failure::Stale, read_failure::Malformed, read_failure::Refused});
    CHECK(fixture.versions == std::vector<std::uint64_t>{7});
    CHECK(fixture.confirmed.size() == confirmedBefore);
}

TEST_CASE("A service that is down for long is asked ever more rarely, up to a bound")
{
    watch_fixture fixture;
    fixture.watch.start();
    for (int call = 0; call < 20; ++call) {
        fixture.lastCall().events.onEnd(net::call_end::NotSent);
        CHECK(fixture.next() <= milliseconds{4000});
    }
    fixture.lastCall().events.onEnd(net::call_end::TimedOut);
    CHECK(fixture.next() >= milliseconds{2000});
    fixture.lastCall().answer(200, listOf(1));
    CHECK(fixture.versions.size() == 1);
}

TEST_CASE("A restart gives the open call up and reads at once; a stop ends it all")
{
    watch_fixture fixture;
    fixture.watch.start();
    fixture.lastCall().answer(200, listOf(7));
    fixture.next();
    fixture.watch.restart();
    CHECK(fixture.http.calls[1].cancelled);
    CHECK(fixture.lastCall().call.path == "/v1/vms");
    fixture.watch.stop();
    CHECK(fixture.lastCall().cancelled);
    CHECK(fixture.loop.timers.empty());
}

} // namespace
} // namespace orchidlead::wire
