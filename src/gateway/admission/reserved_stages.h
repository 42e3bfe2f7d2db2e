#pragma once

#include "gateway/admission/stage_reservations.h"
#include "gateway/exchange/latency_estimator.h"

#include <map>
#include <vector>

namespace orchidlead::gateway {

/// Returns the places that a request needs, by pool, if its first stages start now.
/// `objectiveLeft` is the time left of its latency objective. `defersLeafStages`: stages without
/// dependents start late, as in `stage_progress::takeReadyPieces`.
[[nodiscard]] std::map<pool_key, std::vector<reserved_stage>>
reservedStagesOf(const request_outline &request, const latency_estimator &estimator,
                 std::chrono::microseconds objectiveLeft, bool defersLeafStages);

} // namespace orchidlead::gateway
