// Three nodes track each other's state with probes and gossip. Their datagrams pass through a queue
// in memory. When one node stops, the others detect its death.

#include "claims.h"

#include <orchidlead/membership.h>

#include <deque>
#include <functional>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

/// Returns the VM with the given number, which is also its port.
listed_vm makeVm(std::uint16_t number)
{
    const vm_id name{"vm-" + std::to_string(number)};
    return {name, data_center_id{"dc-1"}, region_id{"r-1"}, {"127.0.0.1", number}};
}

membership_options makeOptions(const listed_vm &self)
{
    membership_options options;
    options.self = self;
    options.incarnation = 1000U + self.peerAddress.port; // random in a real program
    options.seed = self.peerAddress.port;
    return options;
}

struct node
{
    listed_vm self;
    membership view;
    bool running = true;
};

/// Runs the nodes and delivers their datagrams.
struct fleet
{
    explicit fleet(const std::vector<listed_vm> &vms)
    {
        for (const listed_vm &vm : vms)
            nodes.push_back({vm, membership{clock, makeOptions(vm)}});
        for (node &one : nodes) {
            membership_actions actions;
            one.view.setVmList(1, vms, actions); // the platform's list, version 1
            carryOut(one, actions);
        }
    }

    /// Runs until `done` returns true, for at most 30 s. Returns whether it did.
    bool runUntil(const std::function<bool()> &done)
    {
        for (auto passed = 0ms; passed < 30s && !done(); passed += 50ms)
            runStep();
        return done();
    }

    void runStep()
    {
        clock.advance(50ms); // tick interval
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
                std::cout << sender.self.vm.value << " considers " << changed->now.vm.vm.value
                          << " " << toName(changed->now.state) << '\n';
        }
    }

    /// Whether the state of vm-`other` in the view of vm-`observer` is `state`.
    [[nodiscard]] bool considers(std::size_t observer, std::size_t other, member_state state) const
    {
        const auto found = nodes.at(observer - 1).view.find(nodes.at(other - 1).self.vm);
        return found && found->state == state;
    }

    manual_clock clock; // shared by the nodes, while real nodes have their own
    std::deque<node> nodes;
    std::vector<std::pair<socket_address, gossip_datagram>> queue;
};

} // namespace

int main()
{
    using enum member_state;
    claims shown;
    fleet cluster{{makeVm(1), makeVm(2), makeVm(3)}};
    const auto bothAlive = [&cluster](std::size_t one, std::size_t other) {
        return cluster.considers(one, other, Alive) && cluster.considers(other, one, Alive);
    };
    shown.check(
        cluster.runUntil([&] { return bothAlive(1, 2) && bothAlive(1, 3) && bothAlive(2, 3); }),
        "all three nodes consider each other alive");
    cluster.nodes.at(2).running = false; // vm-3 stops without an announcement
    shown.check(cluster.runUntil(
                    [&] { return cluster.considers(1, 3, Dead) && cluster.considers(2, 3, Dead); }),
                "both other nodes consider vm-3 dead");
    shown.check(bothAlive(1, 2), "both remaining nodes consider each other alive");
    return shown.exitCode();
}
