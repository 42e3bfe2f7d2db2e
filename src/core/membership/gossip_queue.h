#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace orchidlead {

/// Remembers which members there is news of, and how often each was told.
class gossip_queue
{
public:
    /// Puts a member at the head: news of it has been told to nobody yet.
    void add(const vm_id &vm) { m_told[vm] = 0; }
    void remove(const vm_id &vm) { m_told.erase(vm); }
    /// Counts news that another node told as told: it spreads without this one.
    void heard(const vm_id &vm, std::uint32_t limit);
    [[nodiscard]] bool empty() const { return m_told.empty(); }
    [[nodiscard]] std::size_t size() const { return m_told.size(); }

    /// Returns up to `count` members, the least told first, and counts them as told once more;
    /// those told `limit` times are dropped.
    [[nodiscard]] std::vector<vm_id> take(std::size_t count, std::uint32_t limit);

private:
    std::map<vm_id, std::uint32_t> m_told;
};

/// Gives how often news is told by each node, so that it reaches all `members` with few misses:
/// logarithmic, with a factor for lost datagrams.
/// While there is much news the limit is lower, and synchronisation makes up for the misses.
[[nodiscard]] std::uint32_t retransmitLimit(std::size_t members, std::size_t news);

/// Lets a bounded number of bytes a second through, with a burst.
class byte_allowance
{
public:
    byte_allowance(std::size_t bytesPerSecond, std::size_t burst, steady_time now)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burst))
        , m_left(m_burst)
        , m_at(now)
    { }

    /// Tells whether anything may be sent now.
    [[nodiscard]] bool open(steady_time now);
    void spend(std::size_t bytes) { m_left -= static_cast<double>(bytes); }

private:
    double m_rate;
    double m_burst;
    double m_left;
    steady_time m_at;
};

} // namespace orchidlead
