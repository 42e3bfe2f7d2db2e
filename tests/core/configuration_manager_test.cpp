#include "core/control_fake_network.h"

#include <orchidlead/configuration_manager.h>

#include <catch2/catch.hpp>

#include <memory>

using namespace orchidlead;
using namespace orchidlead::tests;
using namespace std::chrono_literals;

namespace {

using text_manager = configuration_manager<text_configuration>;

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

/// Runs one configuration manager and collects its actions.
template <class Manager = text_manager>
struct manager_fixture
{
    explicit manager_fixture(std::vector<member> members = {makeMember("vm-1")})
    {
        configuration_manager_options options;
        options.self = makeVm("vm-1");
        manager = std::make_unique<Manager>(clock, options, parseText);
        manager->setMembers(std::move(members));
        manager->tick(out);
    }

    template <class Action>
    std::vector<Action> actionsOf()
    {
        std::vector<Action> found;
        for (const auto &action : out) {
            if (const auto *wanted = std::get_if<Action>(&action))
                found.push_back(*wanted);
        }
        return found;
    }

    bool reported(configuration_event event)
    {
        for (const auto &report : actionsOf<configuration_event_report>()) {
            if (report.event == event)
                return true;
        }
        return false;
    }

    /// Answers the latest call to the service.
    void answerServiceCall(std::uint64_t version, const std::string &content)
    {
        const auto call = manager->serviceCalls();
        out.clear();
        manager->onConfigurationServiceRead(call, version, content, out);
    }

    void advanceTime(milliseconds time)
    {
        clock.advance(time);
        manager->tick(out);
    }

    /// Puts a version in force and waits until it is confirmed or the confirmation times out.
    void adoptAndConfirm(std::uint64_t version, const std::string &content)
    {
        answerServiceCall(version, content);
        advanceTime(2s);
        REQUIRE(manager->readyToServe());
        out.clear();
    }

    manual_clock clock;
    typename Manager::actions out;
    std::unique_ptr<Manager> manager;
};

} // namespace

TEST_CASE("a single node serves the configuration that the service returns")
{
    manager_fixture<> node;
    const auto calls = node.actionsOf<fetch_from_service>();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].wait == 0ms);
    CHECK_FALSE(node.manager->readyToServe());
    node.answerServiceCall(3, "three");
    REQUIRE(node.manager->readyToServe());
    CHECK(node.manager->current()->text == "three");
    node.out.clear();
    node.advanceTime(500ms);
    REQUIRE(node.actionsOf<fetch_from_service>().size() == 1);
    CHECK(node.actionsOf<fetch_from_service>()[0].after == 3);
    CHECK(node.actionsOf<fetch_from_service>()[0].wait == 30s);
}

TEST_CASE("a lower version from a stale service is ignored and reported")
{
    manager_fixture<> node;
    node.adoptAndConfirm(12, "twelve");
    node.answerServiceCall(9, "nine");
    CHECK(node.manager->stamp().version == 12);
    CHECK(node.reported(configuration_event::StaleService));
}

TEST_CASE(
    "an invalid version is rejected once and the previous one stays until a valid one arrives")
{
    manager_fixture<> node;
    node.adoptAndConfirm(12, "twelve");
    node.answerServiceCall(13, "invalid thirteen");
    REQUIRE(node.actionsOf<reject_configuration>().size() == 1);
    CHECK(node.manager->current()->text == "twelve");
    node.advanceTime(1s);
    INFO("the watch must not return the rejected version at once");
    REQUIRE_FALSE(node.actionsOf<fetch_from_service>().empty());
    CHECK(node.actionsOf<fetch_from_service>().back().after == 13);
    node.answerServiceCall(13, "invalid thirteen");
    CHECK(node.actionsOf<reject_configuration>().empty());
    node.answerServiceCall(14, "fourteen");
    CHECK(node.manager->current()->text == "fourteen");
}

TEST_CASE(
    "of two configurations with the same version all nodes adopt the one with the greater hash")
{
    manager_fixture<> one;
    manager_fixture<> other;
    one.adoptAndConfirm(5, "left");
    one.answerServiceCall(5, "right");
    CHECK(one.reported(configuration_event::VersionConflict));
    other.adoptAndConfirm(5, "right");
    other.answerServiceCall(5, "left");
    CHECK(other.reported(configuration_event::VersionConflict));
    CHECK(one.manager->stamp() == other.manager->stamp());
}

TEST_CASE("a new node with a stale service serves only after adopting the version of a peer")
{
    manager_fixture<> node({makeMember("vm-1"), makeMember("vm-2")});
    REQUIRE_FALSE(node.actionsOf<probe_peers>().empty());
    node.answerServiceCall(9, "nine");
    CHECK_FALSE(node.manager->readyToServe());
    node.out.clear();
    node.manager->onPeerVersion(vm_id{"vm-2"}, makeStamp(12, "twelve"), node.clock.now(), node.out);
    CHECK_FALSE(node.manager->readyToServe());
    REQUIRE(node.actionsOf<fetch_from_peer>().size() == 1);
    node.advanceTime(900ms);
    node.manager->onPeerContent(vm_id{"vm-2"}, 12, "twelve", node.out);
    CHECK(node.manager->readyToServe());
    CHECK(node.manager->stamp().version == 12);
}

TEST_CASE("a new node without a VM list is not confirmed by the answer of a stale service")
{
    member self = makeMember("vm-1");
    self.listed = false;
    manager_fixture<> node({self});
    node.answerServiceCall(9, "nine");
    CHECK_FALSE(node.manager->readyToServe());
    node.manager->setMembers({makeMember("vm-1"), makeMember("vm-2")});
    node.advanceTime(50ms);
    CHECK_FALSE(node.manager->readyToServe());
    node.manager->onPeerVersion(vm_id{"vm-2"}, makeStamp(12, "twelve"), node.clock.now(), node.out);
    CHECK_FALSE(node.manager->readyToServe());
    node.manager->onPeerContent(vm_id{"vm-2"}, 12, "twelve", node.out);
    CHECK(node.manager->readyToServe());
    CHECK(node.manager->stamp().version == 12);
}

TEST_CASE("without the guard a new node serves the version of a stale service")
{
    manager_fixture<configuration_manager<text_configuration, unchecked_policy>> node(
        {makeMember("vm-1"), makeMember("vm-2")});
    node.answerServiceCall(12, "twelve");
    node.answerServiceCall(9, "nine");
    CHECK(node.manager->readyToServe());
    INFO("the version decreased");
    CHECK(node.manager->stamp().version == 9);
}

TEST_CASE("after a pause the node probes its peers again and ignores answers to earlier probes")
{
    manager_fixture<> node({makeMember("vm-1"), makeMember("vm-2")});
    const auto firstProbeSentAt = node.clock.now();
    node.answerServiceCall(12, "twelve");
    node.manager->onPeerVersion(vm_id{"vm-2"}, node.manager->stamp(), firstProbeSentAt, node.out);
    REQUIRE(node.manager->readyToServe());

    node.clock.advance(10s);
    node.out.clear();
    node.manager->onPaused(node.out);
    CHECK(node.manager->needsConfirmation());
    CHECK_FALSE(node.actionsOf<probe_peers>().empty());
    node.manager->onPeerVersion(vm_id{"vm-2"}, node.manager->stamp(), firstProbeSentAt, node.out);
    node.manager->onPeerVersion(vm_id{"vm-2"}, node.manager->stamp(), std::nullopt, node.out);
    CHECK(node.manager->needsConfirmation());
    node.manager->onPeerVersion(vm_id{"vm-2"}, makeStamp(13, "thirteen"), node.clock.now(),
                                node.out);
    CHECK(node.manager->needsConfirmation());
    node.manager->onPeerContent(vm_id{"vm-2"}, 13, "thirteen", node.out);
    CHECK(node.manager->readyToServe());
}

TEST_CASE("a node without any answer serves the configuration in force after the timeout")
{
    manager_fixture<> node({makeMember("vm-1"), makeMember("vm-2")});
    node.adoptAndConfirm(12, "twelve");
    node.manager->onPaused(node.out);
    node.advanceTime(1900ms);
    CHECK_FALSE(node.manager->readyToServe());
    node.advanceTime(200ms);
    CHECK(node.manager->readyToServe());
    CHECK(node.reported(configuration_event::ConfirmTimedOut));
}

TEST_CASE("a peer that sends a lower version than announced is replaced by another holder")
{
    manager_fixture<> node({makeMember("vm-1"), makeMember("vm-2"), makeMember("vm-3")});
    const auto stamp = makeStamp(12, "twelve");
    node.manager->onPeerVersion(vm_id{"vm-2"}, stamp, std::nullopt, node.out);
    node.manager->onPeerVersion(vm_id{"vm-3"}, stamp, std::nullopt, node.out);
    REQUIRE(node.actionsOf<fetch_from_peer>().size() == 1);
    node.out.clear();
    node.manager->onPeerContent(vm_id{"vm-2"}, 11, "eleven", node.out);
    CHECK(node.reported(configuration_event::ContentMismatch));
    REQUIRE(node.actionsOf<fetch_from_peer>().size() == 1);
    CHECK(node.actionsOf<fetch_from_peer>()[0].vm == vm_id{"vm-3"});
    node.out.clear();
    INFO("a fetch from a peer that does not answer times out");
    node.advanceTime(1100ms);
    node.manager->onPeerVersion(vm_id{"vm-2"}, stamp, std::nullopt, node.out);
    REQUIRE(node.actionsOf<fetch_from_peer>().size() == 1);
    node.manager->onPeerContent(vm_id{"vm-2"}, 12, "twelve", node.out);
    CHECK(node.manager->stamp() == stamp);
}

TEST_CASE(
    "while the service is down the call rate is bounded and a recovered service is read again")
{
    manager_fixture<> node;
    node.adoptAndConfirm(12, "twelve");
    const auto before = node.manager->serviceCalls();
    for (int i = 0; i < 36000; ++i) {
        node.advanceTime(100ms);
        for (const auto &call : node.actionsOf<fetch_from_service>()) {
            node.out.clear();
            node.manager->onConfigurationServiceFailed(call.call, node.out);
        }
        node.out.clear();
    }
    const auto calls = node.manager->serviceCalls() - before;
    INFO("calls in one hour: " << calls);
    CHECK(calls >= 1800);
    CHECK(calls <= 7200);
    CHECK(node.manager->current()->text == "twelve");
    node.advanceTime(2s);
    node.answerServiceCall(13, "thirteen");
    CHECK(node.manager->stamp().version == 13);
}

TEST_CASE("a suspected reader is replaced by another node of the data centre")
{
    std::vector<member> members;
    for (int i = 0; i < 50; ++i)
        members.push_back(makeMember("vm-" + std::to_string(i)));
    const auto findReaders = [&members] {
        std::vector<std::size_t> readers;
        for (std::size_t i = 0; i < members.size(); ++i) {
            const bool alive = members[i].state == member_state::Alive;
            if (alive && isConfigurationReader(members[i].vm, members, 3))
                readers.push_back(i);
        }
        return readers;
    };
    const auto before = findReaders();
    REQUIRE(before.size() == 3);
    members[before[0]].state = member_state::Suspect;
    const auto after = findReaders();
    REQUIRE(after.size() == 3);
    CHECK(std::find(after.begin(), after.end(), before[1]) != after.end());
    CHECK(std::find(after.begin(), after.end(), before[2]) != after.end());
}

TEST_CASE("in the distribution tree no node has more children than the fanout")
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

TEST_CASE(
    "a node whose parent does not have the content yet fetches it from a peer that announced it")
{
    std::vector<member> members;
    for (int i = 0; i < 5; ++i)
        members.push_back(makeMember("vm-" + std::to_string(i)));
    configuration_manager_options options;
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
    text_manager manager(clock, options, parseText);
    manager.setMembers(members);
    text_manager::actions out;
    const vm_id holder =
        isConfigurationReader(members[0].vm, members, 3) && members[0].vm.vm != position->parent
        ? members[0].vm.vm
        : members[1].vm.vm;
    manager.onPeerVersion(holder, makeStamp(1, "one"), std::nullopt, out);
    manager.onPeerContent(holder, 1, "one", out);
    clock.advance(3s);
    manager.tick(out);
    REQUIRE(manager.readyToServe());
    out.clear();
    manager.onPeerVersion(holder, makeStamp(2, "two"), std::nullopt, out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<fetch_from_peer>(out[0]).vm == position->parent);
    manager.onPeerContent(position->parent, 1, "one", out);
    REQUIRE(out.size() == 2);
    CHECK(std::get<fetch_from_peer>(out[1]).vm == holder);
    manager.onPeerContent(holder, 2, "two", out);
    CHECK(manager.stamp().version == 2);
}
