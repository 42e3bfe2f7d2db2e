/// Measures policies under load and faults: real daemons, stand-ins, open-loop arrivals. Policies
/// are alternated within one run.

#include "bench/experiment.h"
#include "bench/experiment_files.h"
#include "bench/suite_targets.h"
#include "standins/caller_summary.h"
#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, build, "build", "build directory");
ABSL_FLAG(std::string, workloads, "bench/workloads", "directory of the users' files");
ABSL_FLAG(std::string, out, "build/bench-out", "directory for CSV, JSON and plots");
ABSL_FLAG(std::string, suite, "quick", "quick: what the targets need, one seed; full: all");
ABSL_FLAG(std::vector<std::string>, users, {"vilistlasvork"}, "vilistlasvork, ruta-lactea");
ABSL_FLAG(std::vector<std::string>, scenarios, {}, "instead of those of the suite");
ABSL_FLAG(std::vector<std::string>, policies, {}, "instead of product,baseline");
ABSL_FLAG(std::uint32_t, seeds, 0, "runs of each with different seeds; 0: as the suite has it");
ABSL_FLAG(std::uint64_t, seed, 1, "the first seed");
ABSL_FLAG(bool, details, false, "print tables by class of requests, by stage and by reason");

namespace {

using namespace orchidlead;
using namespace orchidlead::bench;

constexpr std::uint32_t FullSeeds = 3;

bool isFull()
{
    return absl::GetFlag(FLAGS_suite) == "full";
}

/// The baseline is run in the quick suite only where a target compares with it.
bool needsBaseline(const scenario &what)
{
    return isFull() || what.name == "straggler" || what.name == "burst";
}

bool isInQuickSuite(const scenario &what)
{
    const auto quick = {"steady",       "straggler",  "burst",     "pool_down",
                        "large_silent", "large_loud", "vm_killed", "server_killed"};
    return std::find(quick.begin(), quick.end(), what.name) != quick.end();
}

std::vector<scenario> chosenScenarios()
{
    std::vector<scenario> chosen;
    const auto names = absl::GetFlag(FLAGS_scenarios);
    for (const auto &name : names) {
        const scenario *found = findScenario(name);
        if (found == nullptr)
            standins::exitWith("no scenario " + name);
        chosen.push_back(*found);
    }
    if (!names.empty())
        return chosen;
    for (const auto &each : allScenarios()) {
        if (isFull() || isInQuickSuite(each))
            chosen.push_back(each);
    }
    return chosen;
}

std::vector<std::string> policiesFor(const scenario &what)
{
    auto named = absl::GetFlag(FLAGS_policies);
    if (!named.empty())
        return named;
    if (needsBaseline(what))
        return {"product", "baseline"};
    return {"product"};
}

std::vector<experiment> planExperiments()
{
    std::vector<experiment> planned;
    const auto wanted = absl::GetFlag(FLAGS_seeds);
    const std::uint32_t seeds = wanted > 0 ? wanted : isFull() ? FullSeeds : 1;
    for (std::uint32_t at = 0; at < seeds; ++at) {
        for (const auto &user : absl::GetFlag(FLAGS_users)) {
            for (const auto &what : chosenScenarios()) {
                for (const auto &policy : policiesFor(what))
                    planned.push_back({user, policy, what, absl::GetFlag(FLAGS_seed) + at});
            }
        }
    }
    return planned;
}

void printDetails(const experiment_record &record)
{
    std::cout << standins::summaryByClass(record.requests) << '\n'
              << standins::summaryByStage(record.requests) << '\n'
              << standins::summaryOfReasons(record.requests) << std::endl;
}

std::vector<finished_experiment> runAll(net::event_loop &loop,
                                        const std::vector<experiment> &planned)
{
    const experiment_places places{absl::GetFlag(FLAGS_build), absl::GetFlag(FLAGS_workloads)};
    std::vector<finished_experiment> finished;
    for (std::size_t at = 0; at < planned.size(); ++at) {
        std::cout << '[' << at + 1 << '/' << planned.size() << "] " << std::flush;
        const auto record = runExperiment(loop, planned[at], places);
        if (!record) {
            std::cout << planned[at].what.name << ", " << planned[at].policy << ": "
                      << record.error().what << std::endl;
            continue;
        }
        finished.push_back({summarise(record.value()), courseOf(record.value())});
        std::cout << progressLine(finished.back().summary) << std::endl;
        if (absl::GetFlag(FLAGS_details))
            printDetails(record.value());
    }
    return finished;
}

/// Prints a line for each target and tells whether there were any and all were met.
bool printTargets(const std::vector<finished_experiment> &finished)
{
    std::vector<experiment_summary> summaries;
    summaries.reserve(finished.size());
    for (const auto &each : finished)
        summaries.push_back(each.summary);
    const auto targets = judgeTargets(summaries);
    bool allMet = !targets.empty();
    for (const auto &target : targets) {
        std::cout << target.name << ": " << target.value << (target.met ? " (met)" : " (missed)")
                  << '\n';
        allMet = allMet && target.met;
    }
    return allMet;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("bench-experiment [--suite=quick|full] [--out=DIRECTORY]");
    absl::ParseCommandLine(argc, argv);
    const auto loop = standins::makeLoopOrExit();
    const auto planned = planExperiments();
    const auto finished = runAll(*loop, planned);
    const std::string out = absl::GetFlag(FLAGS_out);
    if (!writeFiles(out, finished))
        standins::exitWith("can't write to " + out);
    std::cout << "figures and plots in " << out << '\n';
    const bool allMet = printTargets(finished);
    return finished.size() == planned.size() && allMet ? 0 : 1;
}
