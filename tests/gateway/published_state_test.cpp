#include "gateway/publication/list_digest.h"
#include "gateway/publication/published_state.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr milliseconds RemovalDelay{2300};

published_server makeServer(const std::string &id, bool leaving = false, std::uint64_t revision = 0)
{
    server_record record;
    record.id = backend_server_id(id);
    record.service = service_id("s");
    record.leaving = leaving;
    return {record, milliseconds{0}, revision};
}

removed_server makeRemoval(const std::string &id, std::uint64_t revision)
{
    return {backend_server_id(id), revision};
}

published_configuration makeConfiguration(std::uint64_t version)
{
    configuration content;
    content.version = version;
    return {content, "text " + std::to_string(version)};
}

struct world
{
    manual_clock clock;
    server_directory directory{clock};
    published_state state{clock, directory, RemovalDelay};

    [[nodiscard]] bool isKnown(const std::string &id) const
    {
        return directory.find(backend_server_id(id)) != nullptr;
    }
    [[nodiscard]] bool isUsable(const std::string &id) const
    {
        const auto found = directory.find(backend_server_id(id));
        return found && found->usable();
    }
};

bool contains(const std::vector<publication_event> &events, publication_event::event_type kind)
{
    return std::ranges::any_of(events, [&](const auto &each) { return each.kind == kind; });
}

} // namespace

TEST_CASE("an older configuration does not replace a newer one")
{
    world w;
    w.state.apply({makeConfiguration(7)});
    const auto events = w.state.apply({makeConfiguration(5)});
    CHECK(contains(events, publication_event::event_type::ConfigurationOlder));
    CHECK(w.state.currentConfiguration()->version() == 7);
    w.state.apply({makeConfiguration(9)});
    CHECK(w.state.currentConfiguration()->version() == 9);
    CHECK(w.state.configurationText() == "text 9");
}

TEST_CASE("an unreadable item is reported and leaves the state unchanged")
{
    world w;
    w.state.apply({makeConfiguration(7)});
    const auto events = w.state.apply({unreadable_item{"configuration", "no version"}});
    CHECK(contains(events, publication_event::event_type::Unreadable));
    CHECK(w.state.currentConfiguration()->version() == 7);
}

TEST_CASE("a removal is applied at once while the store is reachable")
{
    world w;
    w.state.apply({makeServer("s1")});
    w.state.apply({removed_server{backend_server_id("s1")}});
    CHECK_FALSE(w.isKnown("s1"));
}

TEST_CASE("entries that expired in a store outage are removed only 2.3 s after the store returns")
{
    world w;
    w.state.applyList({makeServer("s1"), makeServer("s2")}, 0);
    w.state.onStoreFailed();
    w.clock.advance(milliseconds{5000});
    w.state.onStoreAnswered();
    w.state.apply(
        {removed_server{backend_server_id("s1")}, removed_server{backend_server_id("s2")}});
    CHECK(w.isKnown("s1"));
    w.clock.advance(milliseconds{1500});
    w.state.apply({makeServer("s1")});
    w.clock.advance(milliseconds{900});
    w.state.tick();
    CHECK(w.isKnown("s1"));
    CHECK_FALSE(w.isKnown("s2"));
}

TEST_CASE("a complete list removes the servers that are not in it")
{
    world w;
    w.state.applyList({makeServer("s1"), makeServer("s2")}, 0);
    w.state.applyList({makeServer("s2")}, 0);
    CHECK_FALSE(w.isKnown("s1"));
    CHECK(w.isKnown("s2"));
    CHECK(w.state.hasServerList());
}

TEST_CASE("a leaving server stays in the directory but is not usable")
{
    world w;
    w.state.apply({makeServer("s1")});
    const auto events = w.state.apply({makeServer("s1", true)});
    CHECK(contains(events, publication_event::event_type::ServerLeaving));
    CHECK_FALSE(w.directory.find(backend_server_id("s1"))->usable());
}

TEST_CASE("parts of a list replace the servers of these parts only")
{
    world w;
    w.state.applyList({makeServer("s1"), makeServer("s2"), makeServer("s3")}, 0);
    const auto part = static_cast<std::uint32_t>(digestPartOf(backend_server_id("s1")));
    REQUIRE(digestPartOf(backend_server_id("s2")) != part);
    w.state.applyParts({}, {part}, 0);
    CHECK_FALSE(w.directory.find(backend_server_id("s1")));
    CHECK(w.directory.find(backend_server_id("s2")));
    CHECK(w.directory.find(backend_server_id("s3")));
}

// Guards against a log line for each of thousands of servers at the start of a node.
TEST_CASE(
    "events of many servers are combined into a count, those of a few servers are reported singly")
{
    world w;
    std::vector<published_item> many;
    for (int i = 0; i < 500; ++i)
        many.emplace_back(makeServer("s" + std::to_string(i)));
    many.emplace_back(makeConfiguration(7));
    const auto events = w.state.applyList(many, 0);
    REQUIRE(events.size() == 2);
    CHECK(contains(events, publication_event::event_type::ConfigurationInForce));
    CHECK(std::ranges::any_of(events, [](const auto &each) {
        return each.kind == publication_event::event_type::ServerAdded && each.subject == "500";
    }));
    CHECK(w.directory.all().size() == 500);
    CHECK(w.state.apply({makeServer("t1"), makeServer("t2")}).size() == 2);
}

// Guards against an answer of the store that was held up and sets a leaving server back to ready.
TEST_CASE("an entry that is older than the known one does not replace it")
{
    world w;
    w.state.apply({makeServer("s1", true, 20)});
    const auto events = w.state.apply({makeServer("s1", false, 15)});
    CHECK(contains(events, publication_event::event_type::ServerOutdated));
    CHECK_FALSE(w.isUsable("s1"));
    w.state.apply({makeServer("s1", false, 25)});
    CHECK(w.isUsable("s1"));
}

// Guards against an old answer that restores a removed server, also while its removal is deferred.
TEST_CASE("an entry that is older than a removal does not bring the server back")
{
    const bool deferred = GENERATE(false, true);
    CAPTURE(deferred);
    world w;
    w.state.apply({makeServer("s1", false, 10)});
    if (deferred)
        w.state.deferRemovals(RemovalDelay);
    w.state.apply({makeRemoval("s1", 12)});
    w.state.apply({makeServer("s1", false, 10)});
    w.clock.advance(RemovalDelay);
    w.state.tick();
    CHECK_FALSE(w.isKnown("s1"));
}

// Guards against refusing the new entry of a server that was removed and is back under its id.
TEST_CASE("a server that was removed and is published again is used")
{
    world w;
    w.state.apply({makeServer("s1", false, 10)});
    w.state.apply({makeRemoval("s1", 12)});
    w.state.apply({makeServer("s1", false, 14)});
    CHECK(w.isUsable("s1"));
    const auto events = w.state.apply({makeRemoval("s1", 12)});
    CHECK(contains(events, publication_event::event_type::ServerOutdated));
    CHECK(w.isUsable("s1"));
}

// Guards against a list that was read before a server appeared and removes the server.
TEST_CASE("a list removes only the servers that have not changed since it was read")
{
    world w;
    w.state.apply({makeServer("s1", false, 10), makeServer("s2", false, 30)});
    w.state.applyList({}, 20);
    CHECK_FALSE(w.isKnown("s1"));
    CHECK(w.isKnown("s2"));
}

// Guards against servers that are kept though a list read after a loss of history lacks them.
TEST_CASE("a later list is applied whole")
{
    world w;
    w.state.apply({makeServer("s1", false, 10), makeServer("s2", true, 11)});
    w.state.applyList({makeServer("s2", false, 35), makeServer("s3", false, 38)}, 40);
    CHECK_FALSE(w.isKnown("s1"));
    CHECK(w.isUsable("s2"));
    CHECK(w.isUsable("s3"));
    w.state.apply({makeServer("s1", false, 10)});
    CHECK_FALSE(w.isKnown("s1"));
}

// Guards against any order of late answers and messages that leaves older news in force.
TEST_CASE("changes that arrive in any order, and more than once, lead to the latest state")
{
    CHECK(rc::check([] {
        // Each server is published, changed, removed and published again at increasing revisions.
        const auto steps = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 12));
        std::vector<published_item> history;
        std::uint64_t revision = 0;
        for (const int step : steps) {
            const auto id = "s" + std::to_string(step % 3);
            ++revision;
            if (step / 3 == 3)
                history.emplace_back(makeRemoval(id, revision));
            else
                history.emplace_back(makeServer(id, step / 3 == 2, revision));
        }
        world ordered;
        ordered.state.apply(history);
        auto shuffled = history;
        const auto order = *rc::gen::container<std::vector<std::uint32_t>>(
            history.size(), rc::gen::inRange<std::uint32_t>(0, 1000));
        for (std::size_t i = 0; i < shuffled.size(); ++i)
            std::swap(shuffled[i], shuffled[order[i] % shuffled.size()]);
        world late;
        late.state.apply(shuffled);
        late.state.apply({history.front()});
        for (const auto *id : {"s0", "s1", "s2"}) {
            RC_ASSERT(late.isKnown(id) == ordered.isKnown(id));
            RC_ASSERT(late.isUsable(id) == ordered.isUsable(id));
        }
    }));
}

// Guards against a removed server that gets requests for longer than its entry allows because a
// watch was cut or an answer was lost, once or many times.
TEST_CASE("single failed calls don't defer removals")
{
    const auto failures = GENERATE(1, 8);
    CAPTURE(failures);
    world w;
    w.state.apply({makeServer("s1", false, 10)});
    for (int i = 0; i < failures; ++i) {
        w.clock.advance(milliseconds{250});
        w.state.onStoreFailed();
        w.clock.advance(milliseconds{250});
        w.state.onStoreAnswered();
    }
    w.state.apply({makeRemoval("s1", 12)});
    CHECK_FALSE(w.isKnown("s1"));
}

// Guards against deferring the removals that other nodes have seen happen while this one was cut
// off, and against dropping servers that none of them could know to be sound.
TEST_CASE(
    "after a failure of the store removals are deferred for as long as the sources defer them")
{
    const auto ofSources = GENERATE(as<std::optional<milliseconds>>{}, std::nullopt,
                                    milliseconds{0}, milliseconds{700});
    CAPTURE(ofSources);
    world w;
    w.state.setSourceDeferral([&] { return ofSources; });
    w.state.apply({makeServer("s1", false, 10)});
    w.state.onStoreFailed();
    w.state.onStoreFailed();
    w.state.onStoreAnswered();
    w.state.apply({makeRemoval("s1", 12)});
    const auto deferred = ofSources.value_or(RemovalDelay);
    CHECK(w.isKnown("s1") == (deferred > milliseconds{0}));
    w.clock.advance(deferred);
    w.state.tick();
    CHECK_FALSE(w.isKnown("s1"));
}

// Guards against dropping sound servers on a node that began to read the store during an outage, so
// that no call of its own failed.
TEST_CASE("removals are deferred after a long time without contact")
{
    const auto gap = GENERATE(as<milliseconds>{}, MaxContactGap, MaxContactGap + milliseconds{1});
    CAPTURE(gap.count());
    world w;
    w.state.applyList({makeServer("s1", false, 10)}, 10);
    w.state.onReaderContact(milliseconds{0});
    w.clock.advance(gap);
    w.state.onStoreAnswered();
    w.state.apply({makeRemoval("s1", 12)});
    CHECK(w.isKnown("s1") == (gap > MaxContactGap));
}
