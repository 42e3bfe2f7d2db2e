#pragma once

#include <concepts>

namespace orchidlead {

/// A guard is a constant that is true or false when the program is built.
template <class... Types>
concept guard_constants = (std::same_as<Types, const bool> && ...);

/// Says which guards of the at-most-once protocol are in place.
///
/// The daemon is built with `every_guard` alone; there is no run-time switch. Tests put a policy
/// with one guard missing in its place, to show that the guard carries weight.
template <class Guards>
concept at_most_once_guards =
    guard_constants<decltype(Guards::LeaseIsChecked), decltype(Guards::IssuedAfterLeaseBegan),
                    decltype(Guards::CoverageAfterPromises), decltype(Guards::FutureKeysAreRefused),
                    decltype(Guards::OldKeysAreRefused), decltype(Guards::MajorityOfVoters),
                    decltype(Guards::FreshVoterWaits), decltype(Guards::LeaseCountsFromRequest),
                    decltype(Guards::EveryRecentListAgrees), decltype(Guards::ListMustBeFresh),
                    decltype(Guards::LateReleaseIsIgnored), decltype(Guards::HandoverWithinLease),
                    decltype(Guards::UncertainMeansUnknown), decltype(Guards::RefusalIsFinal),
                    decltype(Guards::TicketNamesIncarnation), decltype(Guards::TicketRunsOnce)>;

/// All guards: what the daemon ships with.
struct every_guard
{
    /// A key is accepted only while the lease on its shard is valid.
    static constexpr bool LeaseIsChecked = true;
    /// A key is accepted only if it was issued after the lease became continuous.
    static constexpr bool IssuedAfterLeaseBegan = true;
    /// A lease covers the time before it only as far back as no other promise was live.
    static constexpr bool CoverageAfterPromises = true;
    /// A key from the future could be accepted by a later home as well.
    static constexpr bool FutureKeysAreRefused = true;
    /// A key older than the window may have a record that is already dropped.
    static constexpr bool OldKeysAreRefused = true;
    /// A lease needs the votes of more than half of the listed VMs.
    static constexpr bool MajorityOfVoters = true;
    /// A freshly started voter grants nothing until its predecessor's promises have run out.
    static constexpr bool FreshVoterWaits = true;
    /// The holder counts the lease from when it sent the request.
    static constexpr bool LeaseCountsFromRequest = true;
    /// A lease needs a majority of each list that was in force lately.
    static constexpr bool EveryRecentListAgrees = true;
    /// A node whose VM list is unconfirmed for too long holds no lease.
    static constexpr bool ListMustBeFresh = true;
    /// A release that was overtaken by a later vote doesn't end that vote.
    static constexpr bool LateReleaseIsIgnored = true;
    /// A handed over shard keeps its coverage only if the leases overlap.
    static constexpr bool HandoverWithinLease = true;
    /// A node that isn't certain to be the home doesn't say `not_run`.
    static constexpr bool UncertainMeansUnknown = true;
    /// A call that was answered `not_run` doesn't run when the same key comes again.
    static constexpr bool RefusalIsFinal = true;
    /// A ticket of another incarnation isn't run.
    static constexpr bool TicketNamesIncarnation = true;
    /// A ticket that was used isn't run again.
    static constexpr bool TicketRunsOnce = true;
};

static_assert(at_most_once_guards<every_guard>);

} // namespace orchidlead
