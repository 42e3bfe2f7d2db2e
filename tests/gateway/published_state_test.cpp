#include "gateway/publication/list_digest.h"
#include "gateway/publication/published_state.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr milliseconds RemovalDelay{2300};

published_server makeServer(const std::string &id, bool leaving = false)
{
    server_record record;
    record.id = backend_server_id(id);
    record.service = service_id("s");
    record.leaving = leaving;
    return {record};
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
    w.state.applyList({makeServer("s1"), makeServer("s2")});
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
    w.state.applyList({makeServer("s1"), makeServer("s2")});
    w.state.applyList({makeServer("s2")});
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
    w.state.applyList({makeServer("s1"), makeServer("s2"), makeServer("s3")});
    const auto part = static_cast<std::uint32_t>(digestPartOf(backend_server_id("s1")));
    REQUIRE(digestPartOf(backend_server_id("s2")) != part);
    w.state.applyParts({}, {part});
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
    const auto events = w.state.applyList(many);
    REQUIRE(events.size() == 2);
    CHECK(contains(events, publication_event::event_type::ConfigurationInForce));
    CHECK(std::ranges::any_of(events, [](const auto &each) {
        return each.kind == publication_event::event_type::ServerAdded && each.subject == "500";
    }));
    CHECK(w.directory.all().size() == 500);
    CHECK(w.state.apply({makeServer("t1"), makeServer("t2")}).size() == 2);
}
