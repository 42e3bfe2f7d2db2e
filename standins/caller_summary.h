#pragma once

#include "standins/caller_record.h"

#include <string>
#include <vector>

namespace orchidlead::standins {

/// Writes a table with a line for each class of requests: how they ended, and how long answers
/// took.
[[nodiscard]] std::string summaryByClass(const std::vector<caller_record> &records);

/// Writes a table with a line for each stage: attempts, hedges, times and cost.
[[nodiscard]] std::string summaryByStage(const std::vector<caller_record> &records);

/// Writes a line for each reason for which requests of a class went without an answer.
[[nodiscard]] std::string summaryOfReasons(const std::vector<caller_record> &records);

/// Counts how requests ended.
struct caller_totals
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t attained = 0; ///< whole and within the deadline
    std::size_t notRun = 0;
    std::size_t failed = 0;
    std::size_t unknown = 0;
    std::size_t expired = 0;
    std::size_t lost = 0;
    std::size_t foreign = 0;
    std::size_t incomplete = 0; ///< incomplete, malformed or changed answers
};

[[nodiscard]] caller_totals countEnds(const std::vector<caller_record> &records);

} // namespace orchidlead::standins
