#include "bench/experiment.h"

#include "standins/entry_pool.h"
#include "standins/fleet_runner.h"
#include "standins/load_caller.h"
#include "standins/peer_relay.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <memory>

namespace orchidlead::bench {

namespace {

using namespace standins;

constexpr milliseconds ReadyPatience{20000};
constexpr milliseconds EndPatience{20000};
constexpr milliseconds StopPatience{2000};
constexpr const char *Product = "product";
constexpr const char *ConfigurationNode = "configuration-service";
constexpr const char *VmListNode = "vm-list";

/// The parts of one run, torn down in the reverse order.
class running_experiment
{
public:
    running_experiment(net::event_loop &loop, const experiment &setup, user_fleet fleet,
                       const experiment_places &places)
        : m_loop(loop)
        , m_setup(setup)
        , m_work(scaled(std::move(fleet.work), setup.what))
        , m_client(net::http_client::create(loop))
        , m_driver(loop, *m_client)
        , m_directory(makeWorkDirectory("orchidlead-bench"))
        , m_fleet(m_driver, withPorts(std::move(fleet.layout)),
                  {places.build, daemonOf(setup.policy, places), m_directory,
                   fleet.templatesAndCustomers, ""})
    { }

    ~running_experiment()
    {
        m_fleet.processes().stopAll(StopPatience);
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }

    running_experiment(const running_experiment &) = delete;
    running_experiment &operator=(const running_experiment &) = delete;

    result<void, fleet_error> start()
    {
        BOOST_OUTCOME_TRYV(m_fleet.startStandIns(m_setup.seed));
        BOOST_OUTCOME_TRYV(placeRelay());
        if (!m_fleet.publishConfiguration() || !m_fleet.publishVms())
            return failure(fleet_error{"nothing can be published"});
        std::vector<std::string> names;
        for (const fleet_vm &vm : m_fleet.layout().vms) {
            const auto pid = m_fleet.startVm(vm.name);
            if (!pid)
                return failure(pid.error());
            if (m_relay)
                m_relay->setProcess(vm.name, pid.value());
            names.push_back(vm.name);
        }
        return m_fleet.awaitReady(names, ReadyPatience);
    }

    result<experiment_record, fleet_error> sendRequests()
    {
        entry_pool entries(m_loop, *m_client, m_fleet.entries());
        const auto allReady = [&] { return entries.ready() == m_fleet.entries().size(); };
        if (!m_driver.runUntil(allReady, ReadyPatience))
            return failure(fleet_error{"the daemons don't stay ready"});
        load_caller caller({m_loop, *m_client, m_clock, entries}, m_work, {});
        bool finished = false;
        const steady_time startedAt = m_clock.now();
        caller.start(planArrivals(m_work, {m_setup.what.length, 0}, m_setup.seed),
                     [&finished] { finished = true; });
        disturb(startedAt);
        const auto left = m_setup.what.length + EndPatience;
        if (!m_driver.runUntil([&finished] { return finished; }, left))
            return failure(fleet_error{std::to_string(caller.open()) + " requests have no end"});
        auto runs = m_fleet.readRuns();
        if (!runs)
            return failure(fleet_error{"the backend servers' history can't be read"});
        return experiment_record{m_setup, startedAt, caller.records(), std::move(*runs)};
    }

private:
    static workload scaled(workload work, const scenario &what)
    {
        for (work_class &kind : work.classes)
            kind.rate *= what.load * (isLargeCustomer(kind.customer) ? what.largeFactor : 1.0);
        std::erase_if(work.classes, [](const work_class &kind) { return kind.rate <= 0; });
        work.bursts = what.bursts;
        return work;
    }

    static fleet_layout withPorts(fleet_layout layout)
    {
        assignPorts(layout);
        return layout;
    }

    static std::string daemonOf(const std::string &policy, const experiment_places &places)
    {
        const std::string product = places.build + "/orchidleadd";
        return policy == Product ? product : places.build + "/bench/orchidleadd-" + policy;
    }

    /// Puts the relay between the VMs and before the platform where the scenario cuts links.
    result<void, fleet_error> placeRelay()
    {
        const auto cuts = [](const disturbance_step &step) {
            return step.kind == disturbance_kind::IsolateDataCenter;
        };
        const auto &steps = m_setup.what.steps;
        if (std::none_of(steps.begin(), steps.end(), cuts))
            return success();
        std::vector<relay_node> nodes{{ConfigurationNode, m_fleet.platform().configuration, {}},
                                      {VmListNode, m_fleet.platform().vms, {}}};
        for (const fleet_vm &vm : m_fleet.layout().vms)
            nodes.push_back({vm.name, vm.peerListen, {}});
        auto relay = peer_relay::create(std::move(nodes));
        if (!relay)
            return failure(fleet_error{relay.error().what});
        m_relay = std::move(relay).value();
        m_fleet.setPlatform({m_relay->listed(ConfigurationNode), m_relay->listed(VmListNode)});
        for (fleet_vm &vm : m_fleet.layout().vms)
            vm.peer = m_relay->listed(vm.name);
        return success();
    }

    void disturb(steady_time startedAt)
    {
        for (const auto &step : m_setup.what.steps) {
            const auto wait = startedAt + step.at - m_clock.now();
            if (wait.count() > 0)
                m_driver.runFor(std::chrono::duration_cast<milliseconds>(wait));
            carryOut(step);
        }
    }

    void carryOut(const disturbance_step &step)
    {
        switch (step.kind) {
        case disturbance_kind::ServerFault:
        case disturbance_kind::ServerWell:
            setFaults(step);
            break;
        case disturbance_kind::KillVm:
            m_fleet.processes().signal(step.target, SIGKILL);
            break;
        case disturbance_kind::PlatformFault:
        case disturbance_kind::PlatformWell:
            static_cast<void>(m_fleet.setPlatformFaults("", step.fault));
            break;
        case disturbance_kind::IsolateDataCenter:
            isolate(m_fleet.layout().dataCenters[std::stoul(step.target)].name);
            break;
        case disturbance_kind::HealNetwork:
            m_relay->heal();
            break;
        }
    }

    void setFaults(const disturbance_step &step)
    {
        const bool many = step.target.ends_with('-');
        for (const auto &service : m_fleet.layout().services) {
            for (const auto &server : service.servers) {
                const bool hit =
                    many ? server.name.starts_with(step.target) : server.name == step.target;
                if (hit)
                    static_cast<void>(m_fleet.setServerFaults(server.name, step.fault));
            }
        }
    }

    void isolate(const std::string &dataCenter)
    {
        const auto &vms = m_fleet.layout().vms;
        for (const auto &inside : vms) {
            if (inside.dataCenter != dataCenter)
                continue;
            m_relay->cut(inside.name, ConfigurationNode);
            m_relay->cut(inside.name, VmListNode);
            for (const auto &outside : vms) {
                if (outside.dataCenter != dataCenter)
                    m_relay->cut(inside.name, outside.name);
            }
        }
    }

    net::event_loop &m_loop;
    experiment m_setup;
    workload m_work;
    system_clock_source m_clock;
    std::unique_ptr<net::http_client> m_client;
    loop_driver m_driver;
    std::string m_directory;
    std::unique_ptr<peer_relay> m_relay;
    fleet_runner m_fleet;
};

} // namespace

result<experiment_record, experiment_error>
runExperiment(net::event_loop &loop, const experiment &setup, const experiment_places &places)
{
    auto fleet = makeUserFleet(setup.user, places.workloads);
    if (!fleet)
        return failure(experiment_error{fleet.error().what});
    running_experiment running(loop, setup, std::move(fleet).value(), places);
    if (const auto started = running.start(); !started)
        return failure(experiment_error{started.error().what});
    auto record = running.sendRequests();
    if (!record)
        return failure(experiment_error{record.error().what});
    return std::move(record).value();
}

} // namespace orchidlead::bench
