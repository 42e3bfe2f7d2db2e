#pragma once

#include <orchidlead/clock.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace orchidlead::gateway {

/// Estimates the rate of events, or of amounts, by a count that decays exponentially.
class decaying_rate
{
public:
    /// Counts an event, or an amount of something. A negative amount takes back an earlier one.
    void onEvent(steady_time now, double amount = 1.0)
    {
        m_count = std::max(0.0, countAt(now) + amount);
        m_updatedAt = now;
    }
    /// Returns the rate per second.
    [[nodiscard]] double perSecond(steady_time now) const
    {
        return countAt(now) / TimeConstant.count();
    }

    /// Age at which an event counts for about a third. Short, because bursts start and end within
    /// seconds.
    static constexpr std::chrono::duration<double> TimeConstant{1.0};

private:
    [[nodiscard]] double countAt(steady_time now) const
    {
        const std::chrono::duration<double> elapsed = now - m_updatedAt;
        return m_count * std::exp(-elapsed / TimeConstant);
    }

    double m_count = 0;
    steady_time m_updatedAt{};
};

} // namespace orchidlead::gateway
