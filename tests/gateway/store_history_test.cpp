// Guards against a history of the store that makes a gateway certain of the wrong version.
#include "gateway/publication/store_history.h"
#include "gateway/servers/version_history.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;
using namespace std::chrono_literals;

namespace {

const service_id Service("engine");
const software_version V1("v1");
const software_version V2("v2");

request_digest subject(int number)
{
    return digestOfTexts({"subject", std::to_string(number)});
}

published_server entry(const std::string &id, const software_version &version, wall_time start,
                       std::uint64_t created, std::uint64_t revision)
{
    published_server out;
    out.record.id = backend_server_id(id);
    out.record.service = Service;
    out.record.version = version;
    out.record.startedAt = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(start.time_since_epoch()).count());
    out.created = created;
    out.revision = revision;
    return out;
}

} // namespace

// Guards against a server that was away for a while counting as ready all the time.
TEST_CASE("a server that left and came back with its id hides nobody meanwhile")
{
    manual_clock clock;
    clock.advance(1h);
    version_history history(clock);
    const backend_server_id a("a"), b("b");
    history.record({Service, a, V1, true});
    history.record({Service, b, V2, true});
    const auto wall = clock.wallNow();
    // a was gone from 6 s to 2 s ago; streams began on b meanwhile.
    history.addEarlier({{Service, a, V1, wall - 1h, wall - 6s, true},
                        {Service, b, V2, wall - 1h, std::nullopt, false},
                        {Service, a, V1, wall - 2s, std::nullopt, false}},
                       clock.now() - 20s);
    int certainOfV1 = 0;
    for (int i = 0; i < 100; ++i)
        certainOfV1 += history.assignedSince(subject(i), Service, clock.now() - 10s) == V1 ? 1 : 0;
    CHECK(certainOfV1 == 0);
}

// Guards against a removal dated by a server that was published again, long after its start.
TEST_CASE("an entry that is created again does not date the changes before it")
{
    manual_clock clock;
    clock.advance(2h);
    const auto wall = clock.wallNow();
    const auto old = wall - 90s;
    store_history history;
    history.after = 10;
    const auto b = entry("b", V2, old, 5, 5);
    const auto c = entry("c", V2, old, 13, 13);
    // Within the last 20 s: a is removed, c is removed (expired), c is published again.
    history.changes = {entry("a", V1, old, 4, 11), removed_server{backend_server_id("a"), 12}, c};
    history.present = {b, c};
    const auto times = readyTimesOf(history, wall - 20s);
    REQUIRE(times);
    version_history versions(clock);
    versions.record({Service, backend_server_id("b"), V2, true});
    versions.record({Service, backend_server_id("c"), V2, true});
    versions.addEarlier(*times, clock.now() - 20s);
    CHECK_FALSE(versions.hadOneVersionSince(Service, clock.now() - 15s));
}

// Guards against reading an empty queue when such an entry started minutes ago.
TEST_CASE("an entry that is created again minutes after its start ends nothing long ago")
{
    manual_clock clock;
    clock.advance(2h);
    const auto wall = clock.wallNow();
    const auto old = wall - 1h;
    store_history history;
    history.after = 10;
    const auto b = entry("b", V2, old, 5, 5);
    const auto c = entry("c", V2, old, 13, 13);
    // Within the last 20 s: a is removed, c is removed (expired), c is published again.
    history.changes = {entry("a", V1, old, 4, 11), removed_server{backend_server_id("a"), 12}, c};
    history.present = {b, c};
    const auto times = readyTimesOf(history, wall - 20s);
    REQUIRE(times);
    version_history versions(clock);
    versions.record({Service, backend_server_id("b"), V2, true});
    versions.record({Service, backend_server_id("c"), V2, true});
    versions.addEarlier(*times, clock.now() - 20s);
    CHECK_FALSE(versions.hadOneVersionSince(Service, clock.now() - 15s));
}

// Guards against changes that the store has dropped being taken for none.
TEST_CASE("a dropped history without a young server is no evidence")
{
    manual_clock clock;
    clock.advance(2h);
    const auto wall = clock.wallNow();
    store_history history;
    history.after = 20; // the store has dropped everything before
    history.present = {entry("b", V2, wall - 90s, 5, 5)};
    // a (V1) was removed at revision 20, a second ago.
    CHECK_FALSE(readyTimesOf(history, wall - 20s));
}

// Guards against streams that are joined after a release whose servers publish no start, a kill of
// all nodes and a store that dropped its history: what it shows looks like a time without changes.
TEST_CASE("a history without a change that was recent at the start of the node was dropped")
{
    manual_clock clock;
    clock.advance(2h);
    const auto wall = clock.wallNow();
    auto b = entry("b", V2, wall, 5, 5);
    b.record.startedAt.reset();
    store_history history;
    history.after = 20;
    history.present = {b};
    CHECK_FALSE(readyTimesOf(history, wall - 20s, {20, wall - 9s}));
    CHECK(readyTimesOf(history, wall - 20s));
    // The change is in the history, or all of the history is later than the start of the node.
    CHECK(readyTimesOf(history, wall - 20s, {21, wall - 9s}));
    CHECK(readyTimesOf(history, wall - 20s, {20, wall - 20s}));
}

// Guards against reading an empty queue.
TEST_CASE("a server that left long ago is added to an empty history")
{
    manual_clock clock;
    clock.advance(2h);
    version_history versions(clock);
    versions.record({Service, backend_server_id("b"), V2, true});
    const auto wall = clock.wallNow();
    versions.addEarlier({{Service, backend_server_id("a"), V1, wall - 1h, wall - 10min, true}},
                        clock.now() - 20s);
    CHECK(versions.covers(Service, clock.now() - 15s));
}

// Guards against a crash of each node that reads the history after one entry expired and returned.
TEST_CASE("one entry that expired and returned is added to an empty history")
{
    manual_clock clock;
    clock.advance(2h);
    const auto wall = clock.wallNow();
    store_history history;
    history.after = 10;
    const auto b = entry("b", V1, wall - 1h, 13, 13);
    history.changes = {removed_server{backend_server_id("b"), 12}, b};
    history.present = {b};
    const auto times = readyTimesOf(history, wall - 20s);
    REQUIRE(times);
    version_history versions(clock);
    versions.record({Service, backend_server_id("b"), V1, true});
    versions.addEarlier(*times, clock.now() - 20s);
    CHECK(versions.covers(Service, clock.now() - 15s));
}
