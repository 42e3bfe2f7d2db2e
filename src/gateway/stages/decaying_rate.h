#pragma once

#include <orchidlead/clock.h>

#include <chrono>
#include <cmath>

namespace orchidlead::gateway {

/// How often something happens, by an average in which the past fades.
class decaying_rate
{
public:
    void onEvent(steady_time now)
    {
        m_count = countAt(now) + 1.0;
        m_at = now;
    }
    /// Events a second.
    [[nodiscard]] double perSecond(steady_time now) const { return countAt(now) / Memory.count(); }

private:
    /// What happened so long ago counts for a third: bursts begin and end within seconds.
    static constexpr std::chrono::duration<double> Memory{1.0};

    [[nodiscard]] double countAt(steady_time now) const
    {
        const std::chrono::duration<double> passed = now - m_at;
        return m_count * std::exp(-passed / Memory);
    }

    double m_count = 0;
    steady_time m_at{};
};

} // namespace orchidlead::gateway
