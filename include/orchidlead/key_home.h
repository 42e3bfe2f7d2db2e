#pragma once

#include <orchidlead/at_most_once_guards.h>
#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/key_home_messages.h>
#include <orchidlead/lease_voter.h>
#include <orchidlead/membership.h>
#include <orchidlead/recent_vm_lists.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// Whether a node may accept a key of which it has no record.
enum class key_admission {
    /// No other node has accepted the key, and none can accept it later.
    Certain,
    NoLease, ///< this node is not the home
    IssuedBeforeLease, ///< an earlier home may have run it
    IssuedInFuture, ///< a later home could also accept it
};

template <>
inline constexpr std::array enumNames<key_admission>{
    enum_name<key_admission>{key_admission::Certain, "certain"},
    enum_name<key_admission>{key_admission::NoLease, "no_lease"},
    enum_name<key_admission>{key_admission::IssuedBeforeLease, "issued_before_lease"},
    enum_name<key_admission>{key_admission::IssuedInFuture, "issued_in_future"},
};

struct key_home_settings
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    milliseconds lease{12'000};
    milliseconds renewal{4'000};
    /// Largest difference between the wall clocks of two machines.
    milliseconds clockSkew{1'000};
    milliseconds maxListAge{60'000}; ///< of a VM list; see `at_most_once_settings`
    milliseconds listMemory{150'000}; ///< of replaced VM lists; see `at_most_once_settings`
};

/// Coverage of a lease on a shard: the time span of issue of the keys that only the lease holder
/// can have accepted. No earlier home has accepted a key issued after `since`.
struct lease_coverage
{
    wall_time since;
    wall_time until; ///< end of the lease
};

/// The node that takes over a shard, and the first round of which it counts votes.
struct shard_successor
{
    lease_holder holder;
    std::uint64_t round = 0;
};

/// A message to the `key_home` of a peer.
struct key_home_outgoing
{
    vm_id to;
    key_home_message message;
};

/// Holds leases on shards of a data centre's idempotency keys, and votes on those of other nodes.
///
/// The home of a key is the node that holds the lease on the key's shard. At any time, at most one
/// node holds it: a lease needs the votes of more than half of the VMs of each recent list. A key
/// that was issued after the lease became continuous cannot have been accepted by an earlier home.
/// A key whose time of issue is not in the future cannot be accepted by a later home.
template <at_most_once_guards Guards>
class basic_key_home
{
public:
    basic_key_home(key_home_settings settings, const clock_source &clock);

    /// Sets the VMs of the data centre. Only listed VMs vote or hold leases. `confirmedAt` is the
    /// time when the platform last confirmed the VM list.
    void setMembers(std::span<const member> members, steady_time confirmedAt);

    /// Requests the votes that are due.
    void tick(std::vector<key_home_outgoing> &out);

    void onRequest(const vm_id &from, const lease_request &message,
                   std::vector<key_home_outgoing> &out);
    void onVote(const vm_id &from, const lease_vote &message);
    void onRelease(const vm_id &from, const lease_release &message);

    /// Whether a key of `shard` with this time of issue may be accepted now.
    [[nodiscard]] key_admission admission(std::size_t shard, wall_time issued) const;

    /// Returns the probable home of a shard; empty if no node is alive.
    [[nodiscard]] vm_id probableHome(std::size_t shard) const;

    [[nodiscard]] bool holdsLease(std::size_t shard) const;

    /// Returns the shards on which this node has a valid lease.
    [[nodiscard]] shard_bits held() const;

    /// Returns the shards of which a key that is issued now would be accepted.
    [[nodiscard]] shard_bits certain() const;

    /// Stops requesting leases on further shards.
    void startKeyHandover() { m_leaving = true; }

    /// Returns the live VMs that could take over a shard, in order of preference.
    [[nodiscard]] std::vector<vm_id> successors(std::size_t shard) const;

    /// Returns the coverage of the lease, for a handover, or nothing if the lease is not valid.
    [[nodiscard]] std::optional<lease_coverage> coverage(std::size_t shard) const;

    /// Ends this node's lease. If there is a successor, transfers the votes to it.
    void endLease(std::size_t shard, const std::optional<shard_successor> &successor,
                  std::vector<key_home_outgoing> &out);

    /// Continues the coverage of the previous home's lease if this node gets the lease before the
    /// previous one ends.
    void inheritCoverage(std::size_t shard, const lease_coverage &coverage);

    /// Whether this node could hold a lease: it is listed, is not leaving, and its VM lists are
    /// complete and recent.
    [[nodiscard]] bool eligible() const;

    /// Returns the number of the next round of requests, for the reply to a handover.
    [[nodiscard]] std::uint64_t nextRound() const { return m_round + 1; }

private:
    struct shard_state
    {
        steady_time leaseUntil = steady_time::min();
        wall_time since; // start of the coverage of the lease; valid while the lease is
        std::optional<lease_coverage> inherited;
        std::uint64_t firstCountedRound = 0; // votes of earlier rounds are ignored
        // Since when this node's voter has had no promise to another holder.
        std::optional<steady_time> noOtherPromiseSince;
        bool requested = false;
        steady_time backoffUntil = steady_time::min(); // after a failed candidacy
        std::uint32_t failedCandidacies = 0;
    };
    struct counted_vote
    {
        steady_time until = steady_time::min();
        steady_time noOtherPromiseSince; // since when the voter had no promise to another holder
    };
    using voter_votes = std::array<counted_vote, ShardCount>;

    static constexpr std::size_t TrackedRounds = 16;

    [[nodiscard]] lease_holder self() const { return {m_settings.vm, m_settings.incarnation}; }
    [[nodiscard]] bool vmListsUsable(steady_time now) const;
    [[nodiscard]] steady_time leaseEnd(std::size_t shard, steady_time now) const;
    [[nodiscard]] bool shouldRequest(std::size_t shard, steady_time now);
    [[nodiscard]] std::size_t rank(std::size_t shard) const;
    [[nodiscard]] bool inheritable(const shard_state &state) const;
    void updateLease(std::size_t shard);
    [[nodiscard]] wall_time coverageStart(std::size_t shard, steady_time now) const;
    void recordVotes(const vm_id &voter, std::uint64_t round, shard_bits granted,
                     steady_time noOtherPromiseSince);
    void startRound(shard_bits shards, std::vector<key_home_outgoing> &out);
    void withdrawFailedCandidacies(std::vector<key_home_outgoing> &out);
    void sendRelease(const lease_release &message, std::vector<key_home_outgoing> &out);
    [[nodiscard]] shard_bits shardsToRequest(bool inheritedOnly);

    key_home_settings m_settings;
    const clock_source &m_clock;
    lease_voter<Guards> m_voter;
    recent_vm_lists m_vmLists;
    std::vector<vm_id> m_live; // listed, alive and not leaving; including this node
    std::array<shard_state, ShardCount> m_shards;
    std::unordered_map<vm_id, voter_votes> m_votes;
    std::array<steady_time, TrackedRounds> m_sentAt{};
    std::uint64_t m_round = 0;
    steady_time m_nextRoundAt = steady_time::min();
    bool m_leaving = false;
};

using key_home = basic_key_home<every_guard>;

extern template class basic_key_home<every_guard>;

} // namespace orchidlead
