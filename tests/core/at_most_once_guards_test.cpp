#include "core/once/at_most_once_definitions.h"
#include "tests/core/at_most_once_simulation.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <iostream>
#include <random>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::testing;

namespace {

// Defines a policy without one of the guards.
#define WITHOUT(Guard) \
    struct without_##Guard : every_guard \
    { \
        static constexpr bool Guard = false; \
    }

WITHOUT(LeaseIsChecked);
WITHOUT(IssuedAfterLeaseBegan);
WITHOUT(CoverageAfterPromises);
WITHOUT(FutureKeysAreRefused);
WITHOUT(OldKeysAreRefused);
WITHOUT(MajorityOfVoters);
WITHOUT(RestartedVoterWaits);
WITHOUT(LeaseCountsFromRequest);
WITHOUT(EveryRecentListAgrees);
WITHOUT(ListMustBeConfirmed);
WITHOUT(LateReleaseIsIgnored);
WITHOUT(HandoverWithinLease);
WITHOUT(UncertainMeansUnknown);
WITHOUT(RefusalIsFinal);
WITHOUT(TicketIncarnationIsChecked);
WITHOUT(TicketRunsOnce);

constexpr std::uint64_t MaxSeeds = 400;

// Parameters of schedules that break an invariant with few seeds when the guard is missing.
struct schedule
{
    std::vector<fault_kind> kinds{}; ///< empty: all
    std::uint32_t faults = 14;
    std::uint32_t vms = 0; ///< 0: drawn
    std::uint32_t callsPerSecond = 8;
    double delayRate = 0.03;
    /// Shortly before the first seed that breaks an invariant: runs under sanitizers are slow.
    std::uint64_t firstSeed = 1;
};

simulation_settings drawSimulation(const schedule &wanted, std::uint64_t seed)
{
    constexpr std::uint32_t Begin = 17; // second in which the first leases begin
    std::mt19937_64 random{seed};
    const auto below = [&random](std::uint64_t n) {
        return static_cast<std::uint32_t>(random() % n);
    };
    simulation_settings settings;
    settings.seed = seed;
    settings.vms = wanted.vms != 0 ? wanted.vms : 2 + below(4);
    settings.callsPerSecond = wanted.callsPerSecond;
    settings.delayRate = wanted.delayRate;
    for (std::uint32_t i = 0; i < wanted.faults; ++i) {
        fault drawn;
        drawn.kind = wanted.kinds.empty() ? static_cast<fault_kind>(below(FaultKindCount))
                                          : wanted.kinds[below(wanted.kinds.size())];
        drawn.second = Begin + below(settings.seconds - Begin);
        drawn.target = below(16);
        drawn.length = 1 + below(wanted.kinds.empty() ? 25 : 6);
        settings.faults.push_back(drawn);
    }
    return settings;
}

// Finds a schedule that breaks an invariant without the guard, and checks that the same schedule
// breaks none with it.
template <at_most_once_guards Guards>
void checkGuard(const schedule &wanted)
{
    for (std::uint64_t seed = wanted.firstSeed; seed <= MaxSeeds; ++seed) {
        const auto settings = drawSimulation(wanted, seed);
        const auto without = runSimulation(settings, makeGateFactory<Guards>());
        if (without.violation.empty())
            continue;
        const auto with = runSimulation(settings, makeGateFactory<every_guard>());
        std::cout << "without it, seed " << seed << ": " << without.violation << '\n';
        CAPTURE(seed, with.violation);
        CHECK(with.violation.empty());
        return;
    }
    FAIL("no schedule of " << MaxSeeds << " broke an invariant: the guard has no effect");
}

} // namespace

TEST_CASE("without the lease check a call runs twice")
{
    checkGuard<without_LeaseIsChecked>({});
}

TEST_CASE("without the check that a key was issued after the lease began a call runs twice")
{
    checkGuard<without_IssuedAfterLeaseBegan>({});
}

TEST_CASE("without the limit of coverage to the end of the last promise a call runs twice")
{
    checkGuard<without_CoverageAfterPromises>({});
}

TEST_CASE("without the refusal of keys from the future a call runs twice")
{
    checkGuard<without_FutureKeysAreRefused>({{}, 14, 0, 8, 0.03, 28});
}

TEST_CASE("without the refusal of old keys a call runs twice")
{
    checkGuard<without_OldKeysAreRefused>({});
}

TEST_CASE("without a majority of votes a call runs twice")
{
    checkGuard<without_MajorityOfVoters>({});
}

TEST_CASE("without the wait of a restarted voter a call runs twice")
{
    checkGuard<without_RestartedVoterWaits>(
        {{fault_kind::Partition, fault_kind::Restart}, 60, 5, 40, 0.03, 26});
}

TEST_CASE("without starting the lease at the request a call runs twice")
{
    checkGuard<without_LeaseCountsFromRequest>({{fault_kind::Pause}, 60, 3, 40, 0.4, 19});
}

TEST_CASE("without a majority of every recent list a call runs twice")
{
    checkGuard<without_EveryRecentListAgrees>({});
}

TEST_CASE("without the bound on the age of the list a call runs twice")
{
    checkGuard<without_ListMustBeConfirmed>({});
}

TEST_CASE("without ignoring late releases a call runs twice")
{
    checkGuard<without_LateReleaseIsIgnored>(
        {{fault_kind::Partition, fault_kind::Restart, fault_kind::Pause}, 40, 4, 20, 0.3});
}

TEST_CASE("without the overlap of leases at a handover a call runs twice")
{
    checkGuard<without_HandoverWithinLease>(
        {{fault_kind::Leave, fault_kind::Partition}, 40, 4, 20, 0.3});
}

TEST_CASE("without the unknown outcome not_run is reported for a call that runs")
{
    checkGuard<without_UncertainMeansUnknown>({});
}

TEST_CASE("without final refusals a call runs after not_run")
{
    checkGuard<without_RefusalIsFinal>({});
}

TEST_CASE("without the incarnation in a ticket a call runs twice")
{
    checkGuard<without_TicketIncarnationIsChecked>({});
}

TEST_CASE("without the record of a ticket a call runs twice")
{
    checkGuard<without_TicketRunsOnce>({});
}
