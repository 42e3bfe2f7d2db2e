#pragma once

#include "standins/workload.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::bench {

/// What happens to the fleet while requests come.
enum class disturbance_kind {
    ServerFault, ///< one backend server, or every one whose name begins with the target
    ServerWell, ///< the faults of those are taken away
    KillVm,
    PlatformFault, ///< of the configuration service and the VM list
    PlatformWell,
    IsolateDataCenter, ///< its VMs and the others no longer hear each other
    HealNetwork,
};

/// One thing that happens at one time.
struct disturbance_step
{
    milliseconds at{0}; ///< since the first request
    disturbance_kind kind = disturbance_kind::ServerFault;
    std::string target;
    std::string fault; ///< JSON, as standins/README.md has it
};

/// One experiment: load and what goes wrong.
struct scenario
{
    std::string name;
    double load = 0.7; ///< of what fills the runners
    milliseconds length{18000};
    milliseconds disturbedFrom{4000}; ///< the time that the scenario is about
    milliseconds disturbedTo{14000};
    bool recoversWithin = false; ///< recovery is counted from the start: the disturbance lasts
    std::vector<standins::work_burst> bursts;
    std::vector<disturbance_step> steps;
    double largeFactor = 1.0; ///< of the requests of the large customers
};

/// Gives all scenarios, in the order in which they are run.
[[nodiscard]] const std::vector<scenario> &allScenarios();

[[nodiscard]] const scenario *findScenario(const std::string &name);

/// Tells whether a customer is one of the large ones of its user.
[[nodiscard]] bool isLargeCustomer(const std::string &customer);

} // namespace orchidlead::bench
