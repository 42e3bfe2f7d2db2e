#pragma once

#include <chrono>
#include <ctime>

namespace orchidlead {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

/// Gives the time to every state machine of the library.
///
/// Two readings are needed: `now` orders events and carries deadlines and never goes back;
/// `wallNow` dates idempotency keys, which travel between machines. Their disagreement over an
/// interval is how a process notices that it was paused or that its wall clock was set.
class clock_source
{
public:
    virtual ~clock_source() = default;

    /// Monotonic time; counts pauses of the process and of the machine.
    [[nodiscard]] virtual steady_time now() const = 0;

    /// Time of day.
    [[nodiscard]] virtual wall_time wallNow() const = 0;
};

/// Reads the clocks of the operating system.
class system_clock_source final : public clock_source
{
public:
    // The steady clock stops while a machine is suspended: what a node read, believed and promised
    // before would seem as fresh after hours as it was then. The time since boot goes on, so that a
    // suspension is to a node what a pause of its process is.
    [[nodiscard]] steady_time now() const override
    {
        timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return steady_time(std::chrono::seconds{now.tv_sec}
                           + std::chrono::nanoseconds{now.tv_nsec});
    }
    [[nodiscard]] wall_time wallNow() const override { return std::chrono::system_clock::now(); }
};

/// Moves only when told to; for tests and for embedding in a simulation.
class manual_clock final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override { return m_now; }
    [[nodiscard]] wall_time wallNow() const override { return m_wall; }

    /// Moves both clocks forward.
    void advance(std::chrono::nanoseconds by)
    {
        m_now += std::chrono::duration_cast<steady_time::duration>(by);
        m_wall += std::chrono::duration_cast<wall_time::duration>(by);
    }

    /// Shifts the time of day alone, as a skewed or corrected machine clock would.
    void skewWall(std::chrono::nanoseconds by)
    {
        m_wall += std::chrono::duration_cast<wall_time::duration>(by);
    }

private:
    // Both start well after the epoch, so that tests may subtract from them.
    steady_time m_now{std::chrono::hours{24}};
    wall_time m_wall{std::chrono::hours{24 * 365 * 50}};
};

} // namespace orchidlead
