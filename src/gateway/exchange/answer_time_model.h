#pragma once

#include <orchidlead/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace orchidlead::gateway {

/// Estimates how long requests of a route take from their arrival to the end of their answer, by
/// the smoothed time and deviation of RFC 6298.
class answer_time_model
{
public:
    struct estimate
    {
        milliseconds average{0};
        milliseconds longest{0}; ///< few requests take longer
    };

    /// Records a request that was sent to a server; one that timed out counts with its timeout.
    void onEnd(const std::string &route, milliseconds took);
    /// Returns the estimate for a route; empty if too few of its requests were recorded.
    [[nodiscard]] std::optional<estimate> estimateFor(const std::string &route) const;

private:
    struct smoothed_time
    {
        double average = 0; ///< ms
        double deviation = 0; ///< ms
        std::uint32_t count = 0;
    };

    std::map<std::string, smoothed_time> m_times; ///< by route
};

} // namespace orchidlead::gateway
