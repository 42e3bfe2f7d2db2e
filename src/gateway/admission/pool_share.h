#pragma once

#include "gateway/admission/overload_order.h"
#include "gateway/admission/stage_reservations.h"

#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// Returns what a query requests of a pool, in time of the whole pool. `pool` has one estimate for
/// each stage of the query; `answer` is the decision on its places. Empty if the pool gets no work
/// now.
[[nodiscard]] std::optional<overload_query> overloadQueryOf(const reservation_query &query,
                                                            const std::vector<pool_estimate> &pool,
                                                            const reservation_answer &answer);

} // namespace orchidlead::gateway
