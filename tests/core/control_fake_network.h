#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/configuration_manager.h>
#include <orchidlead/membership.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// An in-memory network of control planes, with one clock and a fake configuration service.
namespace orchidlead::tests {

struct text_configuration
{
    std::string text;
};

inline result<std::shared_ptr<const text_configuration>, std::vector<std::string>>
parseText(std::uint64_t, std::string_view content)
{
    if (content.starts_with("invalid"))
        return std::vector<std::string>{"starts with invalid"};
    return std::make_shared<const text_configuration>(text_configuration{std::string(content)});
}

/// Accepts every offered version, as a plain cache of the service would, to show what the guards
/// prevent.
struct unchecked_policy
{
    static bool supersedes(const configuration_stamp &offered, const configuration_stamp &current)
    {
        return offered != current;
    }
    static constexpr bool ConfirmBeforeServing = false;
};

/// Faults that the network applies to each datagram.
struct network_faults
{
    double loss = 0;
    double duplication = 0;
    milliseconds minDelay{1};
    milliseconds maxDelay{3}; ///< random delays reorder datagrams
};

/// Runs the membership and the configuration manager of many nodes against each other.
template <class Policy = monotonic_version_policy>
class control_fake_network
{
public:
    using manager_type = configuration_manager<text_configuration, Policy>;

    struct node
    {
        listed_vm vm;
        orchidlead::incarnation incarnation = 0;
        bool running = false;
        bool paused = false;
        std::unique_ptr<membership> members;
        std::unique_ptr<manager_type> manager;
        std::vector<std::pair<socket_address, std::string>> buffered; ///< while paused
        std::uint64_t pausesNoticed = 0;
        std::uint64_t deathsSeen = 0; ///< members that became dead
        std::uint64_t changesSeen = 0;
        std::uint64_t contentsServed = 0; ///< to peers
        bool supersededSeen = false;
        configuration_stamp highest; ///< in force at any time in this incarnation
        bool regressed = false;
    };

    explicit control_fake_network(std::uint64_t seed)
        : m_random(seed)
    { }

    std::size_t add(const std::string &vm, const std::string &dataCenter,
                    const std::string &region = "r-1")
    {
        const auto port = static_cast<std::uint16_t>(1000 + m_nodes.size());
        node added;
        added.vm = {
            vm_id{vm}, data_center_id{dataCenter}, region_id{region}, {"10.0.0.1", port}, false};
        m_byPort[port] = m_nodes.size();
        m_nodes.push_back(std::move(added));
        return m_nodes.size() - 1;
    }

    /// Adds and starts `count` nodes, spread over `dataCenters` data centres.
    void addFleet(std::size_t count, std::size_t dataCenters)
    {
        for (std::size_t i = 0; i < count; ++i)
            add("vm-" + std::to_string(i), "dc-" + std::to_string(i % dataCenters));
        for (std::size_t i = 0; i < count; ++i)
            start(i);
    }

    /// Starts a new process on the VM.
    void start(std::size_t index)
    {
        node &started = m_nodes[index];
        started.incarnation = ++m_lastIncarnation * 1000003;
        started.running = true;
        started.paused = false;
        started.buffered.clear();
        started.highest = {};
        started.supersededSeen = false;
        membership_options options;
        options.self = started.vm;
        options.incarnation = started.incarnation;
        options.seed = m_random();
        started.members = std::make_unique<membership>(clock, options);
        configuration_manager_options managerOptions;
        managerOptions.self = started.vm;
        managerOptions.seed = m_random();
        started.manager = std::make_unique<manager_type>(clock, managerOptions, parseText);
        if (platformReaches(index))
            sendList(index);
        scheduleTick(index, milliseconds{m_random() % TickTime.count()});
    }

    /// Ends the process without a stop message.
    void kill(std::size_t index) { m_nodes[index].running = false; }

    void pause(std::size_t index) { m_nodes[index].paused = true; }

    /// Resumes a paused process: it receives its buffered datagrams before its timers run.
    void wake(std::size_t index)
    {
        node &resumed = m_nodes[index];
        resumed.paused = false;
        auto buffered = std::move(resumed.buffered);
        resumed.buffered.clear();
        for (const auto &[from, bytes] : buffered)
            receive(index, from, bytes);
        scheduleTick(index, milliseconds{0});
    }

    /// Partitions the network into groups of data centres; those not named are in group 0.
    void cut(std::map<std::string, int> groups) { m_groups = std::move(groups); }
    void heal() { m_groups.clear(); }
    /// Disconnects groups of data centres from the platform.
    void cutPlatform(std::set<int> groups) { m_withoutPlatform = std::move(groups); }

    /// Publishes a version and answers the watches that wait for it.
    void publish(std::uint64_t version, const std::string &content)
    {
        m_version = version;
        m_content = content;
        answerWatches();
    }
    void setServiceUp(bool up) { m_serviceUp = up; }
    /// Sends all nodes that the platform reaches a list without the given ones.
    void listWithout(const std::set<std::size_t> &unlisted)
    {
        m_unlisted = unlisted;
        ++m_listVersion;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].running && platformReaches(i))
                sendList(i);
        }
    }

    void run(std::chrono::nanoseconds time)
    {
        const auto end = clock.now() + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            if (event.key() > clock.now())
                clock.advance(event.key() - clock.now());
            event.mapped()();
            ++m_eventCount;
        }
        clock.advance(end - clock.now());
    }

    /// Runs until `done` holds or for `bound`, and returns the elapsed time.
    template <class Condition>
    milliseconds runUntil(Condition done, milliseconds bound, milliseconds step = milliseconds{50})
    {
        milliseconds taken{0};
        while (!done() && taken < bound) {
            run(step);
            taken += step;
        }
        return taken;
    }

    [[nodiscard]] node &at(std::size_t index) { return m_nodes[index]; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] std::uint64_t serviceCalls() const { return m_serviceCalls; }
    [[nodiscard]] std::uint64_t events() const { return m_eventCount; }

    [[nodiscard]] member_state seenBy(std::size_t watcher, std::size_t watched)
    {
        const auto found = at(watcher).members->find(at(watched).vm.vm);
        return found ? found->state : member_state::Dead;
    }

    /// Whether each running node of `group` regards the running nodes of the group as alive and all
    /// other nodes as dead.
    [[nodiscard]] bool agreed(int group = 0)
    {
        for (std::size_t i = 0; i < size(); ++i) {
            if (!active(i) || groupOf(i) != group)
                continue;
            for (std::size_t j = 0; j < size(); ++j) {
                const bool reachable = active(j) && groupOf(j) == group;
                const auto state = seenBy(i, j);
                if (state != (reachable ? member_state::Alive : member_state::Dead))
                    return false;
            }
        }
        return true;
    }

    /// Whether the version is in force on each running node of `group`.
    [[nodiscard]] bool inForce(std::uint64_t version, int group = 0)
    {
        for (std::size_t i = 0; i < size(); ++i) {
            const bool counts = active(i) && groupOf(i) == group;
            if (counts && at(i).manager->stamp().version != version)
                return false;
        }
        return true;
    }

    [[nodiscard]] bool active(std::size_t i) { return at(i).running && !at(i).paused; }
    [[nodiscard]] int groupOf(std::size_t i)
    {
        const auto found = m_groups.find(at(i).vm.dataCenter.value);
        return found == m_groups.end() ? 0 : found->second;
    }

    manual_clock clock;
    network_faults faults;

private:
    static constexpr milliseconds TickTime{100};
    static constexpr std::size_t SocketBuffer = 256;

    struct watch
    {
        std::size_t index = 0;
        orchidlead::incarnation incarnation = 0;
        fetch_from_service call;
    };

    void schedule(std::chrono::nanoseconds after, std::function<void()> event)
    {
        m_events.emplace(clock.now() + after, std::move(event));
    }

    /// Runs `event` after a time, unless the process has been replaced or killed by then.
    void scheduleFor(std::size_t index, std::chrono::nanoseconds after, std::function<void()> event)
    {
        const auto incarnation = at(index).incarnation;
        schedule(after, [this, index, incarnation, event = std::move(event)] {
            if (at(index).running && at(index).incarnation == incarnation)
                event();
        });
    }

    void scheduleTick(std::size_t index, milliseconds after)
    {
        scheduleFor(index, after, [this, index] {
            if (at(index).paused)
                return;
            tick(index);
            scheduleTick(index, TickTime);
        });
    }

    void tick(std::size_t index)
    {
        membership_actions out;
        at(index).members->tick(out);
        carryOut(index, out);
        typename manager_type::actions managerActions;
        at(index).manager->tick(managerActions);
        carryOut(index, managerActions);
    }

    void sendList(std::size_t index)
    {
        std::vector<listed_vm> vms;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_unlisted.contains(i))
                vms.push_back(m_nodes[i].vm);
        }
        membership_actions out;
        at(index).members->setVmList(m_listVersion, vms, out);
        carryOut(index, out);
    }

    void receive(std::size_t index, const socket_address &from, const std::string &bytes)
    {
        node &receiver = at(index);
        if (receiver.paused) {
            if (receiver.buffered.size() < SocketBuffer)
                receiver.buffered.emplace_back(from, bytes);
            return;
        }
        membership_actions out;
        receiver.members->onDatagram(from, bytes, out);
        carryOut(index, out);
    }

    void carryOut(std::size_t index, const membership_actions &actions)
    {
        bool changed = false;
        for (const auto &action : actions) {
            changed = changed || std::holds_alternative<member_changed>(action)
                || std::holds_alternative<member_removed>(action);
        }
        if (changed)
            at(index).manager->setMembers(at(index).members->members());
        for (const auto &action : actions)
            std::visit([this, index](const auto &one) { this->handle(index, one); }, action);
    }

    void handle(std::size_t index, const gossip_datagram &datagram)
    {
        const auto found = m_byPort.find(datagram.to.port);
        if (found == m_byPort.end() || groupOf(index) != groupOf(found->second))
            return;
        deliver(index, found->second, datagram.bytes);
        if (chance(faults.duplication))
            deliver(index, found->second, datagram.bytes);
    }

    void deliver(std::size_t from, std::size_t to, const std::string &bytes)
    {
        if (chance(faults.loss) || !at(to).running)
            return;
        const auto address = at(from).vm.peerAddress;
        scheduleFor(to, delay(), [this, to, address, bytes] { receive(to, address, bytes); });
    }

    void handle(std::size_t index, const member_changed &change)
    {
        at(index).changesSeen++;
        if (change.now.state == member_state::Dead && change.before != member_state::Dead)
            at(index).deathsSeen++;
    }
    void handle(std::size_t, const member_removed &) { }
    void handle(std::size_t index, const superseded &) { at(index).supersededSeen = true; }

    void handle(std::size_t index, const paused &)
    {
        at(index).pausesNoticed++;
        typename manager_type::actions out;
        at(index).manager->onPaused(out);
        carryOut(index, out);
    }

    void handle(std::size_t index, const peer_report &report)
    {
        typename manager_type::actions out;
        at(index).manager->onPeerVersion(report.vm, report.configuration, report.probeSentAt, out);
        carryOut(index, out);
    }

    void carryOut(std::size_t index, const typename manager_type::actions &actions)
    {
        for (const auto &action : actions)
            std::visit([this, index](const auto &one) { this->handle(index, one); }, action);
    }

    void handle(std::size_t index, const adopt_configuration<text_configuration> &adopted)
    {
        node &here = at(index);
        here.regressed = here.regressed || adopted.stamp < here.highest;
        here.highest = std::max(here.highest, adopted.stamp);
        here.members->setConfiguration(adopted.stamp);
        if (!adopted.announce)
            return;
        membership_actions out;
        here.members->announce(out);
        carryOut(index, out);
    }
    void handle(std::size_t, const reject_configuration &) { }
    void handle(std::size_t, const configuration_event_report &) { }

    void handle(std::size_t index, const probe_peers &ask)
    {
        membership_actions out;
        at(index).members->probeNow(ask.count, out);
        carryOut(index, out);
    }

    void handle(std::size_t index, const fetch_from_peer &fetch)
    {
        for (std::size_t peer = 0; peer < size(); ++peer) {
            if (at(peer).vm.vm != fetch.vm)
                continue;
            const bool reachable = active(peer) && groupOf(peer) == groupOf(index);
            if (!reachable) // no answer: the manager's own time-out ends the read
                return;
            at(peer).contentsServed++;
            const auto version = at(peer).manager->stamp().version;
            const auto content = at(peer).manager->content();
            scheduleFor(index, delay() + delay(), [this, index, vm = fetch.vm, version, content] {
                withManager(index, [=](auto &manager, auto &out) {
                    manager.onPeerContent(vm, version, content, out);
                });
            });
        }
    }

    void handle(std::size_t index, const fetch_from_service &fetch)
    {
        ++m_serviceCalls;
        if (!m_serviceUp || !platformReaches(index)) {
            scheduleFor(index, milliseconds{5}, [this, index, fetch] {
                withManager(index, [=](auto &manager, auto &out) {
                    manager.onConfigurationServiceFailed(fetch.call, out);
                });
            });
            return;
        }
        if (fetch.wait > milliseconds{0} && m_version <= fetch.after) {
            m_watches.push_back({index, at(index).incarnation, fetch});
            schedule(fetch.wait, [this, call = fetch.call, index] { endWatch(index, call); });
            return;
        }
        answerRead(index, fetch);
    }

    void answerRead(std::size_t index, const fetch_from_service &fetch)
    {
        scheduleFor(index, delay(), [this, index, fetch, version = m_version, content = m_content] {
            withManager(index, [=](auto &manager, auto &out) {
                manager.onConfigurationServiceRead(fetch.call, version, content, out);
            });
        });
    }

    void answerWatches()
    {
        auto waiting = std::move(m_watches);
        m_watches.clear();
        for (const auto &one : waiting) {
            if (m_version <= one.call.after)
                m_watches.push_back(one);
            else if (at(one.index).incarnation == one.incarnation && platformReaches(one.index))
                answerRead(one.index, one.call);
        }
    }

    void endWatch(std::size_t index, service_call_id call)
    {
        const auto ended = std::erase_if(m_watches, [&](const watch &one) {
            return one.index == index && one.call.call == call
                && one.incarnation == at(index).incarnation;
        });
        if (ended == 0 || !at(index).running)
            return;
        withManager(index, [=](auto &manager, auto &out) {
            manager.onConfigurationServiceUnchanged(call, out);
        });
    }

    /// Passes an input to a node's manager, for a paused node after it has resumed.
    template <class Input>
    void withManager(std::size_t index, Input input)
    {
        if (at(index).paused) {
            scheduleFor(index, milliseconds{20},
                        [this, index, input] { withManager(index, input); });
            return;
        }
        membership_actions noticed;
        at(index).members->detectPause(noticed);
        carryOut(index, noticed);
        typename manager_type::actions out;
        input(*at(index).manager, out);
        carryOut(index, out);
    }

    [[nodiscard]] bool platformReaches(std::size_t index)
    {
        return !m_withoutPlatform.contains(groupOf(index));
    }
    bool chance(double probability)
    {
        return probability > 0
            && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    milliseconds delay()
    {
        std::uniform_int_distribution<std::int64_t> spread(faults.minDelay.count(),
                                                           faults.maxDelay.count());
        return milliseconds{spread(m_random)};
    }

    std::mt19937_64 m_random;
    std::vector<node> m_nodes;
    std::map<std::uint16_t, std::size_t> m_byPort;
    std::multimap<steady_time, std::function<void()>> m_events;
    std::map<std::string, int> m_groups;
    std::set<int> m_withoutPlatform;
    std::set<std::size_t> m_unlisted;
    std::uint64_t m_listVersion = 1;
    std::uint64_t m_version = 0;
    std::string m_content;
    bool m_serviceUp = true;
    std::vector<watch> m_watches;
    std::uint64_t m_serviceCalls = 0;
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_lastIncarnation = 0;
};

} // namespace orchidlead::tests
