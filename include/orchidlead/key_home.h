#pragma once

#include <orchidlead/at_most_once_guards.h>
#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/key_home_messages.h>
#include <orchidlead/lease_voter.h>
#include <orchidlead/membership.h>
#include <orchidlead/recent_lists.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// Whether a node may accept a key that it has no record of.
enum class home_standing {
    Certain, ///< no other node ran the key, and none ever will
    NoLease, ///< this node isn't the home now
    IssuedBeforeLease, ///< an earlier home may have run the key
    IssuedInFuture, ///< a later home could accept the key as well
};

template <>
inline constexpr std::array enumNames<home_standing>{
    enum_name<home_standing>{home_standing::Certain, "certain"},
    enum_name<home_standing>{home_standing::NoLease, "no_lease"},
    enum_name<home_standing>{home_standing::IssuedBeforeLease, "issued_before_lease"},
    enum_name<home_standing>{home_standing::IssuedInFuture, "issued_in_future"},
};

struct key_home_settings
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    milliseconds lease{12'000};
    milliseconds renewal{4'000};
    milliseconds clockSkew{1'000}; ///< largest difference between two machines' times of day
    milliseconds maxListAge{60'000};
    milliseconds listMemory{150'000};
};

/// Since when a home knows all keys of a shard, and how long its lease lasts.
struct lease_cover
{
    wall_time since;
    wall_time until;
};

/// Who takes a shard over, and from which of its rounds on it counts votes.
struct successor_holder
{
    lease_holder holder;
    std::uint64_t round = 0;
};

/// A message to the key home of a peer.
struct key_home_outgoing
{
    vm_id to;
    key_home_message message;
};

/// Holds leases on shards of a data centre's bare keys, and votes on those of others.
///
/// At any time at most one node holds the lease of a shard: a lease needs the votes of more than
/// half of the listed VMs, of each list that was in force lately. A key that is issued after the
/// lease became continuous can't have been accepted by an earlier home; one that isn't from the
/// future can't be accepted by a later one.
template <at_most_once_guards Guards>
class basic_key_home
{
public:
    basic_key_home(key_home_settings settings, const clock_source &clock);

    /// Takes the VMs of the data centre, of which only the listed ones count; see `recent_lists`
    /// for `confirmedAt`.
    void setMembers(std::span<const member> members, steady_time confirmedAt);

    /// Asks for votes where it is time.
    void tick(std::vector<key_home_outgoing> &out);

    void onRequest(const vm_id &from, const lease_request &message,
                   std::vector<key_home_outgoing> &out);
    void onVote(const vm_id &from, const lease_vote &message);
    void onRelease(const vm_id &from, const lease_release &message);

    /// Tells whether a key of `shard` that was issued then may be accepted now.
    [[nodiscard]] home_standing standing(std::size_t shard, wall_time issued) const;

    /// Guesses the home of a shard; empty where no node is alive.
    [[nodiscard]] vm_id likelyHome(std::size_t shard) const;

    [[nodiscard]] bool holdsLease(std::size_t shard) const;

    /// Gives all shards whose lease is valid now.
    [[nodiscard]] shard_bits held() const;

    /// Gives all shards of which a key that is issued now would be accepted.
    [[nodiscard]] shard_bits certain() const;

    /// Asks for no further shard.
    void startLeaving() { m_leaving = true; }

    /// Live VMs that could take a shard over, best first.
    [[nodiscard]] std::vector<vm_id> successors(std::size_t shard) const;

    /// Gives the coverage that a handover passes on; only while the lease is valid.
    [[nodiscard]] std::optional<lease_cover> cover(std::size_t shard) const;

    /// Ends the own lease for good, and tells the voters to vote for `successor` if there is one.
    void giveUp(std::size_t shard, const std::optional<successor_holder> &successor,
                std::vector<key_home_outgoing> &out);

    /// Takes the coverage of the previous home over, if the lease follows while its lease lasts.
    void inherit(std::size_t shard, const lease_cover &cover);

    /// Tells whether this node could hold a lease: knows the recent lists, is listed, stays.
    [[nodiscard]] bool eligible() const;

    /// Gives the next round of requests, for a handover's reply.
    [[nodiscard]] std::uint64_t nextRound() const { return m_round + 1; }

private:
    struct shard_state
    {
        steady_time leaseUntil = steady_time::min();
        wall_time since; // valid while the lease is
        std::optional<lease_cover> inherited;
        std::uint64_t firstRound = 0; // votes of earlier rounds don't count
        std::optional<steady_time> freeSince; // no promise of the own voter since
        bool asked = false;
        steady_time quietUntil = steady_time::min(); // after a failed candidacy
        std::uint32_t failures = 0;
    };
    struct counted_vote
    {
        steady_time until = steady_time::min();
        steady_time freeSince; // the voter had promised no other holder since
    };
    using voter_votes = std::array<counted_vote, ShardCount>;

    static constexpr std::size_t RememberedRounds = 16;

    [[nodiscard]] lease_holder self() const { return {m_settings.vm, m_settings.incarnation}; }
    [[nodiscard]] bool listsUsable(steady_time now) const;
    [[nodiscard]] steady_time usableUntil(std::size_t shard, steady_time now) const;
    [[nodiscard]] bool wants(std::size_t shard, steady_time now);
    [[nodiscard]] std::size_t rank(std::size_t shard) const;
    [[nodiscard]] bool inheritable(const shard_state &state) const;
    void refresh(std::size_t shard);
    [[nodiscard]] wall_time coverageStart(std::size_t shard, steady_time now) const;
    void recordVotes(const vm_id &voter, std::uint64_t round, shard_bits granted,
                     steady_time freeSince);
    void startRound(shard_bits shards, std::vector<key_home_outgoing> &out);
    void failCandidacies(std::vector<key_home_outgoing> &out);
    void sendRelease(const lease_release &message, std::vector<key_home_outgoing> &out);
    [[nodiscard]] shard_bits wantedShards(bool inheritedOnly);

    key_home_settings m_settings;
    const clock_source &m_clock;
    lease_voter<Guards> m_voter;
    recent_lists m_lists;
    std::vector<vm_id> m_live; // listed, alive and not leaving; with this node
    std::array<shard_state, ShardCount> m_shards;
    std::unordered_map<vm_id, voter_votes> m_votes;
    std::array<steady_time, RememberedRounds> m_sentAt{};
    std::uint64_t m_round = 0;
    steady_time m_nextRound = steady_time::min();
    bool m_leaving = false;
};

using key_home = basic_key_home<every_guard>;

extern template class basic_key_home<every_guard>;

} // namespace orchidlead
