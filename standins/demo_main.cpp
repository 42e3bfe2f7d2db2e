/// Runs a small fleet on this machine: sends requests of both kinds of users, kills one entry VM
/// and lets one backend server leave on the way, and checks all histories against each other.

#include "standins/caller_summary.h"
#include "standins/demo_fleet.h"
#include "standins/fleet_runner.h"
#include "standins/history_checker.h"
#include "standins/json_http.h"
#include "standins/load_caller.h"
#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, build, "build", "build directory");
ABSL_FLAG(std::uint64_t, requests, 300, "how many requests are sent");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals, sizes and service times");
ABSL_FLAG(bool, keep, false, "leave the fleet up until Ctrl-C");

namespace {

using namespace orchidlead;
using namespace orchidlead::standins;

constexpr double RequestsPerSecond = 25.0;
constexpr milliseconds ReadyPatience{15000};
constexpr milliseconds LoadPatience{40000};
constexpr milliseconds StopPatience{3000};
constexpr const char *KilledVm = "vm-3";
constexpr const char *LeavingServer = "encoder-2";

demo_size demoSize()
{
    return {{{"north-1", "north"}}, 3, 2};
}

/// Holds the parts of a run; what goes wrong ends the program.
class demo
{
public:
    explicit demo(net::event_loop &loop)
        : m_client(net::http_client::create(loop))
        , m_driver(loop, *m_client)
        , m_fleet(m_driver, makeDemoLayout(demoSize()),
                  {absl::GetFlag(FLAGS_build), absl::GetFlag(FLAGS_build) + "/orchidleadd",
                   makeWorkDirectory("orchidlead-demo"), demoTemplatesAndCustomers(demoSize()), ""})
        , m_loop(loop)
    { }

    void start()
    {
        std::vector<std::string> names;
        exitOnError(m_fleet.startStandIns(absl::GetFlag(FLAGS_seed)));
        if (!m_fleet.publishConfiguration() || !m_fleet.publishVms())
            exitWith("demo: nothing can be published");
        for (const fleet_vm &vm : m_fleet.layout().vms) {
            exitOnError(m_fleet.startVm(vm.name));
            names.push_back(vm.name);
        }
        exitOnError(m_fleet.awaitReady(names, ReadyPatience));
        std::cout << names.size() << " daemons are ready; logs in "
                  << m_fleet.processes().directory() << '\n';
    }

    void sendRequests()
    {
        const workload work = makeDemoWorkload(RequestsPerSecond, request_identity::Ticket);
        entry_pool entries(m_loop, *m_client, m_fleet.entries());
        if (!m_driver.runUntil([&] { return entries.ready() == m_fleet.entries().size(); },
                               ReadyPatience))
            exitWith("the daemons do not stay ready");
        load_caller caller({m_loop, *m_client, m_clock, entries}, work, {});
        bool finished = false;
        const auto plan = planArrivals(work, {milliseconds{0}, absl::GetFlag(FLAGS_requests)},
                                       absl::GetFlag(FLAGS_seed));
        caller.start(plan, [&finished] { finished = true; });
        m_driver.runFor(lengthOf(plan) / 3);
        killVm();
        m_driver.runFor(lengthOf(plan) / 5);
        leave();
        if (!m_driver.runUntil([&finished] { return finished; }, LoadPatience))
            std::cout << caller.open() << " requests have no end\n";
        m_planned = plan.size();
        m_evidence.requests = caller.records();
    }

    /// Checks the histories and prints what came out; tells whether all is well.
    bool report()
    {
        const auto runs = m_fleet.readRuns();
        if (!runs)
            exitWith("the backend servers' history can't be read");
        m_evidence.runs = *runs;
        const auto breaches = checkHistories(m_evidence);
        std::cout << '\n'
                  << summaryByClass(m_evidence.requests) << '\n'
                  << summaryByStage(m_evidence.requests) << '\n'
                  << summaryOfReasons(m_evidence.requests);
        showTable("stages");
        showTable("servers");
        for (const proof_breach &breach : breaches)
            std::cout << toName(breach.kind) << ": " << breach.what << '\n';
        return printVerdict(breaches);
    }

    void keepRunning()
    {
        const fleet_vm &vm = m_fleet.layout().vms.front();
        const std::string ctl = ctlPath();
        const std::string node = " --operator " + toText(vm.operators);
        std::cout << "the fleet stays up until Ctrl-C; try\n"
                  << "  curl -sS http://" << toText(vm.caller) << "/v1/requests -d "
                  << R"('{"customer": "tartu-alumni", "pipeline": "summary", )"
                  << R"("input": {"text": "minutes"}}')" << '\n'
                  << "  curl -sS http://" << toText(vm.operators) << "/v1/status\n"
                  << "  curl -sS http://" << toText(m_fleet.backendControl())
                  << "/control/servers\n"
                  << "  " << ctl << " status" << node << "\n  " << ctl << " stages" << node
                  << "\n  " << ctl << " send --caller " << toText(vm.caller)
                  << " --customer collectors --pipeline question --input '{\"text\": \"milk\"}'\n"
                  << std::flush;
        m_loop.run();
    }

    void stop() { m_fleet.processes().stopAll(StopPatience); }

private:
    static std::string ctlPath() { return absl::GetFlag(FLAGS_build) + "/orchidctl"; }

    // What an operator would see at the first node.
    void showTable(const std::string &command)
    {
        const std::string name = "orchidctl-" + command;
        const auto started = m_fleet.processes().start(
            name,
            {ctlPath(), command, "--operator", toText(m_fleet.layout().vms.front().operators)});
        if (!started)
            exitWith("demo: " + started.error().what);
        if (!m_driver.runUntil([&] { return !m_fleet.processes().running(name); }, StopPatience))
            exitWith("demo: orchidctl does not end");
        std::cout << "orchidctl " << command << '\n'
                  << readFileOrExit(m_fleet.processes().logFile(name)) << '\n';
    }

    template <class Value>
    static void exitOnError(const result<Value, fleet_error> &done)
    {
        if (!done)
            exitWith("demo: " + done.error().what);
    }

    static milliseconds lengthOf(const std::vector<planned_request> &plan)
    {
        return std::chrono::duration_cast<milliseconds>(plan.back().at);
    }

    void killVm()
    {
        const fleet_vm *vm = m_fleet.findVm(KilledVm);
        m_fleet.processes().signal(KilledVm, SIGKILL);
        m_evidence.disturbedEntries[toText(vm->caller)] = {{m_clock.now(), steady_time::max()}};
        m_evidence.disturbedVms[KilledVm] = {{m_clock.now(), steady_time::max()}};
        std::cout << KilledVm << " was killed\n";
    }

    void leave()
    {
        m_evidence.leaving.push_back({LeavingServer, m_clock.now(), steady_time::max(), {}});
        if (!m_fleet.setServerFaults(LeavingServer, R"({"fault":"leaving"})"))
            exitWith("the fault can't be set");
        removeServer(LeavingServer, m_fleet.layout());
        if (!m_fleet.publishConfiguration())
            exitWith("the configuration can't be published");
        m_evidence.leaving.back().listedAt = m_clock.now();
        std::cout << LeavingServer << " is leaving\n";
    }

    [[nodiscard]] bool printVerdict(const std::vector<proof_breach> &breaches) const
    {
        const auto count = [&breaches](breach_kind kind) {
            return std::count_if(breaches.begin(), breaches.end(),
                                 [kind](const proof_breach &one) { return one.kind == kind; });
        };
        const caller_totals totals = countEnds(m_evidence.requests);
        const std::size_t known =
            totals.answered + totals.notRun + totals.failed + totals.unknown + totals.expired;
        const auto unaccounted = static_cast<std::ptrdiff_t>(m_planned - known);
        const auto lost = count(breach_kind::Lost) + unaccounted;
        const auto doubled = count(breach_kind::Doubled) + count(breach_kind::RanTwice);
        const auto misdelivered = count(breach_kind::Misdelivered) + count(breach_kind::Incomplete);
        std::cout << "sent " << m_planned << ", attained " << totals.attained << ", failed "
                  << totals.failed << ", unknown " << totals.unknown << ", expired "
                  << totals.expired << ", other breaches "
                  << static_cast<std::ptrdiff_t>(breaches.size()) - (lost - unaccounted) - doubled
                - misdelivered
                  << "\ndemo: " << totals.answered << " answered, " << totals.notRun << " not run, "
                  << lost << " lost, " << doubled << " doubled, " << misdelivered << " misdelivered"
                  << std::endl;
        return breaches.empty() && unaccounted == 0 && totals.answered > 0;
    }

    system_clock_source m_clock;
    std::unique_ptr<net::http_client> m_client;
    loop_driver m_driver;
    fleet_runner m_fleet;
    net::event_loop &m_loop;
    run_evidence m_evidence;
    std::size_t m_planned = 0;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("standin-demo [--build=DIRECTORY] [--keep]");
    absl::ParseCommandLine(argc, argv);
    const auto loop = makeLoopOrExit();
    demo run(*loop);
    run.start();
    run.sendRequests();
    const bool well = run.report();
    if (absl::GetFlag(FLAGS_keep))
        run.keepRunning();
    run.stop();
    return well ? 0 : 1;
}
