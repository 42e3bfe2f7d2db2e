#include "core/once/at_most_once_definitions.h"
#include "tests/core/at_most_once_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <iostream>

using namespace orchidlead;
using namespace orchidlead::testing;

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint32_t Seconds = 60;
constexpr std::uint64_t ExpectedEvents = 100'000;
#else
constexpr std::uint32_t Seconds = 150;
constexpr std::uint64_t ExpectedEvents = 1'000'000;
#endif

rc::Gen<fault> anyFault()
{
    return rc::gen::build<fault>(
        rc::gen::set(&fault::kind,
                     rc::gen::map(rc::gen::inRange(0, FaultKindCount),
                                  [](int k) { return static_cast<fault_kind>(k); })),
        rc::gen::set(&fault::second, rc::gen::inRange<std::uint32_t>(5, Seconds)),
        rc::gen::set(&fault::target, rc::gen::inRange<std::uint32_t>(0, 16)),
        rc::gen::set(&fault::length, rc::gen::inRange<std::uint32_t>(1, 25)));
}

} // namespace

namespace rc {

template <>
struct Arbitrary<fault>
{
    static Gen<fault> arbitrary() { return anyFault(); }
};

} // namespace rc

namespace orchidlead::testing {

void showValue(const fault &value, std::ostream &out)
{
    out << "{kind " << static_cast<int>(value.kind) << ", second " << value.second << ", target "
        << value.target << ", length " << value.length << "}";
}

} // namespace orchidlead::testing

TEST_CASE("no schedule of faults makes a call run twice or run after not_run")
{
    simulation_result total;
    rc::prop("at most once", [&total] {
        simulation_settings settings;
        settings.seconds = Seconds;
        settings.seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
        settings.vms = *rc::gen::inRange<std::uint32_t>(1, 6);
        settings.faults = *rc::gen::arbitrary<std::vector<fault>>();
        const auto result = runSimulation(settings, makeGateFactory<every_guard>());
        total.events += result.events;
        total.calls += result.calls;
        total.runs += result.runs;
        total.notRun += result.notRun;
        total.unknown += result.unknown;
        total.repeatedAnswers += result.repeatedAnswers;
        RC_LOG() << result.violation << '\n';
        RC_ASSERT(result.violation.empty());
    });
    std::cout << "events " << total.events << ", calls " << total.calls << ", runs " << total.runs
              << ", not_run " << total.notRun << ", unknown " << total.unknown
              << ", answers given again " << total.repeatedAnswers << '\n';
    CHECK(total.events >= ExpectedEvents);
    // A gate that refused every call would pass the checks above but would be useless.
    CHECK(total.runs * 4 >= total.calls);
    CHECK(total.repeatedAnswers > 0);
}
