#pragma once

#include <chrono>
#include <ctime>

namespace orchidlead {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

/// Clock of all state machines of the library.
///
/// `now` is monotonic and used for the order of events and for deadlines. `wallNow` dates
/// idempotency keys, which are exchanged between machines. If the two advance by different amounts,
/// the process was paused or its wall clock was set.
class clock_source
{
public:
    virtual ~clock_source() = default;

    /// Returns monotonic time, which includes pauses of the process and of the machine.
    [[nodiscard]] virtual steady_time now() const = 0;

    /// Returns the time of day.
    [[nodiscard]] virtual wall_time wallNow() const = 0;
};

/// Reads the clocks of the operating system.
class system_clock_source final : public clock_source
{
public:
    // CLOCK_MONOTONIC stops while the machine is suspended, so state and leases from before a
    // suspension of hours would still seem recent. CLOCK_BOOTTIME continues, so that a node handles
    // a suspension like a pause of its process.
    [[nodiscard]] steady_time now() const override
    {
        timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return steady_time(std::chrono::seconds{now.tv_sec}
                           + std::chrono::nanoseconds{now.tv_nsec});
    }
    [[nodiscard]] wall_time wallNow() const override { return std::chrono::system_clock::now(); }
};

/// Clock that the caller advances, for tests and simulations.
class manual_clock final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override { return m_now; }
    [[nodiscard]] wall_time wallNow() const override { return m_wall; }

    /// Advances both clocks.
    void advance(std::chrono::nanoseconds by)
    {
        m_now += std::chrono::duration_cast<steady_time::duration>(by);
        m_wall += std::chrono::duration_cast<wall_time::duration>(by);
    }

    /// Shifts only the time of day, as on a machine with a wrong or adjusted clock.
    void shiftWallClock(std::chrono::nanoseconds by)
    {
        m_wall += std::chrono::duration_cast<wall_time::duration>(by);
    }

private:
    // Both start well after the epoch, so that tests can subtract from them.
    steady_time m_now{std::chrono::hours{24}};
    wall_time m_wall{std::chrono::hours{24 * 365 * 50}};
};

} // namespace orchidlead
