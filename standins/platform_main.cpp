/// Takes the place of the platform: configuration service and VM list.

#include "standins/json_http.h"
#include "standins/platform_service.h"
#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, configuration, "", "YAML file that is published as the first version");
ABSL_FLAG(std::uint64_t, version, 1, "number of the first version");
ABSL_FLAG(std::string, vms, "", "JSON file with the list of VMs");
ABSL_FLAG(std::string, listen_configuration, "127.0.0.1:0", "address of the configuration service");
ABSL_FLAG(std::string, listen_vms, "127.0.0.1:0", "address of the VM list");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "address for changes and faults");
ABSL_FLAG(std::string, addresses, "", "file to which the addresses are written as JSON");

namespace {

using namespace orchidlead;

socket_address addressOrExit(const std::string &text)
{
    const auto address = standins::parseAddress(text);
    if (!address)
        standins::exitWith("not an address: " + text);
    return *address;
}

standins::platform_options readOptions()
{
    standins::platform_options options;
    options.configurationAddress = addressOrExit(absl::GetFlag(FLAGS_listen_configuration));
    options.vmsAddress = addressOrExit(absl::GetFlag(FLAGS_listen_vms));
    options.controlAddress = addressOrExit(absl::GetFlag(FLAGS_control));
    options.version = absl::GetFlag(FLAGS_version);
    if (const std::string path = absl::GetFlag(FLAGS_configuration); !path.empty())
        options.configuration = standins::readFileOrExit(path);
    if (const std::string path = absl::GetFlag(FLAGS_vms); !path.empty()) {
        const auto vms = standins::parseJson(standins::readFileOrExit(path));
        if (!vms || !vms->isArray())
            standins::exitWith("not a JSON list of VMs: " + path);
        options.vms = *vms;
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("standin-platform [--configuration=FILE] [--vms=FILE]");
    absl::ParseCommandLine(argc, argv);
    const standins::platform_options options = readOptions();
    const system_clock_source clock;
    const auto loop = standins::makeLoopOrExit();
    const auto service = standins::platform_service::create(*loop, clock, options);
    if (!service)
        standins::exitWith(service.error().what);
    standins::announce(service.value()->addresses(), absl::GetFlag(FLAGS_addresses));
    loop->run();
    return 0;
}
