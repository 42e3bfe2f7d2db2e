/// Measures orchidleadd against a bare forwarder, before the same stand-in, in one run and in turn:
/// requests for each second of processor time, added latency, and memory after many requests.

#include "bench/closed_loop_load.h"
#include "bench/process_usage.h"
#include "standins/fleet_runner.h"
#include "standins/json_http.h"
#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>

ABSL_FLAG(std::string, build, "build", "build directory");
ABSL_FLAG(std::uint32_t, rounds, 7, "how often each is measured");
ABSL_FLAG(std::uint32_t, seconds, 2, "length of one measurement");
ABSL_FLAG(std::uint32_t, concurrency, 32, "calls open at a time, for the throughput");
ABSL_FLAG(std::uint64_t, memory_calls, 0,
          "calls until the last reading of memory, up to a million; 0: none");

namespace {

using namespace orchidlead;
using namespace orchidlead::bench;
using namespace orchidlead::standins;

constexpr std::uint32_t Servers = 4;
constexpr std::uint64_t MemoryCalls[] = {100000, 200000, 400000, 700000, 1000000};
constexpr milliseconds Patience{15000};
constexpr milliseconds StopPatience{3000};
constexpr const char *Vm = "vm-1";

constexpr const char *Published = R"(templates:
  - name: page
    deadline: 10s
    priority: normal
    stages:
      - {name: records, service: records, path: /run, after: []}
customers:
  - name: bench
    home_data_center: north-1
    weight: 1
    pipelines:
      - {name: page, template: page}
...
)";

fleet_layout makeLayout()
{
    fleet_layout layout;
    layout.dataCenters = {{"north-1", "north"}};
    layout.vms.push_back({Vm, "north-1", "north", {}, {}, {}, {}});
    fleet_service records;
    records.name = "records";
    records.kind = service_kind::Plain;
    for (std::uint32_t i = 1; i <= Servers; ++i)
        records.servers.push_back({"records-" + std::to_string(i), "north-1", {}});
    records.baseMs = 0.05;
    records.perKibMs = 0.0;
    records.capacity = 256;
    layout.services = {records};
    assignPorts(layout);
    return layout;
}

/// Something that is measured.
struct target
{
    std::string name;
    net::http_call call;
    pid_t process = 0; ///< 0: its processor time isn't looked at
    std::vector<double> callsPerCoreSecond;
    std::vector<double> p50; ///< in microseconds
    std::vector<double> p99;
};

double medianOf(std::vector<double> values)
{
    if (values.empty())
        return 0.0;
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

std::string summaryOf(const std::vector<double> &values)
{
    if (values.empty())
        return "none";
    const auto [least, most] = std::minmax_element(values.begin(), values.end());
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << medianOf(values) << " (" << *least << " to "
         << *most << ")";
    return text.str();
}

/// Holds the processes and measures them; what goes wrong ends the program.
class daemon_bench
{
public:
    explicit daemon_bench(net::event_loop &loop)
        : m_loop(loop)
        , m_client(net::http_client::create(loop))
        , m_driver(loop, *m_client)
        , m_fleet(m_driver, makeLayout(),
                  {absl::GetFlag(FLAGS_build), absl::GetFlag(FLAGS_build) + "/orchidleadd",
                   makeWorkDirectory("orchidlead-bench"), Published, ""})
    { }

    void start()
    {
        exitOnError(m_fleet.startStandIns(1));
        if (!m_fleet.publishConfiguration() || !m_fleet.publishVms())
            exitWith("nothing can be published");
        const auto daemon = m_fleet.startVm(Vm);
        exitOnError(daemon);
        exitOnError(m_fleet.awaitReady({Vm}, Patience));
        makeTargets(daemon.value(), startForwarder());
    }

    void measure()
    {
        const auto rounds = absl::GetFlag(FLAGS_rounds);
        for (std::uint32_t round = 0; round < rounds; ++round) {
            for (target *one : {&m_direct, &m_forwarder, &m_daemon})
                measureOnce(*one);
        }
    }

    void report() const
    {
        std::vector<double> throughput;
        std::vector<double> added50;
        std::vector<double> added99;
        for (std::size_t i = 0; i < m_daemon.p50.size(); ++i) {
            throughput.push_back(m_daemon.callsPerCoreSecond[i]
                                 / m_forwarder.callsPerCoreSecond[i]);
            added50.push_back((m_daemon.p50[i] - m_direct.p50[i])
                              / (m_forwarder.p50[i] - m_direct.p50[i]));
            added99.push_back((m_daemon.p99[i] - m_direct.p99[i])
                              / (m_forwarder.p99[i] - m_direct.p99[i]));
        }
        for (const target *one : {&m_direct, &m_forwarder, &m_daemon}) {
            std::cout << one->name << ": calls per core second "
                      << summaryOf(one->callsPerCoreSecond) << ", p50 us " << summaryOf(one->p50)
                      << ", p99 us " << summaryOf(one->p99) << '\n';
        }
        std::cout << "ratio daemon / forwarder, median (least to most) of " << m_daemon.p50.size()
                  << " rounds\n"
                  << "  calls per core second: " << summaryOf(throughput) << '\n'
                  << "  added latency p50: " << summaryOf(added50) << '\n'
                  << "  added latency p99: " << summaryOf(added99) << '\n';
    }

    void measureMemory()
    {
        const auto last = absl::GetFlag(FLAGS_memory_calls);
        std::uint64_t made = 0;
        for (const std::uint64_t until : MemoryCalls) {
            if (until > last)
                continue;
            const auto found = load(
                m_daemon, {.concurrency = absl::GetFlag(FLAGS_concurrency), .calls = until - made});
            made = until;
            std::cout << "memory after " << made << " calls (" << found.answered << " answered, "
                      << found.refused << " refused, " << found.failed
                      << " failed in this part): " << residentKib(m_daemon.process) << " KiB"
                      << std::endl;
        }
    }

    void stop() { m_fleet.processes().stopAll(StopPatience); }

private:
    template <class Value>
    static void exitOnError(const result<Value, fleet_error> &done)
    {
        if (!done)
            exitWith("bench: " + done.error().what);
    }

    pid_t startForwarder()
    {
        std::string backends;
        for (const fleet_server &server : m_fleet.layout().services.front().servers)
            backends += (backends.empty() ? "" : ",") + toText(server.address);
        const std::string addresses = m_fleet.processes().directory() + "/forwarder.json";
        const auto started =
            m_fleet.processes().start("bench-forwarder",
                                      {absl::GetFlag(FLAGS_build) + "/bench/bench-forwarder",
                                       "--backends=" + backends, "--addresses=" + addresses});
        if (!started)
            exitWith("bench: " + started.error().what);
        std::optional<Json::Value> announced;
        const bool there = m_driver.runUntil(
            [&] {
                std::ifstream file(addresses);
                announced = parseJson(std::string(std::istreambuf_iterator<char>(file), {}));
                return announced.has_value();
            },
            Patience);
        if (!there)
            exitWith("bench: no forwarder");
        m_forwarder.call.address =
            parseAddress((*announced)["forwarder"].asString()).value_or(socket_address{});
        return started.value();
    }

    void makeTargets(pid_t daemon, pid_t forwarder)
    {
        const std::string attempt = R"({"request":"bench-1-1","stage":"records","stage_index":0,)"
                                    R"("attempt":1,"customer":"bench","priority":"normal",)"
                                    R"("deadline_ms":10000,"input":{"text":"a short question"},)"
                                    R"("previous":{}})";
        const socket_address forwarderAddress = m_forwarder.call.address;
        m_direct = {"direct", makeCall("/run", attempt), 0, {}, {}, {}};
        m_direct.call.address = m_fleet.layout().services.front().servers.front().address;
        m_forwarder = {"forwarder", makeCall("/run", attempt), forwarder, {}, {}, {}};
        m_forwarder.call.address = forwarderAddress;
        m_daemon = {"daemon",
                    makeCall("/v1/requests",
                             R"({"customer":"bench","pipeline":"page",)"
                             R"("input":{"text":"a short question"}})"),
                    daemon,
                    {},
                    {},
                    {}};
        m_daemon.call.address = m_fleet.findVm(Vm)->caller;
    }

    static net::http_call makeCall(const std::string &path, const std::string &body)
    {
        net::http_call call;
        call.path = path;
        call.headers = {{"content-type", "application/json"}, {"x-request-id", "bench-1-1/0/1"}};
        call.body = body;
        call.timeout = Patience;
        return call;
    }

    load_result load(const target &one, const load_bounds &bounds)
    {
        return closed_loop_load(m_loop, *m_client, one.call).run(bounds);
    }

    void measureOnce(target &one)
    {
        const std::chrono::seconds time{absl::GetFlag(FLAGS_seconds)};
        const auto alone = load(one, {.concurrency = 1, .time = time});
        constexpr double Microsecond = 1000.0;
        one.p50.push_back(static_cast<double>(alone.quantile(0.5).count()) / Microsecond);
        one.p99.push_back(static_cast<double>(alone.quantile(0.99).count()) / Microsecond);
        if (one.process == 0)
            return;
        const auto before = processorTime(one.process);
        const auto many =
            load(one, {.concurrency = absl::GetFlag(FLAGS_concurrency), .time = time});
        const auto used = processorTime(one.process) - before;
        one.callsPerCoreSecond.push_back(static_cast<double>(many.answered) * 1000.0
                                         / static_cast<double>(used.count()));
        std::cout << one.name << ": " << many.answered << " answered, " << many.refused
                  << " refused, " << many.failed << " failed, processor " << used.count()
                  << " ms of " << time.count() << " s; alone " << alone.answered << " answered, "
                  << alone.refused + alone.failed << " not" << std::endl;
    }

    net::event_loop &m_loop;
    std::unique_ptr<net::http_client> m_client;
    loop_driver m_driver;
    fleet_runner m_fleet;
    target m_direct;
    target m_forwarder;
    target m_daemon;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "bench-daemon [--build=DIRECTORY] [--rounds=N] [--memory_calls=N]");
    absl::ParseCommandLine(argc, argv);
    const auto loop = makeLoopOrExit();
    daemon_bench bench(*loop);
    bench.start();
    bench.measure();
    bench.report();
    bench.measureMemory();
    bench.stop();
    return 0;
}
