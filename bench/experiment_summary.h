#pragma once

#include "bench/experiment.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace orchidlead::bench {

/// The figures of one run. Requests count where they began.
struct experiment_summary
{
    experiment setup;
    std::size_t sent = 0; ///< in the disturbed time, as are the next five
    std::size_t attained = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t lost = 0; ///< without any outcome
    double smallAttainment = 0; ///< of the small customers
    double attainmentBefore = 0; ///< of requests that the disturbance didn't meet
    milliseconds p50{0}; ///< of answers
    milliseconds p99{0};
    double refusalWait =
        0; ///< 99th percentile of the time to an end without attainment, in deadlines
    double engineRate = 0; ///< runs that the engines finished, a second
    double attainedEngineRate =
        0; ///< requests attained that need an engine, a second, at their end
    std::size_t attempts = 0; ///< of all stages, as the answers say; refused connections count
    std::size_t firstTries = 0; ///< of these
    double busyMs = 0; ///< cost: time of the backend servers, whole run
    double missedBusyMs = 0; ///< cost of requests that missed their deadline, whole run
    std::size_t sentInAll = 0;
    milliseconds recovery{0}; ///< until attainment was back to within a point of before

    [[nodiscard]] double attainment() const;
    [[nodiscard]] double missedShare() const { return 1.0 - attainment(); }
    /// Milliseconds of backend servers for each request sent.
    [[nodiscard]] double cost() const;
    [[nodiscard]] double missedCostShare() const;
    [[nodiscard]] double attemptsPerFirstTry() const;
};

[[nodiscard]] experiment_summary summarise(const experiment_record &record);

/// One point of the course of a run.
struct course_point
{
    milliseconds at{0}; ///< since the first request
    std::size_t sent = 0;
    double attainment = 0;
    milliseconds p95{0}; ///< of answers
};

/// Gives a point for each half second.
[[nodiscard]] std::vector<course_point> courseOf(const experiment_record &record);

/// Gives the middle value and the distance between the least and the greatest.
struct median_spread
{
    double median = 0;
    double spread = 0;
};

[[nodiscard]] median_spread medianSpread(std::vector<double> values);

} // namespace orchidlead::bench
