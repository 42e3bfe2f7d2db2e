// Shows three nodes that tell each other who is there: they probe and gossip with datagrams, which
// here go through a queue in memory, and when one falls silent the others notice.

#include "claims.h"

#include <orchidlead/membership.h>

#include <deque>
#include <functional>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

/// Gives the VM of that number, which is its port too.
listed_vm makeVm(std::uint16_t number)
{
    const vm_id name{"vm-" + std::to_string(number)};
    return {name, data_center_id{"dc-1"}, region_id{"r-1"}, {"127.0.0.1", number}};
}

membership_options makeOptions(const listed_vm &self)
{
    membership_options options;
    options.self = self;
    options.incarnation = 1000U + self.peerAddress.port; // drawn at random by a real program
    options.seed = self.peerAddress.port;
    return options;
}

struct node
{
    listed_vm self;
    membership view;
    bool running = true;
};

/// Runs the nodes and carries their datagrams.
struct fleet
{
    explicit fleet(const std::vector<listed_vm> &vms)
    {
        for (const listed_vm &vm : vms)
            nodes.push_back({vm, membership{clock, makeOptions(vm)}});
        for (node &one : nodes) {
            membership_actions actions;
            one.view.setListed(1, vms, actions); // the platform's list, version 1
            carryOut(one, actions);
        }
    }

    /// Runs until `done`, for 30 s at most; tells whether it was done.
    bool runUntil(const std::function<bool()> &done)
    {
        for (auto passed = 0ms; passed < 30s && !done(); passed += 50ms)
            runStep();
        return done();
    }

    void runStep()
    {
        clock.advance(50ms); // between two ticks
        for (const auto &[from, sent] : std::exchange(queue, {})) {
            node &receiver = nodes.at(sent.to.port - 1U);
            membership_actions actions;
            if (receiver.running)
                receiver.view.onDatagram(from, sent.bytes, actions);
            carryOut(receiver, actions);
        }
        for (node &one : nodes) {
            membership_actions actions;
            if (one.running)
                one.view.tick(actions);
            carryOut(one, actions);
        }
    }

    void carryOut(const node &sender, const membership_actions &actions)
    {
        for (const membership_action &action : actions) {
            if (const auto *sent = std::get_if<gossip_datagram>(&action))
                queue.emplace_back(sender.self.peerAddress, *sent);
            if (const auto *changed = std::get_if<member_changed>(&action))
                std::cout << sender.self.vm.value << " sees " << changed->now.vm.vm.value << " "
                          << toName(changed->now.state) << '\n';
        }
    }

    /// Tells whether vm-`observer` holds vm-`other` for `state`.
    [[nodiscard]] bool sees(std::size_t observer, std::size_t other, member_state state) const
    {
        const auto found = nodes.at(observer - 1).view.find(nodes.at(other - 1).self.vm);
        return found && found->state == state;
    }

    manual_clock clock; // shared here; each real node reads its own
    std::deque<node> nodes;
    std::vector<std::pair<socket_address, gossip_datagram>> queue;
};

} // namespace

int main()
{
    using enum member_state;
    claims shown;
    fleet three{{makeVm(1), makeVm(2), makeVm(3)}};
    const auto pairSees = [&three](std::size_t one, std::size_t other) {
        return three.sees(one, other, Alive) && three.sees(other, one, Alive);
    };
    shown.check(three.runUntil([&] { return pairSees(1, 2) && pairSees(1, 3) && pairSees(2, 3); }),
                "all three see each other alive");
    three.nodes.at(2).running = false; // vm-3 dies without a word
    shown.check(three.runUntil([&] { return three.sees(1, 3, Dead) && three.sees(2, 3, Dead); }),
                "both others find vm-3 dead");
    shown.check(pairSees(1, 2), "and each other alive");
    return shown.exitCode();
}
