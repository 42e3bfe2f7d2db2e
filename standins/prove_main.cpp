/// Proves what must always hold: runs a fleet under disruptions drawn from a seed, and checks the
/// histories of all sides against each other.

#include "standins/caller_summary.h"
#include "standins/program.h"
#include "standins/proof_report.h"
#include "standins/prover.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, build, "build", "build directory");
ABSL_FLAG(std::string, daemon, "", "path of the daemon; empty: that of the build directory");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the schedule, the requests and the service times");
ABSL_FLAG(double, seconds, 45, "how long disruptions go on");
ABSL_FLAG(double, rate, 40, "requests a second");

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
    return options;
}

void exitOnError(const result<void, fleet_error> &done, prover &run)
{
    if (done)
        return;
    run.stop();
    exitWith("prove: " + done.error().what + "; logs in " + run.logDirectory());
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("standin-prove [--build=DIRECTORY] [--seed=N]");
    absl::ParseCommandLine(argc, argv);
    const prover_options options = readOptions();
    const auto loop = makeLoopOrExit();
    prover run(*loop, options);
    std::cout << "seed " << options.seed << std::endl;
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
