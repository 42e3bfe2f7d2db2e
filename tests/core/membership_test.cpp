#include "core/control_fake_network.h"
#include "core/membership/gossip_message.h"

#include <orchidlead/membership.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace orchidlead;
using namespace orchidlead::tests;
using namespace std::chrono_literals;

namespace {

using network = control_fake_network<>;

constexpr std::uint64_t Seed = 20261202;

/// Starts `count` nodes and waits until their views agree.
void startAndConverge(network &net, std::size_t count, std::size_t dataCenters)
{
    net.publish(1, "one");
    net.addFleet(count, dataCenters);
    const auto elapsed = net.runUntil([&] { return net.agreed(); }, 60s);
    CAPTURE(elapsed.count());
    REQUIRE(net.agreed());
}

std::uint64_t deathsSeen(network &net)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < net.size(); ++i)
        total += net.at(i).deathsSeen;
    return total;
}

gossip_message makeMessage()
{
    gossip_message message;
    message.kind = gossip_kind::Sync;
    message.sequence = 7;
    message.sender = {vm_id{"vm-1"}, 11, 12, member_status::Alive, true, 0, {}};
    message.configuration = {13, 14};
    message.digest = 15;
    message.listVersion = 16;
    message.listAge = 17ms;
    message.application = std::string("\0\xff", 2);
    message.target = vm_id{"vm-2"};
    message.slice = {1, 3};
    message.hashes = {7, 0xfffffffe};
    message.truncated = true;
    member_description description{data_center_id{"dc"}, region_id{"r"}, {"10.0.0.1", 9}};
    message.updates.push_back(
        {vm_id{"vm-3"}, 21, 22, member_status::Suspect, false, 23, description});
    return message;
}

} // namespace

TEST_CASE("an encoded gossip message decodes to the same message")
{
    const auto message = makeMessage();
    const auto decoded = decodeGossip(encodeGossip(message));
    REQUIRE(decoded);
    CHECK(decoded.value() == message);
}

TEST_CASE(
    "the decoder rejects truncated, extended and too large datagrams and bounds corrupted ones")
{
    const std::string encoded = encodeGossip(makeMessage());
    CHECK(decodeGossip(encoded + "x").error() == gossip_error::Malformed);
    CHECK(decodeGossip(std::string(MaxGossipBytes + 1, 'x')).error() == gossip_error::TooLarge);
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(decodeGossip(encoded.substr(0, length)));
    }
    rc::prop("damaged", [&encoded] {
        std::string bytes = encoded;
        for (int i = *rc::gen::inRange(1, 5); i > 0; --i)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decodeGossip(bytes);
        if (decoded)
            RC_ASSERT(decoded.value().updates.size() <= MaxGossipUpdates);
    });
}

// A node refutes a suspicion with the next greater generation, which would wrap around to 0.
TEST_CASE("the decoder rejects a generation above the maximum")
{
    auto message = makeMessage();
    message.updates[0].generation = MaxGeneration;
    CHECK(decodeGossip(encodeGossip(message)));
    message.updates[0].generation = ~0ULL;
    CHECK_FALSE(decodeGossip(encodeGossip(message)));
}

TEST_CASE("a datagram from a wrong address and a malformed one are dropped and counted")
{
    network net(Seed);
    startAndConverge(net, 4, 2);
    membership_actions out;
    auto message = makeMessage();
    message.kind = gossip_kind::Gossip;
    message.sender.vm = vm_id{"vm-2"};
    message.sender.status = member_status::Dead;
    message.sender.generation = MaxGeneration;
    net.at(0).members->onDatagram({"10.9.9.9", 1}, encodeGossip(message), out);
    net.at(0).members->onDatagram({"10.0.0.1", 1002}, "nonsense", out);
    CHECK(net.at(0).members->counters().malformed == 2);
    CHECK(net.seenBy(0, 2) == member_state::Alive);
}

TEST_CASE("all nodes detect the death of a member that stays on the VM list")
{
    const auto nodes = GENERATE(8, 40);
    network net(Seed + nodes);
    startAndConverge(net, nodes, 4);
    net.kill(3);
    const auto elapsed = net.runUntil([&] { return net.agreed(); }, 60s);
    CAPTURE(nodes, elapsed.count());
    CHECK(net.agreed());
    CHECK(elapsed <= 20s);
}

TEST_CASE("no member is declared dead with a datagram loss of 20 percent")
{
    network net(Seed);
    startAndConverge(net, 40, 4);
    net.faults = {0.2, 0.05, 1ms, 30ms};
    const auto before = deathsSeen(net);
    net.run(5min);
    CHECK(deathsSeen(net) - before == 0);
}

TEST_CASE("no member is declared dead because of slow answers")
{
    network net(Seed);
    startAndConverge(net, 8, 4);
    net.faults.minDelay = 100ms;
    net.faults.maxDelay = 220ms;
    const auto before = deathsSeen(net);
    net.run(3min);
    CHECK(deathsSeen(net) - before == 0);
}

// A resumed node must not act on its outdated state, nor declare others dead because of probes that
// were pending during the pause.
TEST_CASE("a paused node detects the pause on resumption and rejoins")
{
    network net(Seed);
    startAndConverge(net, 8, 4);
    net.pause(2);
    net.runUntil([&] { return net.seenBy(0, 2) == member_state::Dead; }, 60s);
    REQUIRE(net.seenBy(0, 2) == member_state::Dead);
    net.run(30s);
    REQUIRE(net.at(2).pausesNoticed == 0);
    net.wake(2);
    CHECK(net.at(2).pausesNoticed == 1);
    CHECK(net.at(2).manager->needsConfirmation());
    CHECK(net.at(2).members->lastPauseStart().has_value());
    const auto elapsed = net.runUntil([&] { return net.agreed(); }, 30s);
    CAPTURE(elapsed.count());
    CHECK(net.agreed());
    CHECK(net.at(2).deathsSeen == 0);
    CHECK(net.at(2).manager->readyToServe());
}

// A generation starts from the time of day, so a clock that runs behind gives the new process a
// lower one than the old process had.
TEST_CASE("a new process on the same VM replaces the old one")
{
    network net(Seed);
    startAndConverge(net, 8, 4);
    const auto oldIncarnation = net.at(5).incarnation;
    net.kill(5);
    net.run(500ms);
    net.clock.shiftWallClock(-1h);
    INFO("the clock of the new process is one hour behind");
    net.start(5);
    const auto allReplaced = [&] {
        for (std::size_t i = 0; i < net.size(); ++i) {
            if (net.at(i).members->find(net.at(5).vm.vm)->incarnation == oldIncarnation)
                return false;
        }
        return net.agreed();
    };
    const auto elapsed = net.runUntil(allReplaced, 30s);
    CAPTURE(elapsed.count());
    CHECK(net.agreed());
    for (std::size_t i = 0; i < net.size(); ++i) {
        CAPTURE(i);
        CHECK(net.at(i).members->find(net.at(5).vm.vm)->incarnation == net.at(5).incarnation);
    }
    CHECK_FALSE(net.at(5).supersededSeen);
}

// After a network partition heals, each side still has the members of the other as dead. Spreading
// these deaths would make nodes lose members that they can reach.
TEST_CASE("data centres rejoin after a network partition without flapping")
{
    network net(Seed);
    startAndConverge(net, 24, 4);
    net.cut({{"dc-3", 1}});
    net.runUntil([&] { return net.agreed(0) && net.agreed(1); }, 120s);
    REQUIRE(net.agreed(0));
    REQUIRE(net.agreed(1));
    net.run(10min);
    const auto before = deathsSeen(net);
    std::uint64_t changesBefore = 0;
    for (std::size_t i = 0; i < net.size(); ++i)
        changesBefore += net.at(i).changesSeen;
    net.heal();
    const auto elapsed = net.runUntil([&] { return net.agreed(); }, 60s);
    CAPTURE(elapsed.count());
    REQUIRE(net.agreed());
    CHECK(elapsed <= 30s);
    net.run(2min);
    std::uint64_t changes = 0;
    for (std::size_t i = 0; i < net.size(); ++i)
        changes += net.at(i).changesSeen;
    INFO("each of 18 nodes regains 6 members and each of 6 nodes regains 18; nothing else changes");
    CHECK(deathsSeen(net) - before == 0);
    CHECK(changes - changesBefore == 2 * 18 * 6);
}

TEST_CASE("other nodes apply an announcement of leaving or stopping at once")
{
    network net(Seed);
    startAndConverge(net, 16, 4);
    const auto applyToPeers = [&](auto call) {
        membership_actions out;
        call(*net.at(4).members, out);
        for (const auto &action : out) {
            if (const auto *datagram = std::get_if<gossip_datagram>(&action)) {
                membership_actions ignored;
                for (std::size_t i = 0; i < net.size(); ++i) {
                    if (net.at(i).vm.peerAddress == datagram->to)
                        net.at(i).members->onDatagram(net.at(4).vm.peerAddress, datagram->bytes,
                                                      ignored);
                }
            }
        }
    };
    applyToPeers([](auto &members, auto &out) { members.announceLeaving(out); });
    CHECK(net.seenBy(0, 4) == member_state::Leaving);
    net.run(5s);
    for (std::size_t i = 0; i < net.size(); ++i)
        CHECK(net.seenBy(i, 4) == member_state::Leaving);
    applyToPeers([](auto &members, auto &out) { members.announceStopped(out); });
    net.kill(4);
    CHECK(net.seenBy(0, 4) == member_state::Dead);
    net.runUntil([&] { return net.agreed(); }, 10s);
    CHECK(net.agreed());
}

TEST_CASE("a VM that the VM list lacks joins as an unlisted member")
{
    network net(Seed);
    startAndConverge(net, 8, 4);
    const auto added = net.add("vm-new", "dc-1");
    net.cutPlatform({0});
    net.start(added);
    membership_actions out;
    std::vector<listed_vm> seeds;
    for (std::size_t i = 0; i < 3; ++i)
        seeds.push_back(net.at(i).vm);
    net.at(added).members->setVmList(1, seeds, out);
    net.runUntil([&] { return net.agreed(); }, 30s);
    REQUIRE(net.agreed());
    const auto seen = net.at(0).members->find(vm_id{"vm-new"});
    REQUIRE(seen.has_value());
    CHECK_FALSE(seen->listed);
    CHECK(seen->vm.dataCenter == data_center_id{"dc-1"});
}

TEST_CASE("a node gets the confirmation time of its VM list from peers and never overestimates it")
{
    network net(Seed);
    startAndConverge(net, 8, 4);
    net.run(30s);
    membership_actions out;
    const auto confirmationTime = net.clock.now();
    net.at(1).members->confirmVmList(1);
    net.run(10s);
    for (std::size_t i = 0; i < net.size(); ++i) {
        const auto confirmed = net.at(i).members->vmListConfirmedAt();
        REQUIRE(confirmed.has_value());
        CHECK(*confirmed <= confirmationTime);
    }
    CHECK(*net.at(5).members->vmListConfirmedAt() > confirmationTime - 1s);
}

TEST_CASE("membership traffic of an idle node among 56 stays below 2.5 KB per second")
{
    network net(Seed);
    startAndConverge(net, 56, 7);
    net.run(60s);
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < net.size(); ++i) {
        const auto &counters = net.at(i).members->counters();
        before.push_back(counters.sentBytes + counters.receivedBytes);
    }
    net.run(60s);
    for (std::size_t i = 0; i < net.size(); ++i) {
        const auto &counters = net.at(i).members->counters();
        const auto perSecond = (counters.sentBytes + counters.receivedBytes - before[i]) / 60;
        CAPTURE(i, perSecond);
        CHECK(perSecond < 2500);
    }
}
