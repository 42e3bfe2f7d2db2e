#pragma once

#include "standins/fault_schedule.h"
#include "standins/history_checker.h"

#include <string>
#include <vector>

namespace orchidlead::standins {

/// One guard that is taken out of a test build of the daemon, and the breach that has to show.
struct negative_case
{
    std::string guard; ///< the test build is `orchidleadd-without-<guard>`
    breach_kind expected = breach_kind::Lost;
    std::vector<disruption> schedule; ///< that provokes the breach
    milliseconds length{8000};
};

[[nodiscard]] std::vector<negative_case> negativeCases();

} // namespace orchidlead::standins
