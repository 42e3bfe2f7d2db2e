/// Takes the place of backend servers: encoders, retrievers, rerankers, plain services, engines.

#include "standins/backend_process.h"
#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, servers, "", "YAML file that lists the servers");
ABSL_FLAG(std::string, addresses, "", "file to which the addresses are written as JSON");

int main(int argc, char **argv)
{
    using namespace orchidlead;
    absl::SetProgramUsageMessage("standin-stage --servers=FILE [--addresses=FILE]");
    absl::ParseCommandLine(argc, argv);
    const auto spec =
        standins::parseBackendProcess(standins::readFileOrExit(absl::GetFlag(FLAGS_servers)));
    if (!spec)
        standins::exitWith(spec.error().what);
    const system_clock_source clock;
    const auto loop = standins::makeLoopOrExit();
    const auto process = standins::backend_process::create(*loop, clock, spec.value());
    if (!process)
        standins::exitWith(process.error().what);
    standins::announce(process.value()->addresses(), absl::GetFlag(FLAGS_addresses));
    loop->run();
    return 0;
}
