#include "standins/prover.h"

#include "standins/json_http.h"

#include <csignal>
#include <fstream>
#include <iostream>

namespace orchidlead::standins {

namespace {

constexpr milliseconds ReadyPatience{20000};
constexpr milliseconds Tick{50};
constexpr milliseconds Settling{12000}; // for what is still open when the schedule is over
constexpr milliseconds FinishPatience{30000};
constexpr milliseconds StopPatience{3000};
// A node that was disturbed may need this long to hear what it missed.
constexpr milliseconds Recovery{4000};
constexpr std::uint32_t HurryOneIn = 3;

constexpr const char *ConfigurationNode = "configuration-service";
constexpr const char *VmListNode = "vm-list";
constexpr const char *CutDataCenter = "south-1";
constexpr const char *InvalidConfiguration = "format: 1\nservices: none\n...\n";

// The balancer of the load callers asks five times a second, so a second's notice is enough.
constexpr const char *MoreSettings = "stop: {notice: 1s, drain: 12s}\n";

demo_size proverSize()
{
    return {{{"north-1", "north"}, {"south-1", "south"}}, 3, 2};
}

std::string faultJson(fault_kind kind)
{
    return R"({"fault":")" + std::string(toName(kind)) + R"(","factor":5,"delay_ms":1500})";
}

} // namespace

prover::prover(net::event_loop &loop, const prover_options &options)
    : m_loop(loop)
    , m_options(options)
    , m_client(net::http_client::create(loop))
    , m_driver(loop, *m_client)
    , m_fleet(m_driver, makeDemoLayout(proverSize()), makeOptions(options))
    , m_sampler(loop, *m_client, m_clock)
{ }

fleet_options prover::makeOptions(const prover_options &options)
{
    return {options.build, options.daemon, makeWorkDirectory("orchidlead-prove"),
            demoTemplatesAndCustomers(proverSize()), MoreSettings};
}

result<void, fleet_error> prover::start()
{
    BOOST_OUTCOME_TRYV(m_fleet.startStandIns(m_options.seed));
    BOOST_OUTCOME_TRYV(placeRelay());
    if (!m_fleet.publishConfiguration() || !m_fleet.publishVms())
        return fleet_error{"nothing can be published"};
    std::vector<std::string> names;
    for (const fleet_vm &vm : m_fleet.layout().vms) {
        BOOST_OUTCOME_TRYV(startVm(vm.name));
        names.push_back(vm.name);
    }
    return m_fleet.awaitReady(names, ReadyPatience);
}

result<void, fleet_error> prover::placeRelay()
{
    std::vector<relay_node> nodes{{ConfigurationNode, m_fleet.platform().configuration, {}},
                                  {VmListNode, m_fleet.platform().vms, {}}};
    for (const fleet_vm &vm : m_fleet.layout().vms)
        nodes.push_back({vm.name, vm.peerListen, {}});
    auto relay = peer_relay::create(std::move(nodes));
    if (!relay)
        return fleet_error{relay.error().what};
    m_relay = std::move(relay.value());
    m_fleet.setPlatform({m_relay->listed(ConfigurationNode), m_relay->listed(VmListNode)});
    for (fleet_vm &vm : m_fleet.layout().vms)
        vm.peer = m_relay->listed(vm.name);
    return success();
}

result<void, fleet_error> prover::startVm(const std::string &name)
{
    const auto pid = m_fleet.startVm(name);
    if (!pid)
        return pid.error();
    m_relay->setProcess(name, pid.value());
    return success();
}

std::vector<disruption> prover::drawDisruptions() const
{
    const fleet_layout layout = makeDemoLayout(proverSize());
    disruption_targets targets;
    for (const fleet_data_center &one : layout.dataCenters) {
        std::vector<std::string> &vms = targets.vmsOfDataCenters.emplace_back();
        for (const fleet_vm &vm : layout.vms) {
            if (vm.dataCenter == one.name)
                vms.push_back(vm.name);
        }
    }
    targets.dataCenters = {CutDataCenter};
    for (const fleet_service &service : layout.services) {
        for (const fleet_server &server : service.servers)
            targets.servers.push_back(server.name);
    }
    return drawSchedule(targets, m_options.length, m_options.seed);
}

result<void, fleet_error> prover::run()
{
    m_schedule = m_options.schedule ? *m_options.schedule : drawDisruptions();
    m_driver.runFor(m_options.warmUp);
    const workload work = makeDemoWorkload(m_options.requestsPerSecond, request_identity::Key);
    entry_pool entries(m_loop, *m_client, m_fleet.entries());
    load_caller_options behaviour;
    behaviour.hurryOneIn = HurryOneIn;
    behaviour.sendAgainAfterAnswer = true;
    load_caller caller({m_loop, *m_client, m_clock, entries}, work, behaviour);
    m_sampler.start(m_fleet.layout().vms);
    const auto allReady = [&] { return entries.ready() == m_fleet.entries().size(); };
    if (!m_driver.runUntil(allReady, ReadyPatience))
        return fleet_error{"the daemons do not stay ready"};
    bool finished = false;
    caller.start(planArrivals(work, {m_options.length + Recovery, 0}, m_options.seed),
                 [&finished] { finished = true; });
    const steady_time start = m_clock.now();
    std::size_t next = 0;
    std::vector<disruption> open;
    while (m_clock.now() < start + m_options.length || !open.empty() || !m_replacements.empty()) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_clock.now() - start);
        if (elapsed > m_options.length + Settling + Settling)
            return fleet_error{"the fleet does not settle"};
        for (; next < m_schedule.size() && m_schedule[next].at <= elapsed; ++next) {
            disrupt(m_schedule[next]);
            open.push_back(m_schedule[next]);
        }
        std::erase_if(open, [&](const disruption &one) {
            const bool over = one.at + one.length <= elapsed;
            if (over)
                endDisruption(one);
            return over;
        });
        watchReplacements();
        m_driver.runFor(Tick);
    }
    if (!m_driver.runUntil([&finished] { return finished; }, FinishPatience))
        return fleet_error{std::to_string(caller.open()) + " requests have no end"};
    for (const fleet_vm &vm : m_fleet.layout().vms)
        m_evidence.dataCenters[vm.name] = vm.dataCenter;
    m_evidence.requests = caller.records();
    m_evidence.versions = m_sampler.samples();
    const auto runs = m_fleet.readRuns();
    if (!runs)
        return fleet_error{"the backend servers' history can't be read whole"};
    m_evidence.runs = *runs;
    writeHistories();
    if (!m_failure.empty())
        return fleet_error{"a disruption failed: " + m_failure};
    return success();
}

// For people who look into a breach.
void prover::writeHistories()
{
    std::ofstream requests(logDirectory() + "/requests.jsonl");
    for (const caller_record &one : m_evidence.requests)
        requests << toCompactJson(toJson(one)) << '\n';
    std::ofstream runs(logDirectory() + "/runs.jsonl");
    for (const run_record &one : m_evidence.runs)
        runs << toCompactJson(toJson(one)) << '\n';
}

void prover::disrupt(const disruption &one)
{
    switch (one.kind) {
    case disruption_kind::KillVm:
        return kill(one.target);
    case disruption_kind::FreezeVm:
        return freeze(one.target);
    case disruption_kind::StopVm:
        return beginPlannedStop(one.target);
    case disruption_kind::CutDataCenter:
        return cut(one.target);
    case disruption_kind::PlatformDown:
        return setPlatformFaults("", faultJson(fault_kind::Down));
    case disruption_kind::PlatformHangs:
        return setPlatformFaults("", faultJson(fault_kind::Hang));
    case disruption_kind::ConfigurationStale:
        return setPlatformFaults("configuration", R"({"fault":"stale","factor":2})");
    case disruption_kind::Publish:
    case disruption_kind::PublishRacing:
    case disruption_kind::PublishInvalid:
        return publish(one.kind);
    case disruption_kind::ServerLeaves:
        return letServerLeave(one.target);
    case disruption_kind::ServerFails:
        return setServerFaults(one.target, faultJson(one.serverFault));
    }
}

void prover::endDisruption(const disruption &one)
{
    switch (one.kind) {
    case disruption_kind::KillVm:
        return replace(one.target);
    case disruption_kind::FreezeVm:
        return thaw(one.target);
    case disruption_kind::CutDataCenter:
        return heal(one.target);
    case disruption_kind::PlatformDown:
    case disruption_kind::PlatformHangs:
        return setPlatformFaults("", "");
    case disruption_kind::ConfigurationStale:
        return setPlatformFaults("configuration", "");
    case disruption_kind::ServerLeaves:
        return letServerReturn(one.target);
    case disruption_kind::ServerFails:
        return setServerFaults(one.target, "");
    case disruption_kind::StopVm: // ends by itself, see watchReplacements
    case disruption_kind::Publish:
    case disruption_kind::PublishRacing:
    case disruption_kind::PublishInvalid:
        return;
    }
}

void prover::note(bool done, const std::string &what)
{
    if (done)
        return;
    std::cout << "failed: " << what << std::endl;
    m_failure = what;
}

// Open at its end until the VM is well again.
void prover::disturb(const std::string &vm, steady_time from)
{
    const std::string entry = toText(m_fleet.findVm(vm)->caller);
    const disturbance one{from, steady_time::max()};
    m_evidence.disturbedVms[vm].push_back(one);
    m_evidence.disturbedEntries[entry].push_back(one);
}

void prover::kill(const std::string &vm)
{
    note(m_fleet.processes().signal(vm, SIGKILL), "kill " + vm);
    disturb(vm, m_clock.now());
    m_replacements.push_back({vm, m_clock.now(), false, false});
}

void prover::freeze(const std::string &vm)
{
    note(m_fleet.processes().signal(vm, SIGSTOP), "freeze " + vm);
    disturb(vm, m_clock.now());
    m_frozen[vm] = m_clock.now();
}

void prover::thaw(const std::string &vm)
{
    note(m_fleet.processes().signal(vm, SIGCONT), "thaw " + vm);
    const std::string entry = toText(m_fleet.findVm(vm)->caller);
    m_evidence.disturbedVms[vm].back().to = m_clock.now() + Recovery;
    m_evidence.isolatedVms[vm].push_back({m_frozen[vm], m_clock.now() + Recovery});
    m_evidence.disturbedEntries[entry].back().to = m_clock.now() + milliseconds{500};
    m_frozen.erase(vm);
}

void prover::beginPlannedStop(const std::string &vm)
{
    note(m_fleet.processes().signal(vm, SIGTERM), "stop " + vm);
    const std::string entry = toText(m_fleet.findVm(vm)->caller);
    m_evidence.plannedStops[entry].push_back({m_clock.now(), steady_time::max()});
    m_replacements.push_back({vm, m_clock.now(), true, false});
}

void prover::replace(const std::string &vm)
{
    const auto started = startVm(vm);
    note(started.has_value(), "start " + vm);
    for (replacement &one : m_replacements)
        one.started = one.started || one.vm == vm;
}

// A planned stop is replaced once its process has ended; every replacement is watched until it is
// ready.
void prover::watchReplacements()
{
    std::vector<std::string> ended;
    for (const replacement &one : m_replacements) {
        if (one.planned && !one.started && !m_fleet.processes().running(one.vm))
            ended.push_back(one.vm);
    }
    for (const std::string &vm : ended) {
        m_evidence.plannedStops[toText(m_fleet.findVm(vm)->caller)].back().to = m_clock.now();
        disturb(vm, m_clock.now());
        replace(vm);
    }
    std::erase_if(m_replacements, [this](const replacement &one) {
        if (!one.started)
            return false;
        const fleet_vm *vm = m_fleet.findVm(one.vm);
        if (!m_driver.call(vm->caller, "GET", "/readyz", "", milliseconds{200}))
            return false;
        m_evidence.disturbedVms[one.vm].back().to = m_clock.now();
        m_evidence.disturbedEntries[toText(vm->caller)].back().to = m_clock.now();
        return true;
    });
}

void prover::cut(const std::string &dataCenter)
{
    for (const fleet_vm &inside : m_fleet.layout().vms) {
        if (inside.dataCenter != dataCenter)
            continue;
        m_relay->cut(inside.name, ConfigurationNode);
        m_relay->cut(inside.name, VmListNode);
        for (const fleet_vm &outside : m_fleet.layout().vms) {
            if (outside.dataCenter != dataCenter)
                m_relay->cut(inside.name, outside.name);
        }
    }
    m_cutSince[dataCenter] = m_clock.now();
}

// The entry VMs of both sides stay undisturbed: they have to answer every caller truthfully. Only
// news from outside may be late.
void prover::heal(const std::string &dataCenter)
{
    m_relay->heal();
    const disturbance cutOff{m_cutSince[dataCenter], m_clock.now() + Recovery};
    for (const fleet_vm &vm : m_fleet.layout().vms) {
        if (vm.dataCenter != dataCenter)
            continue;
        std::vector<disturbance> &disturbed = m_evidence.disturbedVms[vm.name];
        disturbed.insert(disturbed.begin(), cutOff); // the last one may still be open
        m_evidence.isolatedVms[vm.name].push_back(cutOff);
    }
}

void prover::publish(disruption_kind kind)
{
    if (kind == disruption_kind::PublishInvalid) {
        note(m_fleet.publishText(InvalidConfiguration), "publish an invalid configuration");
        return;
    }
    note(m_fleet.publishConfiguration().has_value(), "publish");
    if (kind == disruption_kind::PublishRacing)
        note(m_fleet.publishConfiguration().has_value(), "publish again");
}

void prover::letServerLeave(const std::string &server)
{
    m_evidence.leaving.push_back({server, m_clock.now(), steady_time::max(), {}});
    m_serverFaults[server] += faultJson(fault_kind::Leaving);
    note(m_fleet.setServerFaults(server, m_serverFaults[server]), "let " + server + " leave");
}

void prover::letServerReturn(const std::string &server)
{
    m_evidence.leaving.back().until = m_clock.now();
    setServerFaults(server, "");
}

void prover::setServerFaults(const std::string &server, const std::string &faults)
{
    const bool leaves = m_serverFaults[server].find("leaving") != std::string::npos;
    if (leaves && !faults.empty())
        return; // one that leaves is left alone
    m_serverFaults[server] = faults;
    note(m_fleet.setServerFaults(server, faults), "faults of " + server);
}

void prover::setPlatformFaults(const std::string &part, const std::string &faults)
{
    note(m_fleet.setPlatformFaults(part, faults), "faults of the platform");
}

void prover::stop()
{
    m_fleet.processes().stopAll(StopPatience);
}

} // namespace orchidlead::standins
