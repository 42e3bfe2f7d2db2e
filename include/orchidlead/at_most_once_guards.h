#pragma once

#include <concepts>

namespace orchidlead {

/// Guards are compile-time boolean constants.
template <class... Types>
concept guard_constants = (std::same_as<Types, const bool> && ...);

/// Requirements on a policy that enables or disables each guard of the at-most-once protocol.
///
/// The daemon is always built with `every_guard`; there is no run-time switch. Tests disable one
/// guard at a time, to show that an invariant breaks without it.
template <class Guards>
concept at_most_once_guards =
    guard_constants<decltype(Guards::LeaseIsChecked), decltype(Guards::IssuedAfterLeaseBegan),
                    decltype(Guards::CoverageAfterPromises), decltype(Guards::FutureKeysAreRefused),
                    decltype(Guards::OldKeysAreRefused), decltype(Guards::MajorityOfVoters),
                    decltype(Guards::RestartedVoterWaits), decltype(Guards::LeaseCountsFromRequest),
                    decltype(Guards::EveryRecentListAgrees), decltype(Guards::ListMustBeConfirmed),
                    decltype(Guards::LateReleaseIsIgnored), decltype(Guards::HandoverWithinLease),
                    decltype(Guards::UncertainMeansUnknown), decltype(Guards::RefusalIsFinal),
                    decltype(Guards::TicketIncarnationIsChecked), decltype(Guards::TicketRunsOnce)>;

/// All guards enabled, as in the daemon.
struct every_guard
{
    /// A key is accepted only while the lease on its shard is valid.
    static constexpr bool LeaseIsChecked = true;
    /// A key is accepted only if it was issued after the lease became continuous.
    static constexpr bool IssuedAfterLeaseBegan = true;
    /// A lease covers the time before its start only back to the end of the last promise that one
    /// of its voters made to another holder.
    static constexpr bool CoverageAfterPromises = true;
    /// A key whose time of issue is in the future is refused: a later home could accept it as well.
    static constexpr bool FutureKeysAreRefused = true;
    /// A key older than the window is refused: its record may have been dropped.
    static constexpr bool OldKeysAreRefused = true;
    /// A lease needs the votes of more than half of the listed VMs.
    static constexpr bool MajorityOfVoters = true;
    /// A voter grants nothing after its start until its predecessor's promises have expired.
    static constexpr bool RestartedVoterWaits = true;
    /// The holder's lease starts when the holder sent the request, not when the vote arrived.
    static constexpr bool LeaseCountsFromRequest = true;
    /// A lease needs a majority of each recent VM list, not only of the current one.
    static constexpr bool EveryRecentListAgrees = true;
    /// A node whose VM list has not been confirmed for `maxListAge` holds no lease.
    static constexpr bool ListMustBeConfirmed = true;
    /// A release does not end a vote of a later round, which may have arrived before it.
    static constexpr bool LateReleaseIsIgnored = true;
    /// The successor of a handover inherits the coverage of the lease only if the leases overlap.
    static constexpr bool HandoverWithinLease = true;
    /// A node that is not certain to be the home reports `unknown`, not `not_run`.
    static constexpr bool UncertainMeansUnknown = true;
    /// A call that was answered `not_run` does not run when its key or ticket is sent again.
    static constexpr bool RefusalIsFinal = true;
    /// A ticket of another incarnation of the VM is refused.
    static constexpr bool TicketIncarnationIsChecked = true;
    /// A used ticket is not run again.
    static constexpr bool TicketRunsOnce = true;
};

static_assert(at_most_once_guards<every_guard>);

} // namespace orchidlead
