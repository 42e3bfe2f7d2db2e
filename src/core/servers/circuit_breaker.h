#pragma once

#include <orchidlead/clock.h>

#include <cstdint>
#include <vector>

namespace orchidlead {

/// Circuit breaker for a whole pool. While it is open, requests are refused immediately, and the
/// pool gets only a few probes instead of first tries and retries.
class circuit_breaker
{
public:
    /// Closes the breaker; returns whether it was open.
    bool onSuccess();

    /// Counts a failure of the server in `slot`, in a pool of `servers`; returns whether it opened
    /// the breaker. The breaker opens when most servers, or many, have failed without a success of
    /// the pool in between. It stays closed however often only a few of them fail.
    bool onFailure(std::uint32_t slot, std::uint32_t servers, steady_time now);

    [[nodiscard]] bool isOpen() const { return m_open; }

    /// Returns whether one request may be sent to the pool now as a probe, and if so counts it.
    [[nodiscard]] bool tryProbe(steady_time now);

    /// Time until the next probe, after which callers should retry.
    [[nodiscard]] milliseconds retryAfter(steady_time now) const;

private:
    bool m_open = false;
    std::uint32_t m_failures = 0; ///< consecutive, over all servers
    /// Slots that failed since the last success; bounded.
    std::vector<std::uint32_t> m_failedSlots;
    milliseconds m_probeInterval{0};
    steady_time m_nextProbe{};
};

} // namespace orchidlead
