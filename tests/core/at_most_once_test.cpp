#include "core/once/at_most_once.h"
#include "core/requests/answer_codec.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

at_most_once_settings settingsOf(const std::string &vm)
{
    at_most_once_settings settings;
    settings.vm = vm_id{vm};
    settings.incarnation = 0x1234567890abcdefULL;
    settings.dataCenter = data_center_id{"dc"};
    return settings;
}

std::vector<member> membersOf(std::size_t count)
{
    std::vector<member> members(count);
    for (std::size_t i = 0; i < count; ++i) {
        members[i].vm.vm = vm_id{"vm-" + std::to_string(i)};
        members[i].state = member_state::Alive;
        members[i].listed = true;
    }
    return members;
}

// A VM that is listed alone forms a majority by itself.
struct single_node
{
    explicit single_node(at_most_once_settings settings = settingsOf("vm-0"))
        : gate(std::move(settings), clock)
    {
        for (int second = 0; second < 200; ++second)
            step();
    }

    void step(std::chrono::milliseconds by = 1s)
    {
        clock.advance(by);
        gate.setMembers(membersOf(1), clock.now());
        gate.tick(sent);
    }

    non_repeatable_request request(const std::string &randomText, milliseconds age = 0ms) const
    {
        const auto issued = (clock.wallNow() - age).time_since_epoch();
        non_repeatable_request made;
        made.customer = customer_id{"saare"};
        made.homeDataCenter = data_center_id{"dc"};
        made.key =
            std::to_string(std::chrono::duration_cast<milliseconds>(issued).count()) + randomText;
        made.deadline = clock.now() + 4s;
        return made;
    }

    manual_clock clock;
    at_most_once gate;
    std::vector<peer_message> sent;
};

final_answer answered(const std::string &output)
{
    final_answer answer;
    answer.outcome = outcome::Answered;
    answer.output = std::make_shared<const std::string>(output);
    return answer;
}

template <class Verdict>
Verdict expect(const at_most_once_verdict &verdict)
{
    const auto *refused = std::get_if<refuse_call>(&verdict);
    INFO("refused: " << (refused != nullptr ? refused->detail : "no"));
    REQUIRE(std::holds_alternative<Verdict>(verdict));
    return std::get<Verdict>(verdict);
}

} // namespace

TEST_CASE("a resend attaches to the call in flight and later gets its stored answer")
{
    single_node node;
    const auto request = node.request("-a1b2c3d4");
    const auto record = expect<run_locally>(node.gate.onRequest(request)).record;
    CHECK(expect<attach_to_call>(node.gate.onRequest(request)).record == record);
    CHECK(node.gate.mayDispatch(record));
    node.gate.onDispatched(record);
    node.gate.onFinished(record, answered("\"seat 12\""));
    CHECK(*expect<return_stored_answer>(node.gate.onRequest(request)).answer.output
          == "\"seat 12\"");
    CHECK_FALSE(node.gate.mayDispatch(record));
}

TEST_CASE("a key that is used for another request is refused")
{
    single_node node;
    auto request = node.request("-a1b2c3d4");
    expect<run_locally>(node.gate.onRequest(request));
    request.digest = 99;
    const auto refused = expect<refuse_call>(node.gate.onRequest(request));
    CHECK(refused.outcome == outcome::NotRun);
    CHECK(refused.reason == refusal_reason::InvalidRequest);
}

TEST_CASE("two customers may use the same key")
{
    single_node node;
    auto request = node.request("-a1b2c3d4");
    const auto first = expect<run_locally>(node.gate.onRequest(request)).record;
    request.customer = customer_id{"hiiu"};
    CHECK_FALSE(expect<run_locally>(node.gate.onRequest(request)).record == first);
}

TEST_CASE("a call whose answer was evicted is refused and not run again")
{
    auto settings = settingsOf("vm-0");
    settings.maxAnswerBytes = 10;
    single_node node{settings};
    const auto request = node.request("-a1b2c3d4");
    const auto record = expect<run_locally>(node.gate.onRequest(request)).record;
    node.gate.onFinished(record, answered("\"longer than ten bytes\""));
    const auto refused = expect<refuse_call>(node.gate.onRequest(request));
    CHECK(refused.outcome == outcome::Failed);
    CHECK(refused.reason == refusal_reason::KeyInUse);
}

TEST_CASE("a key past its window is refused and its record is dropped")
{
    single_node node;
    const auto request = node.request("-a1b2c3d4");
    const auto record = expect<run_locally>(node.gate.onRequest(request)).record;
    node.gate.onFinished(record, answered("1"));
    for (int second = 0; second < 610; ++second)
        node.step();
    CHECK(node.gate.recordCount() == 0);
    const auto refused = expect<refuse_call>(node.gate.onRequest(request));
    CHECK(refused.outcome == outcome::Unknown);
    CHECK(refused.reason == refusal_reason::KeyExpired);
}

TEST_CASE("a call past its deadline may not be sent")
{
    single_node node;
    const auto record = expect<run_locally>(node.gate.onRequest(node.request("-a1b2c3d4"))).record;
    node.clock.advance(4s);
    CHECK_FALSE(node.gate.mayDispatch(record));
}

TEST_CASE("a gate without room for records refuses with the outcome unknown")
{
    auto settings = settingsOf("vm-0");
    settings.maxRecords = 1;
    single_node node{settings};
    expect<run_locally>(node.gate.onRequest(node.request("-a1b2c3d4")));
    const auto refused = expect<refuse_call>(node.gate.onRequest(node.request("-e5f6a7b8")));
    CHECK(refused.outcome == outcome::Unknown);
    CHECK(refused.reason == refusal_reason::Overloaded);
}

TEST_CASE("a ticket is forwarded to the VM that minted it but not forwarded twice")
{
    single_node node;
    non_repeatable_request request;
    request.ticket = "t.vm-9.ab.1";
    CHECK(expect<forward_to>(node.gate.onRequest(request)).vm == vm_id{"vm-9"});
    request.forwarded = true;
    CHECK(expect<refuse_call>(node.gate.onRequest(request)).outcome == outcome::Unknown);
}

TEST_CASE("a node that has just started accepts tickets but no idempotency keys")
{
    manual_clock clock;
    at_most_once gate{settingsOf("vm-0"), clock};
    gate.setMembers(membersOf(1), clock.now());
    non_repeatable_request request;
    request.ticket = gate.mintTicket();
    request.deadline = clock.now() + 4s;
    expect<run_locally>(gate.onRequest(request));
    request.ticket.reset();
    request.homeDataCenter = data_center_id{"dc"};
    const auto now =
        std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch()).count();
    request.key = std::to_string(now) + "-a1b2c3d4";
    const auto refused = expect<refuse_call>(gate.onRequest(request));
    CHECK(refused.outcome == outcome::Unknown);
    CHECK(refused.reason == refusal_reason::HomeUncertain);
}

TEST_CASE("a key whose home data centre is unknown gets the outcome unknown")
{
    single_node node;
    auto request = node.request("-a1b2c3d4");
    request.homeDataCenter = {};
    CHECK(expect<refuse_call>(node.gate.onRequest(request)).outcome == outcome::Unknown);
}

TEST_CASE("a VM that the platform does not list holds no lease")
{
    manual_clock clock;
    at_most_once gate{settingsOf("vm-0"), clock};
    std::vector<peer_message> out;
    auto members = membersOf(1);
    members[0].listed = false;
    for (int second = 0; second < 200; ++second) {
        clock.advance(1s);
        gate.setMembers(members, clock.now());
        gate.tick(out);
    }
    CHECK(gate.heldShards() == 0);
}

TEST_CASE("a peer message truncated at any length is dropped and counted as malformed")
{
    single_node node;
    shard_handover handover;
    handover.records.push_back({"ksaare", 1, 2, true, encodeAnswer(answered("1"), 100)});
    const auto bytes = encodeKeyHomeMessage(handover);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        node.gate.onPeerMessage(vm_id{"vm-1"}, bytes.substr(0, length), node.sent);
    CHECK(node.gate.malformedMessages() == bytes.size());
    CHECK(decodeKeyHomeMessage(bytes).has_value());
    CHECK_FALSE(decodeKeyHomeMessage(bytes + "x").has_value());
}

// A node requests the leases of all shards with one message per peer. The IP and UDP headers add 28
// bytes to each message.
TEST_CASE("lease messages in a data centre of 50 VMs take less than 1.5 KB per second and node")
{
    constexpr std::size_t Vms = 50;
    constexpr int Seconds = 240;
    constexpr int FromSecond = 200; // leases are stable by then
    constexpr std::size_t HeaderBytes = 28;
    manual_clock clock;
    std::vector<std::unique_ptr<at_most_once>> gates;
    for (std::size_t i = 0; i < Vms; ++i) {
        auto settings = settingsOf("vm-" + std::to_string(i));
        settings.incarnation += i;
        gates.push_back(std::make_unique<at_most_once>(settings, clock));
    }
    const auto indexOf = [](const vm_id &vm) { return std::stoul(vm.value.substr(3)); };
    std::size_t bytes = 0;
    for (int second = 0; second < Seconds; ++second) {
        clock.advance(1s);
        for (std::size_t i = 0; i < Vms; ++i) {
            std::vector<peer_message> out;
            gates[i]->setMembers(membersOf(Vms), clock.now());
            gates[i]->tick(out);
            for (const auto &message : out) {
                std::vector<peer_message> replies;
                gates[indexOf(message.to)]->onPeerMessage(vm_id{"vm-" + std::to_string(i)},
                                                          message.bytes, replies);
                bytes += second >= FromSecond ? message.bytes.size() + HeaderBytes : 0;
                for (const auto &reply : replies) {
                    std::vector<peer_message> none;
                    gates[i]->onPeerMessage(message.to, reply.bytes, none);
                    bytes += second >= FromSecond ? reply.bytes.size() + HeaderBytes : 0;
                }
            }
        }
    }
    shard_bits held = 0;
    for (const auto &gate : gates) {
        CHECK((held & gate->heldShards()) == 0);
        held |= gate->heldShards();
    }
    CHECK(held == ~shard_bits{0});
    const std::size_t perNode = bytes / (Vms * (Seconds - FromSecond));
    std::cout << "bytes a second and node: " << perNode << '\n';
    CHECK(perNode < 1'500);
}
