/// Sends a workload to entry VMs, checks every answer, and writes a history.

#include "standins/caller_summary.h"
#include "standins/json_http.h"
#include "standins/load_caller.h"
#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, workload, "", "YAML file that lists the classes of requests");
ABSL_FLAG(std::vector<std::string>, entries, {}, "addresses of the entry VMs, ip:port,…");
ABSL_FLAG(std::uint64_t, requests, 0, "how many requests are sent; 0: as --seconds says");
ABSL_FLAG(double, seconds, 0, "how long requests are sent; 0: as --requests says");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals, sizes and marks");
ABSL_FLAG(std::string, history, "", "file to which each request's history is written (JSON lines)");

namespace {

using namespace orchidlead;
using namespace orchidlead::standins;

constexpr milliseconds FirstProbes{500}; // until the entry VMs' readiness is known

std::vector<socket_address> readEntries()
{
    std::vector<socket_address> entries;
    for (const std::string &text : absl::GetFlag(FLAGS_entries)) {
        const auto address = parseAddress(text);
        if (!address)
            exitWith("not an address: " + text);
        entries.push_back(*address);
    }
    if (entries.empty())
        exitWith("--entries is missing");
    return entries;
}

std::vector<planned_request> readPlan(const workload &work)
{
    const std::chrono::duration<double> length{absl::GetFlag(FLAGS_seconds)};
    const plan_bounds bounds{std::chrono::duration_cast<milliseconds>(length),
                             absl::GetFlag(FLAGS_requests)};
    return planArrivals(work, bounds, absl::GetFlag(FLAGS_seed));
}

void writeHistory(const std::vector<caller_record> &records, const std::string &path)
{
    if (path.empty())
        return;
    std::ofstream file(path);
    for (const caller_record &record : records)
        file << toCompactJson(toJson(record)) << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("standin-caller --workload=FILE --entries=IP:PORT,… --requests=N");
    absl::ParseCommandLine(argc, argv);
    const auto work = parseWorkload(readFileOrExit(absl::GetFlag(FLAGS_workload)));
    if (!work)
        exitWith(work.error().what);
    const auto plan = readPlan(work.value());
    const system_clock_source clock;
    const auto loop = makeLoopOrExit();
    const auto client = net::http_client::create(*loop);
    entry_pool entries(*loop, *client, readEntries());
    load_caller caller({*loop, *client, clock, entries}, work.value(), {});
    loop->callAfter(FirstProbes, [&] { caller.start(plan, [&loop] { loop->stop(); }); });
    loop->run();
    writeHistory(caller.records(), absl::GetFlag(FLAGS_history));
    std::cout << summaryByClass(caller.records()) << '\n'
              << summaryByStage(caller.records()) << '\n'
              << summaryOfReasons(caller.records());
    const caller_totals totals = countEnds(caller.records());
    return totals.lost + totals.foreign + totals.incomplete == 0 ? 0 : 1;
}
