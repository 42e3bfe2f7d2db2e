#pragma once

#include "bench/experiment_summary.h"

#include <string>
#include <vector>

namespace orchidlead::bench {

/// A run's figures and course.
struct finished_experiment
{
    experiment_summary summary;
    std::vector<course_point> course;
};

/// Writes summary.csv, summary.json, course.csv and the plots into a directory, which is made;
/// false where that fails.
[[nodiscard]] bool writeFiles(const std::string &directory,
                              const std::vector<finished_experiment> &experiments);

/// Gives one line of figures, for people who wait.
[[nodiscard]] std::string progressLine(const experiment_summary &summary);

} // namespace orchidlead::bench
