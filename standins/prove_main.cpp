/// Proves what must always hold: runs a fleet under disruptions drawn from a seed, and checks the
/// histories of all sides against each other.

#include "standins/caller_summary.h"
#include "standins/negative_case.h"
#include "standins/program.h"
#include "standins/proof_report.h"
#include "standins/prover.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, build, "build", "build directory");
ABSL_FLAG(std::string, daemon, "", "path of the daemon; empty: that of the build directory");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the schedule, the requests and the service times");
ABSL_FLAG(double, seconds, 45, "how long disruptions go on");
ABSL_FLAG(double, rate, 40, "requests a second");
ABSL_FLAG(double, warm_up, 0, "age in seconds of the fleet before requests are sent");
ABSL_FLAG(bool, negative, false, "show that each guard that is taken out is missed");
ABSL_FLAG(std::string, guard, "", "with --negative: only this guard");

namespace {

using namespace orchidlead;
using namespace orchidlead::standins;

prover_options readOptions()
{
    prover_options options;
    options.build = absl::GetFlag(FLAGS_build);
    options.daemon = absl::GetFlag(FLAGS_daemon);
    if (options.daemon.empty())
        options.daemon = options.build + "/orchidleadd";
    options.seed = absl::GetFlag(FLAGS_seed);
    const std::chrono::duration<double> length{absl::GetFlag(FLAGS_seconds)};
    options.length = std::chrono::duration_cast<milliseconds>(length);
    options.requestsPerSecond = absl::GetFlag(FLAGS_rate);
    const std::chrono::duration<double> warmUp{absl::GetFlag(FLAGS_warm_up)};
    options.warmUp = std::chrono::duration_cast<milliseconds>(warmUp);
    return options;
}

void exitOnError(const result<void, fleet_error> &done, prover &run)
{
    if (done)
        return;
    run.stop();
    exitWith("prove: " + done.error().what + "; logs in " + run.logDirectory());
}

proof_report proveWith(const prover_options &options)
{
    const auto loop = makeLoopOrExit();
    prover run(*loop, options);
    exitOnError(run.start(), run);
    exitOnError(run.run(), run);
    run.stop();
    return reportOf(run.evidence(), run.schedule());
}

std::size_t countBreaches(const proof_report &report, breach_kind kind)
{
    std::size_t count = 0;
    for (const point_report &point : report.points)
        count += static_cast<std::size_t>(
            std::count_if(point.breaches.begin(), point.breaches.end(),
                          [kind](const proof_breach &breach) { return breach.kind == kind; }));
    return count;
}

// The same schedule must show the breach without the guard and none with it.
bool proveNegative(const negative_case &one, prover_options options)
{
    options.length = one.length;
    options.schedule = one.schedule;
    const std::size_t with = countBreaches(proveWith(options), one.expected);
    options.daemon = options.build + "/unguarded/orchidleadd-without-" + one.guard;
    const std::size_t without = countBreaches(proveWith(options), one.expected);
    const bool caught = with == 0 && without > 0;
    std::cout << one.guard << ": " << (caught ? "caught" : "missed") << " (" << toName(one.expected)
              << ": " << without << " without it, " << with << " with it)" << std::endl;
    return caught;
}

int proveAllNegatives(const prover_options &options)
{
    std::size_t missed = 0;
    std::size_t tried = 0;
    const std::string only = absl::GetFlag(FLAGS_guard);
    for (const negative_case &one : negativeCases()) {
        if (!only.empty() && one.guard != only)
            continue;
        ++tried;
        missed += proveNegative(one, options) ? 0 : 1;
    }
    std::cout << tried - missed << " caught, " << missed << " missed" << std::endl;
    return missed == 0 && tried > 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("standin-prove [--build=DIRECTORY] [--seed=N]");
    absl::ParseCommandLine(argc, argv);
    const prover_options options = readOptions();
    std::cout << "seed " << options.seed << std::endl;
    if (absl::GetFlag(FLAGS_negative))
        return proveAllNegatives(options);
    const auto loop = makeLoopOrExit();
    prover run(*loop, options);
    exitOnError(run.start(), run);
    exitOnError(run.run(), run);
    run.stop();
    const proof_report report = reportOf(run.evidence(), run.schedule());
    std::cout << summaryByClass(run.evidence().requests) << '\n'
              << summaryOfReasons(run.evidence().requests) << '\n'
              << toText(report);
    if (report.broken > 0)
        std::cout << "logs in " << run.logDirectory() << '\n';
    std::cout << report.held << " held, " << report.broken << " broken" << std::endl;
    return report.broken == 0 ? 0 : 1;
}
