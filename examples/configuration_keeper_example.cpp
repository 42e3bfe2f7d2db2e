// Shows two nodes that keep one published configuration in force: one reads it from the service,
// the other gets it from that peer, and neither goes back when the service does.

#include "claims.h"

#include <orchidlead/configuration_keeper.h>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

using text_keeper = configuration_keeper<std::string>; // a real program has a type of its own
using text_actions = text_keeper::actions;

/// Takes the place of the configuration service.
struct fake_service
{
    std::uint64_t version = 0; ///< 0: the service is down
    std::string content;
};

listed_vm makeVm(const std::string &name)
{
    return {vm_id{name}, data_center_id{"dc-1"}, region_id{"r-1"}, {"127.0.0.1", 1}, false};
}

result<text_keeper::configuration_ptr, std::vector<std::string>> check(std::uint64_t,
                                                                       std::string_view content)
{
    return std::make_shared<const std::string>(content); // a real one parses and may refuse
}

text_keeper makeKeeper(const clock_source &clock, const std::string &name)
{
    return {clock, {.self = makeVm(name), .readersPerDataCenter = 1}, check};
}

/// Carries out what its keeper asks for; in place of the network it calls its peer.
struct node
{
    [[nodiscard]] std::uint64_t version() const { return keeper.stamp().version; }

    /// Does what a daemon does every 50 ms.
    void step(const fake_service &service, const node &peer)
    {
        text_actions actions;
        keeper.tick(actions);
        keeper.onPeerVersion(peer.vm, peer.keeper.stamp(), std::nullopt, actions); // as by gossip
        if (watch.call != 0 && (service.version == 0 || service.version > watch.after))
            answer(std::exchange(watch, {}), service, actions);
        for (std::size_t i = 0; i < actions.size(); ++i) // carrying one out may append more
            carryOut(text_keeper::action{actions[i]}, service, peer, actions);
    }

    void answer(const fetch_from_service &call, const fake_service &service, text_actions &out)
    {
        if (service.version == 0)
            keeper.onServiceFailed(call.call, out);
        else if (call.wait == 0ms || service.version > call.after)
            keeper.onServiceRead(call.call, service.version, service.content, out);
        else
            watch = call; // a long poll: answered when there is something newer
    }

    void carryOut(const text_keeper::action &action, const fake_service &service, const node &peer,
                  text_actions &out)
    {
        if (const auto *call = std::get_if<fetch_from_service>(&action))
            answer(*call, service, out);
        if (std::holds_alternative<fetch_from_peer>(action))
            keeper.onPeerContent(peer.vm, peer.version(), peer.keeper.content(), out);
        if (std::holds_alternative<ask_peers>(action))
            keeper.onPeerVersion(peer.vm, peer.keeper.stamp(), clock.now(), out);
        if (const auto *adopted = std::get_if<adopt_configuration<std::string>>(&action)) {
            std::cout << vm.value << " gets it from the " << toName(adopted->source) << '\n';
            source = adopted->source;
        }
        if (const auto *report = std::get_if<keeper_report>(&action))
            sawStale |= report->event == keeper_event::StaleService;
    }

    const clock_source &clock;
    vm_id vm;
    text_keeper keeper;
    fetch_from_service watch{}; // call 0: none
    configuration_source source = configuration_source::Service;
    bool sawStale = false;
};

} // namespace

int main()
{
    claims shown;
    manual_clock clock;
    node first{clock, vm_id{"vm-1"}, makeKeeper(clock, "vm-1")};
    node second{clock, vm_id{"vm-2"}, makeKeeper(clock, "vm-2")};
    const std::vector<member> members{{makeVm("vm-1"), 1, member_state::Alive, clock.now(), true},
                                      {makeVm("vm-2"), 2, member_state::Alive, clock.now(), true}};
    first.keeper.setMembers(members); // in a daemon they come from a membership
    second.keeper.setMembers(members);
    const auto run = [&](const fake_service &service) {
        for (int i = 0; i < 100; ++i, clock.advance(50ms)) { // five seconds
            first.step(service, second);
            second.step(service, first);
        }
    };
    run({12, "good morning"});
    shown.check(first.version() == 12 && second.version() == 12, "both have version 12");
    shown.check(first.keeper.readyToServe() && second.keeper.readyToServe(), "both may serve");
    shown.check(first.source != second.source, "one from the service, the other from its peer");
    shown.check(!first.sawStale && !second.sawStale, "the service was up to date until now");
    run({}); // it goes down, and comes back from an old backup
    run({11, "hello"});
    shown.check(first.sawStale || second.sawStale, "now it offered version 11");
    shown.check(first.version() == 12 && second.version() == 12, "and refused: both still have 12");
    return shown.exitCode();
}
