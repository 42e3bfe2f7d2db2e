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

/// One process that holds, or asks for, leases.
struct lease_holder
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;

    friend auto operator<=>(const lease_holder &, const lease_holder &) = default;
};

/// Promises, shard by shard, to vote for no other holder for one lease. Volatile.
///
/// A process that has just started doesn't know what its predecessor promised, so that it grants
/// nothing for one whole lease.
template <at_most_once_guards Guards>
class lease_voter
{
public:
    lease_voter(milliseconds lease, const clock_source &clock)
        : m_lease(lease)
        , m_clock(clock)
        , m_quietUntil(clock.now() + lease)
    {
        // What the predecessor promised ends with the quiet time.
        for (promise &given : m_promises)
            given.otherUntil = m_quietUntil;
    }

    /// What a voter grants.
    struct granted_shards
    {
        shard_bits shards = 0;
        steady_time freeSince; ///< no other holder had a promise for any of them since
    };

    /// Votes for `holder` on each shard that isn't promised to another.
    granted_shards grant(const lease_holder &holder, std::uint64_t round, shard_bits shards)
    {
        const auto now = m_clock.now();
        if (Guards::FreshVoterWaits && now < m_quietUntil)
            return {0, now};
        granted_shards granted{0, m_quietUntil}; // no promise is known to have ended before
        for (std::size_t shard = 0; shard < ShardCount; ++shard) {
            promise &given = m_promises[shard];
            if ((shards & shardBit(shard)) == 0 || !grantOne(given, holder, round, now))
                continue;
            granted.shards |= shardBit(shard);
            granted.freeSince = std::max(granted.freeSince, given.otherUntil);
        }
        return granted;
    }

    /// Ends promises to `from`, or passes them on with the time that is left of them. A release
    /// that a later vote has overtaken is ignored: the holder counts on that vote.
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
                given.otherUntil = std::max(given.otherUntil, given.until);
                given.holder = {message.successor, message.successorIncarnation};
                given.round = message.successorRound;
            }
        }
    }

    /// Gives who is promised a shard now.
    [[nodiscard]] const lease_holder *promisedTo(std::size_t shard) const
    {
        const promise &given = m_promises[shard];
        return m_clock.now() < given.until ? &given.holder : nullptr;
    }

private:
    struct promise
    {
        lease_holder holder;
        std::uint64_t round = 0; // of the holder's requests; only rises
        steady_time until = steady_time::min();
        steady_time otherUntil; // end of the last promise to another holder
    };

    bool grantOne(promise &given, const lease_holder &holder, std::uint64_t round, steady_time now)
    {
        if (now < given.until && given.holder != holder)
            return false;
        const bool same = given.holder == holder;
        if (!same)
            given.otherUntil = std::max(given.otherUntil, given.until);
        given.holder = holder;
        given.round = same ? std::max(given.round, round) : round;
        given.until = now + m_lease;
        return true;
    }

    milliseconds m_lease;
    const clock_source &m_clock;
    steady_time m_quietUntil;
    std::array<promise, ShardCount> m_promises;
};

} // namespace orchidlead
