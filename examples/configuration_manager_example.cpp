// Two nodes with the same published configuration: one reads it from the service, the other fetches
// it from that peer. Neither returns to an older version when the service does.

#include "claims.h"

#include <orchidlead/configuration_manager.h>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

using text_manager = configuration_manager<std::string>; // a real program uses its own type
using text_actions = text_manager::actions;

/// Stands in for the configuration service.
struct fake_service
{
    std::uint64_t version = 0; ///< 0: the service is down
    std::string content;
};

listed_vm makeVm(const std::string &name)
{
    return {vm_id{name}, data_center_id{"dc-1"}, region_id{"r-1"}, {"127.0.0.1", 1}, false};
}

result<text_manager::configuration_ptr, std::vector<std::string>> check(std::uint64_t,
                                                                        std::string_view content)
{
    return std::make_shared<const std::string>(content); // a real one parses and may reject
}

text_manager makeManager(const clock_source &clock, const std::string &name)
{
    return {clock, {.self = makeVm(name), .readersPerDataCenter = 1}, check};
}

/// Executes the actions of its configuration manager; calls the peer directly instead of over a
/// network.
struct node
{
    [[nodiscard]] std::uint64_t version() const { return manager.stamp().version; }

    /// Runs one step; a daemon does so every 50 ms.
    void step(const fake_service &service, const node &peer)
    {
        text_actions actions;
        manager.tick(actions);
        manager.onPeerVersion(peer.vm, peer.manager.stamp(), std::nullopt, actions); // by gossip
        if (watch.call != 0 && (service.version == 0 || service.version > watch.after))
            answer(std::exchange(watch, {}), service, actions);
        for (std::size_t i = 0; i < actions.size(); ++i) // an action may append others
            execute(text_manager::action{actions[i]}, service, peer, actions);
    }

    void answer(const fetch_from_service &call, const fake_service &service, text_actions &out)
    {
        if (service.version == 0)
            manager.onConfigurationServiceFailed(call.call, out);
        else if (call.wait == 0ms || service.version > call.after)
            manager.onConfigurationServiceRead(call.call, service.version, service.content, out);
        else
            watch = call; // a long poll, answered once a newer version exists
    }

    void execute(const text_manager::action &action, const fake_service &service, const node &peer,
                 text_actions &out)
    {
        if (const auto *call = std::get_if<fetch_from_service>(&action))
            answer(*call, service, out);
        if (std::holds_alternative<fetch_from_peer>(action))
            manager.onPeerContent(peer.vm, peer.version(), peer.manager.content(), out);
        if (std::holds_alternative<probe_peers>(action))
            manager.onPeerVersion(peer.vm, peer.manager.stamp(), clock.now(), out);
        if (const auto *adopted = std::get_if<adopt_configuration<std::string>>(&action)) {
            std::cout << vm.value << " adopts a configuration from the " << toName(adopted->source)
                      << '\n';
            source = adopted->source;
        }
        if (const auto *report = std::get_if<configuration_event_report>(&action))
            serviceWasStale |= report->event == configuration_event::StaleService;
    }

    const clock_source &clock;
    vm_id vm;
    text_manager manager;
    fetch_from_service watch{}; // call 0: none
    configuration_source source = configuration_source::Service;
    bool serviceWasStale = false;
};

} // namespace

int main()
{
    claims shown;
    manual_clock clock;
    node first{clock, vm_id{"vm-1"}, makeManager(clock, "vm-1")};
    node second{clock, vm_id{"vm-2"}, makeManager(clock, "vm-2")};
    const std::vector<member> members{{makeVm("vm-1"), 1, member_state::Alive, clock.now(), true},
                                      {makeVm("vm-2"), 2, member_state::Alive, clock.now(), true}};
    first.manager.setMembers(members); // in a daemon the membership provides them
    second.manager.setMembers(members);
    const auto run = [&](const fake_service &service) {
        for (int i = 0; i < 100; ++i, clock.advance(50ms)) { // five seconds
            first.step(service, second);
            second.step(service, first);
        }
    };
    run({12, "good morning"});
    shown.check(first.version() == 12 && second.version() == 12, "both nodes have version 12");
    shown.check(first.manager.readyToServe() && second.manager.readyToServe(),
                "both nodes may serve");
    shown.check(first.source != second.source,
                "one got it from the service, the other from its peer");
    shown.check(!first.serviceWasStale && !second.serviceWasStale,
                "the service was not stale so far");
    run({}); // the service stops and is restored from an old backup
    run({11, "hello"});
    shown.check(first.serviceWasStale || second.serviceWasStale,
                "the restored service offered version 11");
    shown.check(first.version() == 12 && second.version() == 12,
                "version 11 was ignored: both nodes still have 12");
    return shown.exitCode();
}
