#pragma once

#include "standins/fault_schedule.h"
#include "standins/history_checker.h"

#include <string>
#include <vector>

namespace orchidlead::standins {

/// What a run says of one point.
struct point_report
{
    proof_point point = proof_point::ResultsBound;
    std::size_t histories = 0; ///< that could have shown a breach; without any it isn't held
    std::vector<proof_breach> breaches;

    [[nodiscard]] bool held() const { return histories > 0 && breaches.empty(); }
};

/// What a run says of all points.
struct proof_report
{
    std::vector<point_report> points;
    std::vector<disruption> disruptions;
    std::size_t held = 0;
    std::size_t broken = 0;
};

/// Checks the evidence.
[[nodiscard]] proof_report reportOf(const run_evidence &evidence,
                                    const std::vector<disruption> &disruptions);

/// Writes a line for each point, and below it its first breaches.
[[nodiscard]] std::string toText(const proof_report &report);

} // namespace orchidlead::standins
