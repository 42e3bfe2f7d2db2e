#include "policy_scenarios.h"

namespace orchidlead::bench::model {

namespace {

constexpr const char *EngineService = "generate";

fault engineFault(milliseconds at, std::uint32_t first, std::uint32_t count,
                  const server_condition &condition)
{
    return {at, EngineService, first, count, condition};
}

server_condition downCondition(bool silent)
{
    return {1.0, !silent, silent};
}

} // namespace

scenario steadyLoad(std::uint32_t engines, double share)
{
    constexpr std::uint32_t EnginePlaces = 8;
    constexpr std::uint32_t StagePlaces = 4;
    constexpr std::uint32_t Queue = 16;
    scenario shape;
    shape.name = "steady load";
    for (const char *stage : {"encode", "retrieve", "rerank"})
        shape.pools.push_back({stage, engines / 2, StagePlaces, Queue});
    shape.pools.push_back({EngineService, engines, EnginePlaces, Queue});
    shape.kinds = {
        {0.30, priority::Low, 200, {10, 15, 15, 400}},
        {0.42, priority::Normal, 4'000, {20, 25, 20, 600}},
        {0.25, priority::High, 60'000, {60, 50, 30, 900}},
        {0.03, priority::Normal, 900'000, {250, 150, 40, 1'200}},
    };
    shape.customers = {
        {"large-1", 0.4}, {"large-2", 0.3}, {"large-3", 0.2}, {"small-1", 0.05}, {"small-2", 0.05}};
    shape.load = {{RunLength, share * shape.capacity()}};
    return shape;
}

scenario oneStraggler(std::uint32_t engines)
{
    constexpr double Slowdown = 10.0;
    scenario shape = steadyLoad(engines, 0.7);
    shape.name = "one straggler at 10x";
    shape.faults = {engineFault(WarmUp, 0, 1, {Slowdown, false, false}),
                    engineFault(FaultEnd, 0, 1, {})};
    return shape;
}

scenario burst(std::uint32_t engines)
{
    scenario shape = steadyLoad(engines, 0.7);
    shape.name = "burst to 200 %";
    const double capacity = shape.capacity();
    shape.load = {{WarmUp, 0.7 * capacity},
                  {FaultLength, 2.0 * capacity},
                  {RunLength - FaultEnd, 0.7 * capacity}};
    return shape;
}

scenario poolDown(std::uint32_t engines, bool silent)
{
    scenario shape = steadyLoad(engines, 0.7);
    shape.name = silent ? "all engines silent for 10 s" : "all engines down for 10 s";
    shape.faults = {engineFault(WarmUp, 0, engines, downCondition(silent)),
                    engineFault(FaultEnd, 0, engines, {})};
    return shape;
}

scenario thirdLost(std::uint32_t engines, bool silent)
{
    scenario shape = steadyLoad(engines, 0.55);
    shape.name = silent ? "a third of the engines silent" : "a third of the engines lost";
    shape.faults = {engineFault(WarmUp, 0, engines / 3, downCondition(silent))};
    return shape;
}

scenario smallAndLarge(std::uint32_t engines, bool largeSilent)
{
    scenario shape = steadyLoad(engines, 1.0);
    shape.name = largeSilent ? "small customers alone" : "small beside large customers at 200 %";
    const double smallRate = 0.1 * shape.capacity();
    if (largeSilent) {
        for (std::uint32_t large = 0; large < FirstSmallCustomer; ++large)
            shape.customers[large].share = 0.0;
        shape.load = {{RunLength, smallRate}};
    } else {
        shape.customers[FirstSmallCustomer].share = 0.025;
        shape.customers[FirstSmallCustomer + 1].share = 0.025;
        for (std::uint32_t large = 0; large < FirstSmallCustomer; ++large)
            shape.customers[large].share = 0.95 / FirstSmallCustomer;
        shape.load = {{RunLength, 2.0 * shape.capacity()}};
    }
    return shape;
}

} // namespace orchidlead::bench::model
