#include "gateway/servers/server_speed.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Weight of the newest call in the moving average. An engine of 90 reads about one long prompt per
// second, so three calls have to be enough to know its speed.
constexpr double NewestCallWeight = 0.4;
// Time in which the average returns to 1: a server that got no work for this time may be as fast as
// any other.
constexpr std::chrono::duration<double> Lifetime = std::chrono::seconds{5};
// Range of the ratio of one call. Servers run at 0.6 to 1.6 times the nominal speed, and noisy
// neighbours slow a VM down by a factor of 2.5. A call outside of the range had another cause, such
// as a lost packet.
constexpr double MinRatio = 0.4;
constexpr double MaxRatio = 5.0;
// Noisy neighbours slow a VM down for 0.6 s. The weight of a report decreases to 0 in half of that.
constexpr std::chrono::duration<double> ReportLifetime = milliseconds{300};
// Range of the reported percentage; the value 0 can't be true.
constexpr double MinReportedFactor = 0.2;
constexpr double MaxReportedFactor = 10.0;

/// Returns the share of a lifetime that is left; 0 to 1.
double shareLeft(steady_time since, steady_time now, std::chrono::duration<double> lifetime)
{
    const std::chrono::duration<double> age = now - since;
    return std::clamp(1.0 - age / lifetime, 0.0, 1.0);
}

} // namespace

double reportedTimeFactor(const std::optional<reported_time> &report, steady_time now)
{
    if (!report || report->percent == 0)
        return 1.0;
    const double factor = std::clamp(report->percent / 100.0, MinReportedFactor, MaxReportedFactor);
    return 1.0 + (factor - 1.0) * shareLeft(report->at, now, ReportLifetime);
}

void server_speed::onCall(double ratio, steady_time now)
{
    const double before = timeFactor(now);
    m_ratio = before + NewestCallWeight * (std::clamp(ratio, MinRatio, MaxRatio) - before);
    m_lastCall = now;
}

double server_speed::timeFactor(steady_time now) const
{
    return 1.0 + (m_ratio - 1.0) * shareLeft(m_lastCall, now, Lifetime);
}

} // namespace orchidlead::gateway
