#include "bench/scenario.h"

#include <algorithm>

namespace orchidlead::bench {

namespace {

using std::chrono::seconds;

constexpr milliseconds From{4000};
constexpr milliseconds To{14000};
constexpr double Steady = 0.7;
constexpr const char *Straggler = "runners-3";

scenario named(std::string name)
{
    scenario made;
    made.name = std::move(name);
    return made;
}

scenario withSteps(std::string name, std::vector<disturbance_step> steps)
{
    scenario made = named(std::move(name));
    made.steps = std::move(steps);
    return made;
}

scenario burst()
{
    scenario made = named("burst");
    made.length = milliseconds{20000};
    made.bursts = {{From, To - From, 2.0 / Steady}};
    return made;
}

/// All through the run the large customers ask for more than the runners can do, or for nothing.
scenario largeCustomers(std::string name, double factor)
{
    scenario made = named(std::move(name));
    made.length = milliseconds{14000};
    made.disturbedFrom = milliseconds{3000};
    made.disturbedTo = made.length;
    made.largeFactor = factor;
    return made;
}

std::vector<disturbance_step> thirdOfRunnersLost()
{
    std::vector<disturbance_step> steps;
    for (const char *runner : {"runners-1", "runners-4", "runners-7", "runners-10"})
        steps.push_back({From, disturbance_kind::ServerFault, runner, R"({"fault":"down"})"});
    return steps;
}

std::vector<scenario> makeScenarios()
{
    const disturbance_step slow{From, disturbance_kind::ServerFault, Straggler,
                                R"({"fault":"slow","factor":10})"};
    const disturbance_step kill{From, disturbance_kind::KillVm, "vm-2", ""};
    const disturbance_step platformDown{From, disturbance_kind::PlatformFault, "",
                                        R"({"fault":"close"})"};
    const disturbance_step platformUp{To, disturbance_kind::PlatformWell, "", ""};
    const disturbance_step isolate{From, disturbance_kind::IsolateDataCenter, "2", ""};
    const disturbance_step heal{To, disturbance_kind::HealNetwork, "", ""};
    const disturbance_step poolDown{From, disturbance_kind::ServerFault, "runners-",
                                    R"({"fault":"down"})"};
    const disturbance_step poolUp{To, disturbance_kind::ServerWell, "runners-", ""};
    const disturbance_step serverDown{From, disturbance_kind::ServerFault, Straggler,
                                      R"({"fault":"down"})"};
    scenario straggler = withSteps("straggler", {slow});
    straggler.disturbedTo = straggler.length;
    straggler.recoversWithin = true;
    scenario killed = withSteps("vm_killed", {kill});
    killed.recoversWithin = true;
    scenario serverKilled = withSteps("server_killed", {serverDown});
    serverKilled.recoversWithin = true;
    scenario third = withSteps("third_of_runners_lost", thirdOfRunnersLost());
    third.disturbedTo = third.length;
    third.recoversWithin = true;
    return {named("steady"),
            straggler,
            burst(),
            withSteps("pool_down", {poolDown, poolUp}),
            largeCustomers("large_silent", 0.0),
            largeCustomers("large_loud", 3.0),
            killed,
            serverKilled,
            third,
            withSteps("data_center_cut_off", {isolate, heal}),
            withSteps("platform_down", {platformDown, platformUp}),
            withSteps("straggler_and_vm_killed", {slow, kill})};
}

} // namespace

const std::vector<scenario> &allScenarios()
{
    static const std::vector<scenario> scenarios = makeScenarios();
    return scenarios;
}

const scenario *findScenario(const std::string &name)
{
    const auto &all = allScenarios();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const scenario &each) { return each.name == name; });
    return found == all.end() ? nullptr : &*found;
}

bool isLargeCustomer(const std::string &customer)
{
    constexpr std::array Large{"tartu", "tallinn", "collectors", "clerks"};
    return std::find(Large.begin(), Large.end(), customer) != Large.end();
}

} // namespace orchidlead::bench
