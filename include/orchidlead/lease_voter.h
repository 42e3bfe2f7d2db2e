#pragma once

#include <orchidlead/at_most_once_guards.h>
#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/key_home_messages.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace orchidlead {

/// A process that holds or requests leases.
struct lease_holder
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;

    friend auto operator<=>(const lease_holder &, const lease_holder &) = default;
};

/// Grants votes per shard. A vote promises to vote for no other holder for the length of a lease.
///
/// Promises are kept in memory only. A process that has just started has lost those of its
/// predecessor, and therefore grants nothing for the length of one lease.
template <at_most_once_guards Guards>
class lease_voter
{
public:
    lease_voter(milliseconds lease, const clock_source &clock)
        : m_lease(lease)
        , m_clock(clock)
        , m_noGrantsBefore(clock.now() + lease)
    {
        // The predecessor's promises have expired by then.
        for (promise &given : m_promises)
            given.otherHolderUntil = m_noGrantsBefore;
    }

    struct granted_shards
    {
        shard_bits shards = 0;
        /// Since when no other holder had a promise for any of these shards.
        steady_time noOtherPromiseSince;
    };

    /// Votes for `holder` on each shard that is not promised to another holder.
    granted_shards grant(const lease_holder &holder, std::uint64_t round, shard_bits shards)
    {
        const auto now = m_clock.now();
        if (Guards::RestartedVoterWaits && now < m_noGrantsBefore)
            return {0, now};
        granted_shards granted{0, m_noGrantsBefore}; // promises before the start were lost
        for (std::size_t shard = 0; shard < ShardCount; ++shard) {
            promise &given = m_promises[shard];
            if ((shards & shardBit(shard)) == 0 || !grantOne(given, holder, round, now))
                continue;
            granted.shards |= shardBit(shard);
            granted.noOtherPromiseSince =
                std::max(granted.noOtherPromiseSince, given.otherHolderUntil);
        }
        return granted;
    }

    /// Ends promises to `from`, or transfers them to a successor for their remaining time. A
    /// release is ignored for a vote of a later round: the holder relies on that vote.
    void release(const vm_id &from, const lease_release &message)
    {
        const lease_holder holder{from, message.holder};
        for (std::size_t shard = 0; shard < ShardCount; ++shard) {
            promise &given = m_promises[shard];
            const bool named = (message.shards & shardBit(shard)) != 0 && given.holder == holder;
            if (!named || (Guards::LateReleaseIsIgnored && given.round > message.round))
                continue;
            if (message.successor.empty()) {
                given.until = std::min(given.until, m_clock.now());
            } else {
                given.otherHolderUntil = std::max(given.otherHolderUntil, given.until);
                given.holder = {message.successor, message.successorIncarnation};
                given.round = message.successorFirstRound;
            }
        }
    }

    /// Returns the holder that the shard is promised to now, or null.
    [[nodiscard]] const lease_holder *promisedTo(std::size_t shard) const
    {
        const promise &given = m_promises[shard];
        return m_clock.now() < given.until ? &given.holder : nullptr;
    }

private:
    struct promise
    {
        lease_holder holder;
        std::uint64_t round = 0; // highest one of the holder's requests
        steady_time until = steady_time::min();
        steady_time otherHolderUntil; // end of the last promise to another holder
    };

    bool grantOne(promise &given, const lease_holder &holder, std::uint64_t round, steady_time now)
    {
        if (now < given.until && given.holder != holder)
            return false;
        const bool same = given.holder == holder;
        if (!same)
            given.otherHolderUntil = std::max(given.otherHolderUntil, given.until);
        given.holder = holder;
        given.round = same ? std::max(given.round, round) : round;
        given.until = now + m_lease;
        return true;
    }

    milliseconds m_lease;
    const clock_source &m_clock;
    steady_time m_noGrantsBefore;
    std::array<promise, ShardCount> m_promises;
};

} // namespace orchidlead
