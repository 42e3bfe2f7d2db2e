#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace orchidlead::gateway {

/// The load that the requests with a shared part cause at the engines that keep the part, as a
/// moving average over a few seconds; for a limited number of parts.
class part_loads
{
public:
    using seconds = std::chrono::duration<double>;
    /// Most parts that have a load. Those without a request for the longest time are dropped.
    static constexpr std::size_t MaxParts = 4096;

    explicit part_loads(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Records a request that occupies an engine for `work`. Returns the load of the part,
    /// including this request: 1 if its requests occupy one engine all the time.
    double onRequest(const service_id &service, const std::string &part, seconds work);

private:
    struct part_load
    {
        double work = 0; ///< s; decays
        steady_time lastRequest{};
    };

    void dropOldParts();

    const clock_source &m_clock;
    std::unordered_map<std::string, part_load> m_parts; ///< by service and part
};

} // namespace orchidlead::gateway
