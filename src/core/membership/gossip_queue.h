#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace orchidlead {

/// Queue of members whose updates are to be gossiped, with the number of transmissions of each.
class gossip_queue
{
public:
    /// Queues the update of a member with no transmissions, ahead of those already sent.
    void add(const vm_id &vm) { m_transmissions[vm] = 0; }
    void remove(const vm_id &vm) { m_transmissions.erase(vm); }
    /// Counts an update received from another node as a transmission, since others spread it too.
    void countTransmission(const vm_id &vm, std::uint32_t limit);
    [[nodiscard]] bool empty() const { return m_transmissions.empty(); }
    [[nodiscard]] std::size_t size() const { return m_transmissions.size(); }

    /// Returns up to `count` members, those with the fewest transmissions first, and counts one
    /// more transmission of each. A member whose count reaches `limit` is removed.
    [[nodiscard]] std::vector<vm_id> take(std::size_t count, std::uint32_t limit);

private:
    std::map<vm_id, std::uint32_t> m_transmissions;
};

/// Returns how often each node transmits an update, so that it reaches almost all `members`: a
/// logarithmic number, with a factor for lost datagrams. With a long queue the limit is lower, and
/// table synchronisation delivers the updates that were missed.
[[nodiscard]] std::uint32_t retransmitLimit(std::size_t members, std::size_t queued);

/// Token bucket that limits the bytes sent per second.
class byte_rate_limiter
{
public:
    byte_rate_limiter(std::size_t bytesPerSecond, std::size_t burst, steady_time now)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burst))
        , m_tokens(m_burst)
        , m_refilledAt(now)
    { }

    /// Adds tokens for the elapsed time. Returns whether a datagram may be sent now.
    [[nodiscard]] bool canSend(steady_time now);
    void consume(std::size_t bytes) { m_tokens -= static_cast<double>(bytes); }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    steady_time m_refilledAt;
};

} // namespace orchidlead
