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

    [[nodiscard]] bool knows(const std::string &id) const
    {
        return directory.find(backend_server_id(id)) != nullptr;
    }
};

bool contains(const std::vector<publication_news> &news, publication_news::what kind)
{
    return std::ranges::any_of(news, [&](const auto &each) { return each.kind == kind; });
}

} // namespace

TEST_CASE("a configuration only goes forward")
{
    world w;
    w.state.apply({makeConfiguration(7)});
    const auto news = w.state.apply({makeConfiguration(5)});
    CHECK(contains(news, publication_news::what::ConfigurationOlder));
    CHECK(w.state.current()->version() == 7);
    w.state.apply({makeConfiguration(9)});
    CHECK(w.state.current()->version() == 9);
    CHECK(w.state.configurationText() == "text 9");
}

TEST_CASE("an item that can't be read leaves the state as it was, and is told")
{
    world w;
    w.state.apply({makeConfiguration(7)});
    const auto news = w.state.apply({unreadable_item{"configuration", "no version"}});
    CHECK(contains(news, publication_news::what::Unreadable));
    CHECK(w.state.current()->version() == 7);
}

TEST_CASE("a removal counts at once while the store is steady")
{
    world w;
    w.state.apply({makeServer("s1")});
    w.state.apply({removed_server{backend_server_id("s1")}});
    CHECK_FALSE(w.knows("s1"));
}

TEST_CASE("entries that lapsed while the store was away count as gone only 2.3 s after its return")
{
    world w;
    w.state.applyList({makeServer("s1"), makeServer("s2")});
    w.state.onStoreLost();
    w.clock.advance(milliseconds{5000});
    w.state.onStoreBack();
    w.state.apply(
        {removed_server{backend_server_id("s1")}, removed_server{backend_server_id("s2")}});
    CHECK(w.knows("s1"));
    w.clock.advance(milliseconds{1500});
    w.state.apply({makeServer("s1")});
    w.clock.advance(milliseconds{900});
    w.state.tick();
    CHECK(w.knows("s1"));
    CHECK_FALSE(w.knows("s2"));
}

TEST_CASE("a whole list removes the servers that it lacks")
{
    world w;
    w.state.applyList({makeServer("s1"), makeServer("s2")});
    w.state.applyList({makeServer("s2")});
    CHECK_FALSE(w.knows("s1"));
    CHECK(w.knows("s2"));
    CHECK(w.state.listed());
}

TEST_CASE("a server that says it is leaving is known, and gets no work")
{
    world w;
    w.state.apply({makeServer("s1")});
    const auto news = w.state.apply({makeServer("s1", true)});
    CHECK(contains(news, publication_news::what::ServerLeaving));
    CHECK_FALSE(w.directory.find(backend_server_id("s1"))->usable());
}

TEST_CASE("parts of a list replace what was known of these parts, and nothing else")
{
    world w;
    w.state.applyList({makeServer("s1"), makeServer("s2"), makeServer("s3")});
    const auto part = static_cast<std::uint32_t>(partOf(backend_server_id("s1")));
    REQUIRE(partOf(backend_server_id("s2")) != part);
    w.state.applyParts({}, {part});
    CHECK_FALSE(w.directory.find(backend_server_id("s1")));
    CHECK(w.directory.find(backend_server_id("s2")));
    CHECK(w.directory.find(backend_server_id("s3")));
}

// Guards against a start that writes a log line for each of thousands of servers.
TEST_CASE("news of many servers at once are told by their number, those of few one by one")
{
    world w;
    std::vector<published_item> many;
    for (int i = 0; i < 500; ++i)
        many.emplace_back(makeServer("s" + std::to_string(i)));
    many.emplace_back(makeConfiguration(7));
    const auto news = w.state.applyList(many);
    REQUIRE(news.size() == 2);
    CHECK(contains(news, publication_news::what::ConfigurationInForce));
    CHECK(std::ranges::any_of(news, [](const auto &each) {
        return each.kind == publication_news::what::ServerAdded && each.subject == "500";
    }));
    CHECK(w.directory.all().size() == 500);
    CHECK(w.state.apply({makeServer("t1"), makeServer("t2")}).size() == 2);
}
