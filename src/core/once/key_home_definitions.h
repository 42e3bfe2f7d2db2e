#pragma once

#include <orchidlead/key_home.h>
#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <utility>

/// Definitions of the member functions of `basic_key_home`. They are in a header so that tests can
/// instantiate them with single guards of the at-most-once protocol disabled.
namespace orchidlead {

namespace key_home_detail {

// The holder's lease is shorter than the voter's promise by 1/DriftDivisor of it. The drift between
// two monotonic clocks is far smaller.
inline constexpr int DriftDivisor = 100;

// Spreads the retries of candidates that have split the votes.
inline constexpr std::uint64_t MaxBackoffRounds = 4;

inline milliseconds holderLease(milliseconds lease)
{
    return lease - lease / DriftDivisor;
}

inline std::string shardName(std::size_t shard)
{
    return "shard-" + std::to_string(shard);
}

} // namespace key_home_detail

template <at_most_once_guards Guards>
basic_key_home<Guards>::basic_key_home(key_home_settings settings, const clock_source &clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_voter(m_settings.lease, clock)
    , m_vmLists(m_settings.maxListAge, m_settings.listMemory)
{ }

template <at_most_once_guards Guards>
void basic_key_home<Guards>::setMembers(std::span<const member> members, steady_time confirmedAt)
{
    std::vector<vm_id> listed;
    m_live.clear();
    for (const auto &each : members) {
        if (!each.listed)
            continue;
        listed.push_back(each.vm.vm);
        const bool own = each.vm.vm == m_settings.vm;
        const bool stays = !each.vm.leaving && each.state != member_state::Leaving;
        if (stays && (own || each.state == member_state::Alive))
            m_live.push_back(each.vm.vm);
    }
    const auto now = m_clock.now();
    m_vmLists.tick(now);
    m_vmLists.set(std::move(listed), confirmedAt, now);
    std::erase_if(m_votes, [this](const auto &entry) { return !m_vmLists.contains(entry.first); });
    for (std::size_t shard = 0; shard < ShardCount; ++shard)
        updateLease(shard);
}

template <at_most_once_guards Guards>
bool basic_key_home<Guards>::eligible() const
{
    const auto &current = m_vmLists.current();
    const bool listed = std::find(current.begin(), current.end(), m_settings.vm) != current.end();
    return listed && !m_leaving && vmListsUsable(m_clock.now());
}

template <at_most_once_guards Guards>
bool basic_key_home<Guards>::vmListsUsable(steady_time now) const
{
    if (Guards::EveryRecentListAgrees && !m_vmLists.complete(now))
        return false;
    return !Guards::ListMustBeConfirmed || now < m_vmLists.validUntil();
}

// The lease ends when the votes expire or the VM list becomes too old, whichever comes first.
template <at_most_once_guards Guards>
steady_time basic_key_home<Guards>::leaseEnd(std::size_t shard, steady_time now) const
{
    if (!vmListsUsable(now))
        return steady_time::min();
    const auto voteOf = [this, shard](const vm_id &voter) {
        const auto found = m_votes.find(voter);
        return found == m_votes.end() ? steady_time::min() : found->second[shard].until;
    };
    steady_time votesValidUntil = steady_time::min();
    if (Guards::MajorityOfVoters)
        votesValidUntil = m_vmLists.majorityUntil(voteOf, Guards::EveryRecentListAgrees);
    else
        votesValidUntil = voteOf(m_settings.vm);
    return Guards::ListMustBeConfirmed ? std::min(votesValidUntil, m_vmLists.validUntil())
                                       : votesValidUntil;
}

// A lease that lapsed, however briefly, starts again with new coverage (`lease_coverage`): another
// node may have held it in between.
template <at_most_once_guards Guards>
void basic_key_home<Guards>::updateLease(std::size_t shard)
{
    const auto now = m_clock.now();
    shard_state &state = m_shards[shard];
    const auto until = leaseEnd(shard, now);
    const bool begins = state.leaseUntil <= now && until > now;
    if (begins) {
        state.since = inheritable(state) ? state.inherited->since : coverageStart(shard, now);
        state.inherited.reset();
        state.failedCandidacies = 0;
    }
    state.leaseUntil = until;
}

// Majorities intersect, so an earlier lease of another node included one of the current voters. It
// ended no later than that voter's last promise to another holder. The lease's coverage (the time
// span of issue of keys that no earlier home has accepted) goes back at most `maxListAge`, since an
// earlier holder may have used a VM list of that age.
template <at_most_once_guards Guards>
wall_time basic_key_home<Guards>::coverageStart(std::size_t shard, steady_time now) const
{
    steady_time since = now - m_settings.maxListAge;
    for (const auto &[voter, votes] : m_votes) {
        const counted_vote &vote = votes[shard];
        if (Guards::CoverageAfterPromises && vote.until > now)
            since = std::max(since, vote.noOtherPromiseSince);
    }
    const auto coveredTime = std::max(now - since, steady_time::duration::zero());
    return m_clock.wallNow() - std::chrono::duration_cast<wall_time::duration>(coveredTime);
}

// The coverage of the previous home's lease may be inherited only if no third node can have held
// the lease in between. The previous home's lease must therefore still be valid by any clock within
// `clockSkew`.
template <at_most_once_guards Guards>
bool basic_key_home<Guards>::inheritable(const shard_state &state) const
{
    if (!state.inherited)
        return false;
    const auto inheritableUntil = state.inherited->until - m_settings.clockSkew;
    return !Guards::HandoverWithinLease || m_clock.wallNow() < inheritableUntil;
}

template <at_most_once_guards Guards>
void basic_key_home<Guards>::tick(std::vector<key_home_outgoing> &out)
{
    const auto now = m_clock.now();
    m_vmLists.tick(now);
    if (now < m_nextRoundAt) {
        startRound(shardsToRequest(true), out);
        return;
    }
    m_nextRoundAt = now + m_settings.renewal;
    withdrawFailedCandidacies(out);
    startRound(shardsToRequest(false), out);
}

template <at_most_once_guards Guards>
shard_bits basic_key_home<Guards>::shardsToRequest(bool inheritedOnly)
{
    const auto now = m_clock.now();
    shard_bits wanted = 0;
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        shard_state &state = m_shards[shard];
        if (state.inherited && !inheritable(state))
            state.inherited.reset();
        const bool inherits = state.inherited && eligible();
        if (inherits || (!inheritedOnly && shouldRequest(shard, now)))
            wanted |= shardBit(shard);
    }
    return wanted;
}

// The holder renews its lease. Other candidates start one renewal interval apart, in the order of
// the rendezvous hash, so that they do not split the votes.
template <at_most_once_guards Guards>
bool basic_key_home<Guards>::shouldRequest(std::size_t shard, steady_time now)
{
    shard_state &state = m_shards[shard];
    if (now < state.leaseUntil)
        return true;
    const lease_holder *promised = m_voter.promisedTo(shard);
    const bool taken = promised != nullptr && *promised != self();
    if (taken || !eligible()) {
        state.noOtherPromiseSince.reset();
        return false;
    }
    if (!state.noOtherPromiseSince)
        state.noOtherPromiseSince = now;
    if (now < state.backoffUntil)
        return false;
    return now >= *state.noOtherPromiseSince + m_settings.renewal * static_cast<int>(rank(shard));
}

template <at_most_once_guards Guards>
std::size_t basic_key_home<Guards>::rank(std::size_t shard) const
{
    const auto order = rendezvousPick(key_home_detail::shardName(shard), m_live, m_live.size());
    const auto found = std::find(order.begin(), order.end(), m_settings.vm);
    return static_cast<std::size_t>(found - order.begin());
}

// A candidate without a majority releases its votes, so that they do not block other candidates.
template <at_most_once_guards Guards>
void basic_key_home<Guards>::withdrawFailedCandidacies(std::vector<key_home_outgoing> &out)
{
    const auto now = m_clock.now();
    shard_bits failed = 0;
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        shard_state &state = m_shards[shard];
        if (!state.requested || now < state.leaseUntil || state.inherited)
            continue;
        state.requested = false;
        ++state.failedCandidacies;
        const auto draw = rendezvousWeight(key_home_detail::shardName(shard) + "/"
                                               + std::to_string(state.failedCandidacies),
                                           m_settings.vm.value);
        const auto rounds = static_cast<int>(draw % key_home_detail::MaxBackoffRounds);
        state.backoffUntil = now + m_settings.renewal * rounds;
        state.firstCountedRound = m_round + 1;
        for (auto &[voter, votes] : m_votes)
            votes[shard] = {};
        failed |= shardBit(shard);
    }
    if (failed != 0)
        sendRelease({m_settings.incarnation, m_round, failed, {}, 0, 0}, out);
}

template <at_most_once_guards Guards>
void basic_key_home<Guards>::sendRelease(const lease_release &message,
                                         std::vector<key_home_outgoing> &out)
{
    for (const auto &voter : m_vmLists.voters()) {
        if (voter == m_settings.vm)
            onRelease(voter, message);
        else
            out.push_back({voter, message});
    }
}

template <at_most_once_guards Guards>
void basic_key_home<Guards>::startRound(shard_bits shards, std::vector<key_home_outgoing> &out)
{
    if (shards == 0)
        return;
    ++m_round;
    m_sentAt[m_round % TrackedRounds] = m_clock.now();
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        if ((shards & shardBit(shard)) != 0)
            m_shards[shard].requested = true;
    }
    const auto voters = m_vmLists.voters();
    for (const auto &voter : voters) {
        if (voter == m_settings.vm) {
            const auto own = m_voter.grant(self(), m_round, shards);
            recordVotes(voter, m_round, own.shards, own.noOtherPromiseSince);
        } else
            out.push_back({voter, lease_request{m_settings.incarnation, m_round, shards}});
    }
}

template <at_most_once_guards Guards>
void basic_key_home<Guards>::onRequest(const vm_id &from, const lease_request &message,
                                       std::vector<key_home_outgoing> &out)
{
    if (!m_vmLists.contains(from))
        return;
    const auto granted = m_voter.grant({from, message.holder}, message.round, message.shards);
    const auto free = std::chrono::floor<milliseconds>(m_clock.now() - granted.noOtherPromiseSince);
    const auto bounded = std::clamp(free, milliseconds{0}, m_settings.maxListAge);
    out.push_back({from,
                   lease_vote{message.holder, message.round, granted.shards,
                              static_cast<std::uint32_t>(bounded.count())}});
}

template <at_most_once_guards Guards>
void basic_key_home<Guards>::onVote(const vm_id &from, const lease_vote &message)
{
    const bool tracked = message.round <= m_round && message.round + TrackedRounds > m_round;
    if (message.holder != m_settings.incarnation || !tracked || !m_vmLists.contains(from))
        return;
    const auto noOtherPromiseSince =
        m_clock.now() - milliseconds{message.noOtherPromiseMilliseconds};
    recordVotes(from, message.round, message.granted, noOtherPromiseSince);
}

// The voter's promise starts when the request arrives, the lease when it was sent. The promise
// therefore outlasts the lease, whatever the delay.
template <at_most_once_guards Guards>
void basic_key_home<Guards>::recordVotes(const vm_id &voter, std::uint64_t round,
                                         shard_bits granted, steady_time noOtherPromiseSince)
{
    const auto sentAt = m_sentAt[round % TrackedRounds];
    const auto from = Guards::LeaseCountsFromRequest ? sentAt : m_clock.now();
    const auto until = from + key_home_detail::holderLease(m_settings.lease);
    voter_votes &votes = m_votes[voter];
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        if ((granted & shardBit(shard)) == 0 || round < m_shards[shard].firstCountedRound)
            continue;
        counted_vote &vote = votes[shard];
        if (until > vote.until)
            vote = {until, noOtherPromiseSince};
        updateLease(shard);
    }
}

template <at_most_once_guards Guards>
void basic_key_home<Guards>::onRelease(const vm_id &from, const lease_release &message)
{
    m_voter.release(from, message);
}

// Reads the wall clock first. In the other order, a pause of the process between the two reads
// would let a key pass that was issued during the pause, when the lease may already have ended.
template <at_most_once_guards Guards>
key_admission basic_key_home<Guards>::admission(std::size_t shard, wall_time issued) const
{
    const auto wall = m_clock.wallNow();
    const auto now = m_clock.now();
    const shard_state &state = m_shards[shard];
    if (Guards::LeaseIsChecked && now >= state.leaseUntil)
        return key_admission::NoLease;
    if (Guards::IssuedAfterLeaseBegan && issued <= state.since + 2 * m_settings.clockSkew)
        return key_admission::IssuedBeforeLease;
    if (Guards::FutureKeysAreRefused && issued >= wall + m_settings.clockSkew)
        return key_admission::IssuedInFuture;
    return key_admission::Certain;
}

template <at_most_once_guards Guards>
shard_bits basic_key_home<Guards>::certain() const
{
    shard_bits bits = 0;
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        if (admission(shard, m_clock.wallNow()) == key_admission::Certain)
            bits |= shardBit(shard);
    }
    return bits;
}

template <at_most_once_guards Guards>
vm_id basic_key_home<Guards>::probableHome(std::size_t shard) const
{
    if (holdsLease(shard))
        return m_settings.vm;
    if (const lease_holder *promised = m_voter.promisedTo(shard))
        return promised->vm;
    const auto best = rendezvousPick(key_home_detail::shardName(shard), m_live, 1);
    return best.empty() ? vm_id{} : best.front();
}

template <at_most_once_guards Guards>
bool basic_key_home<Guards>::holdsLease(std::size_t shard) const
{
    return m_clock.now() < m_shards[shard].leaseUntil;
}

template <at_most_once_guards Guards>
shard_bits basic_key_home<Guards>::held() const
{
    shard_bits bits = 0;
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        if (holdsLease(shard))
            bits |= shardBit(shard);
    }
    return bits;
}

template <at_most_once_guards Guards>
std::vector<vm_id> basic_key_home<Guards>::successors(std::size_t shard) const
{
    auto order = rendezvousPick(key_home_detail::shardName(shard), m_live, m_live.size());
    std::erase(order, m_settings.vm);
    return order;
}

template <at_most_once_guards Guards>
std::optional<lease_coverage> basic_key_home<Guards>::coverage(std::size_t shard) const
{
    const auto wall = m_clock.wallNow();
    const auto now = m_clock.now();
    const shard_state &state = m_shards[shard];
    if (now >= state.leaseUntil)
        return std::nullopt;
    return lease_coverage{
        state.since,
        wall + std::chrono::duration_cast<wall_time::duration>(state.leaseUntil - now)};
}

// Without a successor, the votes are left to expire. If they were released, a node that is still
// waiting to inherit the coverage of an earlier home's lease could miss keys that this node
// accepted.
template <at_most_once_guards Guards>
void basic_key_home<Guards>::endLease(std::size_t shard,
                                      const std::optional<shard_successor> &successor,
                                      std::vector<key_home_outgoing> &out)
{
    shard_state &state = m_shards[shard];
    state.leaseUntil = steady_time::min();
    state.firstCountedRound = m_round + 1;
    for (auto &[voter, votes] : m_votes)
        votes[shard] = {};
    if (!successor)
        return;
    const lease_release message{
        m_settings.incarnation,        m_round,         shardBit(shard), successor->holder.vm,
        successor->holder.incarnation, successor->round};
    sendRelease(message, out);
}

template <at_most_once_guards Guards>
void basic_key_home<Guards>::inheritCoverage(std::size_t shard, const lease_coverage &coverage)
{
    shard_state &state = m_shards[shard];
    if (!holdsLease(shard))
        state.inherited = coverage;
}

} // namespace orchidlead
