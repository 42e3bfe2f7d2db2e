#pragma once

#include <orchidlead/clock.h>

#include <cstdint>
#include <vector>

namespace orchidlead {

/// Notices that a whole pool fails, so that callers are told at once and the pool gets only a
/// few probes instead of first tries and retries.
class pool_breaker
{
public:
    /// Closes the breaker; returns whether it was open.
    bool onSuccess();

    /// Counts a failure of a server, by its slot, in a pool of `servers`; returns whether this one
    /// opened the breaker. It opens when most servers, or many, have failed without any success of
    /// the pool in between; however often a few of them fail, it stays closed.
    bool onFailure(std::uint32_t slot, std::uint32_t servers, steady_time now);

    [[nodiscard]] bool isOpen() const { return m_open; }

    /// Tells whether one request may be let through now to see how the pool is, and if so counts
    /// it as that probe.
    [[nodiscard]] bool tryProbe(steady_time now);

    /// Gives the time until the next probe; how long callers should stay away.
    [[nodiscard]] milliseconds retryAfter(steady_time now) const;

private:
    bool m_open = false;
    std::uint32_t m_failures = 0; ///< in a row, over all servers
    std::vector<std::uint32_t> m_failed; ///< slots that failed since the last success; bounded
    milliseconds m_interval{0}; ///< between probes
    steady_time m_nextProbe{};
};

} // namespace orchidlead
