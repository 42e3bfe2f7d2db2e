#pragma once

#include <orchidlead/clock.h>

#include <cstdint>
#include <optional>

namespace orchidlead::gateway {

/// The time that work takes on a server's machine, as the server reported it.
struct reported_time
{
    std::uint32_t percent = 100; ///< of the usual time
    steady_time at{}; ///< when the server reported it
};

/// Returns the factor by which work takes longer than usual according to a report: the reported
/// one while the report is new, 1 when it has expired.
[[nodiscard]] double reportedTimeFactor(const std::optional<reported_time> &report,
                                        steady_time now);

/// Learns how long the work of one start of a server takes in relation to the expected time, from
/// its recent calls.
class server_speed
{
public:
    /// Records a call: `ratio` is its actual time divided by the expected one.
    void onCall(double ratio, steady_time now);
    /// Returns the factor by which work takes longer than expected; 1 if no call is recent.
    [[nodiscard]] double timeFactor(steady_time now) const;

private:
    double m_ratio = 1.0; ///< moving average at the time of the last call
    steady_time m_lastCall{};
};

} // namespace orchidlead::gateway
