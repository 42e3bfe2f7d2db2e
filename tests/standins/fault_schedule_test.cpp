#include "standins/fault_schedule.h"

#include <catch2/catch.hpp>

#include <set>

using namespace orchidlead::standins;
using namespace std::chrono_literals;

namespace {

const disruption_targets Targets{
    {{"vm-1", "vm-2", "vm-3"}, {"vm-4", "vm-5", "vm-6"}}, {"south-1"}, {"encoder-1", "ledger-1"}};

} // namespace

TEST_CASE("a schedule of a minute has every kind of disruption, and its seed gives it again")
{
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    const auto schedule = drawSchedule(Targets, 60s, seed);
    const auto again = drawSchedule(Targets, 60s, seed);
    REQUIRE(schedule.size() == again.size());
    std::set<disruption_kind> kinds;
    for (std::size_t i = 0; i < schedule.size(); ++i) {
        kinds.insert(schedule[i].kind);
        CHECK(schedule[i].at == again[i].at);
        CHECK(schedule[i].target == again[i].target);
        CHECK(schedule[i].at + schedule[i].length <= 60s);
    }
    CHECK(kinds.size() == orchidlead::enumNames<disruption_kind>.size());
}

TEST_CASE("of each data centre's VMs one at a time is disrupted")
{
    const auto schedule = drawSchedule(Targets, 300s, 4);
    for (const auto &vms : Targets.vmsOfDataCenters) {
        milliseconds freeFrom{0};
        for (const disruption &one : schedule) {
            if (std::find(vms.begin(), vms.end(), one.target) == vms.end())
                continue;
            CHECK(one.at >= freeFrom);
            freeFrom = one.at + one.length;
        }
    }
}
