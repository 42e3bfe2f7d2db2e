#include "core/control_fake_network.h"

#include <orchidlead/configuration_keeper.h>

#include <catch2/catch.hpp>

#include <memory>

using namespace orchidlead;
using namespace orchidlead::tests;
using namespace std::chrono_literals;

namespace {

using text_keeper = configuration_keeper<text_configuration>;

listed_vm makeVm(const std::string &name, const std::string &dataCenter = "dc-1")
{
    return {vm_id{name}, data_center_id{dataCenter}, region_id{"r-1"}, {"10.0.0.1", 1}, false};
}

member makeMember(const std::string &name, const std::string &dataCenter = "dc-1")
{
    member made;
    made.vm = makeVm(name, dataCenter);
    made.incarnation = 1;
    made.state = member_state::Alive;
    made.listed = true;
    return made;
}

configuration_stamp makeStamp(std::uint64_t version, std::string_view content)
{
    return {version, configurationHash(content)};
}

/// Runs one keeper and holds what it asked for.
template <class Keeper = text_keeper>
struct keeper_fixture
{
    explicit keeper_fixture(std::vector<member> members = {makeMember("vm-1")})
    {
        keeper_options options;
        options.self = makeVm("vm-1");
        keeper = std::make_unique<Keeper>(clock, options, parseText);
        keeper->setMembers(std::move(members));
        keeper->tick(out);
    }

    template <class Action>
    std::vector<Action> take()
    {
        std::vector<Action> found;
        for (const auto &action : out) {
            if (const auto *wanted = std::get_if<Action>(&action))
                found.push_back(*wanted);
        }
        return found;
    }

    bool reported(keeper_event event)
    {
        for (const auto &report : take<keeper_report>()) {
            if (report.event == event)
                return true;
        }
        return false;
    }

    /// Answers the newest call to the service.
    void serviceAnswers(std::uint64_t version, const std::string &content)
    {
        const auto call = keeper->serviceCalls();
        out.clear();
        keeper->onServiceRead(call, version, content, out);
    }

    void wait(milliseconds time)
    {
        clock.advance(time);
        keeper->tick(out);
    }

    /// Puts a version in force that the peers confirm.
    void serve(std::uint64_t version, const std::string &content)
    {
        serviceAnswers(version, content);
        wait(2s);
        REQUIRE(keeper->readyToServe());
        out.clear();
    }

    manual_clock clock;
    typename Keeper::actions out;
    std::unique_ptr<Keeper> keeper;
};

} // namespace

TEST_CASE("a single node serves by what the service gave")
{
    keeper_fixture<> node;
    const auto calls = node.take<fetch_from_service>();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].wait == 0ms);
    CHECK_FALSE(node.keeper->readyToServe());
    node.serviceAnswers(3, "three");
    REQUIRE(node.keeper->readyToServe());
    CHECK(node.keeper->current()->text == "three");
    node.out.clear();
    node.wait(500ms);
    REQUIRE(node.take<fetch_from_service>().size() == 1);
    CHECK(node.take<fetch_from_service>()[0].after == 3);
    CHECK(node.take<fetch_from_service>()[0].wait == 30s);
}

TEST_CASE("a stale service is ignored and reported")
{
    keeper_fixture<> node;
    node.serve(12, "twelve");
    node.serviceAnswers(9, "nine");
    CHECK(node.keeper->stamp().version == 12);
    CHECK(node.reported(keeper_event::StaleService));
}

TEST_CASE("an invalid version is refused once and the one before stays until a valid one comes")
{
    keeper_fixture<> node;
    node.serve(12, "twelve");
    node.serviceAnswers(13, "invalid thirteen");
    REQUIRE(node.take<reject_configuration>().size() == 1);
    CHECK(node.keeper->current()->text == "twelve");
    node.wait(1s);
    INFO("the watch must not come back with the refused version at once");
    REQUIRE_FALSE(node.take<fetch_from_service>().empty());
    CHECK(node.take<fetch_from_service>().back().after == 13);
    node.serviceAnswers(13, "invalid thirteen");
    CHECK(node.take<reject_configuration>().empty());
    node.serviceAnswers(14, "fourteen");
    CHECK(node.keeper->current()->text == "fourteen");
}

TEST_CASE("of two contents under one version all nodes take the one with the greater hash")
{
    keeper_fixture<> one;
    keeper_fixture<> other;
    one.serve(5, "left");
    one.serviceAnswers(5, "right");
    CHECK(one.reported(keeper_event::VersionConflict));
    other.serve(5, "right");
    other.serviceAnswers(5, "left");
    CHECK(other.reported(keeper_event::VersionConflict));
    CHECK(one.keeper->stamp() == other.keeper->stamp());
}

TEST_CASE("a new node takes a peer's version before a stale service's and doesn't serve earlier")
{
    keeper_fixture<> node({makeMember("vm-1"), makeMember("vm-2")});
    REQUIRE_FALSE(node.take<ask_peers>().empty());
    node.serviceAnswers(9, "nine");
    CHECK_FALSE(node.keeper->readyToServe());
    node.out.clear();
    node.keeper->onPeerVersion(vm_id{"vm-2"}, makeStamp(12, "twelve"), node.clock.now(), node.out);
    CHECK_FALSE(node.keeper->readyToServe());
    REQUIRE(node.take<fetch_from_peer>().size() == 1);
    node.wait(900ms);
    node.keeper->onPeerContent(vm_id{"vm-2"}, 12, "twelve", node.out);
    CHECK(node.keeper->readyToServe());
    CHECK(node.keeper->stamp().version == 12);
}

TEST_CASE("a new node that has no VM list yet isn't content with a stale service's answer")
{
    member self = makeMember("vm-1");
    self.listed = false;
    keeper_fixture<> node({self});
    node.serviceAnswers(9, "nine");
    CHECK_FALSE(node.keeper->readyToServe());
    node.keeper->setMembers({makeMember("vm-1"), makeMember("vm-2")});
    node.wait(50ms);
    CHECK_FALSE(node.keeper->readyToServe());
    node.keeper->onPeerVersion(vm_id{"vm-2"}, makeStamp(12, "twelve"), node.clock.now(), node.out);
    CHECK_FALSE(node.keeper->readyToServe());
    node.keeper->onPeerContent(vm_id{"vm-2"}, 12, "twelve", node.out);
    CHECK(node.keeper->readyToServe());
    CHECK(node.keeper->stamp().version == 12);
}

TEST_CASE("without the guard a new node serves what a stale service gives")
{
    keeper_fixture<configuration_keeper<text_configuration, trusting_policy>> node(
        {makeMember("vm-1"), makeMember("vm-2")});
    node.serviceAnswers(12, "twelve");
    node.serviceAnswers(9, "nine");
    CHECK(node.keeper->readyToServe());
    INFO("the version went back");
    CHECK(node.keeper->stamp().version == 9);
}

TEST_CASE("after a pause the node asks again, and an answer to an older question doesn't count")
{
    keeper_fixture<> node({makeMember("vm-1"), makeMember("vm-2")});
    const auto asked = node.clock.now();
    node.serviceAnswers(12, "twelve");
    node.keeper->onPeerVersion(vm_id{"vm-2"}, node.keeper->stamp(), asked, node.out);
    REQUIRE(node.keeper->readyToServe());

    node.clock.advance(10s);
    node.out.clear();
    node.keeper->onPaused(node.out);
    CHECK(node.keeper->mustReconfirm());
    CHECK_FALSE(node.take<ask_peers>().empty());
    node.keeper->onPeerVersion(vm_id{"vm-2"}, node.keeper->stamp(), asked, node.out);
    node.keeper->onPeerVersion(vm_id{"vm-2"}, node.keeper->stamp(), std::nullopt, node.out);
    CHECK(node.keeper->mustReconfirm());
    node.keeper->onPeerVersion(vm_id{"vm-2"}, makeStamp(13, "thirteen"), node.clock.now(),
                               node.out);
    CHECK(node.keeper->mustReconfirm());
    node.keeper->onPeerContent(vm_id{"vm-2"}, 13, "thirteen", node.out);
    CHECK(node.keeper->readyToServe());
}

TEST_CASE("a node that nobody answers goes on with what it has")
{
    keeper_fixture<> node({makeMember("vm-1"), makeMember("vm-2")});
    node.serve(12, "twelve");
    node.keeper->onPaused(node.out);
    node.wait(1900ms);
    CHECK_FALSE(node.keeper->readyToServe());
    node.wait(200ms);
    CHECK(node.keeper->readyToServe());
    CHECK(node.reported(keeper_event::ConfirmedAlone));
}

TEST_CASE("a peer whose content isn't what it announced is dropped for another holder")
{
    keeper_fixture<> node({makeMember("vm-1"), makeMember("vm-2"), makeMember("vm-3")});
    const auto stamp = makeStamp(12, "twelve");
    node.keeper->onPeerVersion(vm_id{"vm-2"}, stamp, std::nullopt, node.out);
    node.keeper->onPeerVersion(vm_id{"vm-3"}, stamp, std::nullopt, node.out);
    REQUIRE(node.take<fetch_from_peer>().size() == 1);
    node.out.clear();
    node.keeper->onPeerContent(vm_id{"vm-2"}, 11, "eleven", node.out);
    CHECK(node.reported(keeper_event::ContentMismatch));
    REQUIRE(node.take<fetch_from_peer>().size() == 1);
    CHECK(node.take<fetch_from_peer>()[0].vm == vm_id{"vm-3"});
    node.out.clear();
    INFO("a peer that doesn't answer is given up");
    node.wait(1100ms);
    node.keeper->onPeerVersion(vm_id{"vm-2"}, stamp, std::nullopt, node.out);
    REQUIRE(node.take<fetch_from_peer>().size() == 1);
    node.keeper->onPeerContent(vm_id{"vm-2"}, 12, "twelve", node.out);
    CHECK(node.keeper->stamp() == stamp);
}

TEST_CASE("while the service is down calls stay within a rate, and its return is read at once")
{
    keeper_fixture<> node;
    node.serve(12, "twelve");
    const auto before = node.keeper->serviceCalls();
    for (int i = 0; i < 36000; ++i) {
        node.wait(100ms);
        for (const auto &call : node.take<fetch_from_service>()) {
            node.out.clear();
            node.keeper->onServiceFailed(call.call, node.out);
        }
        node.out.clear();
    }
    const auto calls = node.keeper->serviceCalls() - before;
    INFO("calls in an hour: " << calls);
    CHECK(calls >= 1800);
    CHECK(calls <= 7200);
    CHECK(node.keeper->current()->text == "twelve");
    node.wait(2s);
    node.serviceAnswers(13, "thirteen");
    CHECK(node.keeper->stamp().version == 13);
}

TEST_CASE("the death of a reader makes another one of the data centre a reader")
{
    std::vector<member> members;
    for (int i = 0; i < 50; ++i)
        members.push_back(makeMember("vm-" + std::to_string(i)));
    const auto countReaders = [&members] {
        std::vector<std::size_t> readers;
        for (std::size_t i = 0; i < members.size(); ++i) {
            const bool alive = members[i].state == member_state::Alive;
            if (alive && isConfigurationReader(members[i].vm, members, 3))
                readers.push_back(i);
        }
        return readers;
    };
    const auto before = countReaders();
    REQUIRE(before.size() == 3);
    members[before[0]].state = member_state::Suspect;
    const auto after = countReaders();
    REQUIRE(after.size() == 3);
    CHECK(std::find(after.begin(), after.end(), before[1]) != after.end());
    CHECK(std::find(after.begin(), after.end(), before[2]) != after.end());
}

TEST_CASE("a content spreads by a tree: no node is the parent of more than the fanout")
{
    std::vector<member> members;
    for (int i = 0; i < 50; ++i)
        members.push_back(makeMember("vm-" + std::to_string(i)));
    std::map<vm_id, int> children;
    int roots = 0;
    std::uint32_t deepest = 0;
    for (const auto &one : members) {
        const auto position = fetchPosition(one.vm, members, 3, 2, 7);
        roots += position.parent.empty() ? 1 : 0;
        children[position.parent]++;
        deepest = std::max(deepest, position.depth);
    }
    CHECK(roots == 3);
    children.erase(vm_id{});
    for (const auto &[vm, count] : children) {
        CAPTURE(vm.value);
        CHECK(count <= 2);
    }
    CHECK(deepest == 3);
}

TEST_CASE("a node whose parent doesn't have the content yet takes it from one that announced it")
{
    std::vector<member> members;
    for (int i = 0; i < 5; ++i)
        members.push_back(makeMember("vm-" + std::to_string(i)));
    keeper_options options;
    std::optional<fetch_position> position;
    for (const auto &one : members) {
        const auto found = fetchPosition(one.vm, members, 3, 2, 2);
        if (!found.parent.empty()) {
            options.self = one.vm;
            position = found;
        }
    }
    REQUIRE(position);
    manual_clock clock;
    text_keeper keeper(clock, options, parseText);
    keeper.setMembers(members);
    text_keeper::actions out;
    const vm_id holder =
        isConfigurationReader(members[0].vm, members, 3) && members[0].vm.vm != position->parent
        ? members[0].vm.vm
        : members[1].vm.vm;
    keeper.onPeerVersion(holder, makeStamp(1, "one"), std::nullopt, out);
    keeper.onPeerContent(holder, 1, "one", out);
    clock.advance(3s);
    keeper.tick(out);
    REQUIRE(keeper.readyToServe());
    out.clear();
    keeper.onPeerVersion(holder, makeStamp(2, "two"), std::nullopt, out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<fetch_from_peer>(out[0]).vm == position->parent);
    keeper.onPeerContent(position->parent, 1, "one", out);
    REQUIRE(out.size() == 2);
    CHECK(std::get<fetch_from_peer>(out[1]).vm == holder);
    keeper.onPeerContent(holder, 2, "two", out);
    CHECK(keeper.stamp().version == 2);
}
