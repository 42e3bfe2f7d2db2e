#pragma once

#include "bench/experiment_summary.h"

#include <string>
#include <vector>

namespace orchidlead::bench {

/// One target and what the runs gave for it.
struct target_result
{
    std::string name;
    std::string value; ///< with its bound
    bool met = false;
};

/// Judges the targets for which there are runs; each figure is a median over seeds, with its
/// spread.
[[nodiscard]] std::vector<target_result>
judgeTargets(const std::vector<experiment_summary> &summaries);

} // namespace orchidlead::bench
