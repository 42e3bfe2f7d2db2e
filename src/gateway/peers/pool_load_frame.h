#pragma once

#include "gateway/stages/pool_load_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace orchidlead::gateway {

/// Reports the load of a stage pool that the sender hosts; the receiver hosts another pool of the
/// service in the same region.
struct pool_load_frame
{
    pool_load load;
};

/// Fields of a `pool_load_frame` in the order in which they are encoded: service, data centre and
/// region of the pool, waiting pieces, idle servers, pieces per second, free bytes of results, and
/// for each rank its priority, its route priority and the wait in ms.
using pool_load_fields =
    std::tuple<std::string, std::string, std::string, std::uint32_t, std::uint32_t, double,
               std::uint64_t, std::vector<std::tuple<std::uint32_t, std::uint32_t, std::int64_t>>>;

/// Upper limit of the number of ranks in a report. Requests have at most a few priorities.
inline constexpr std::size_t MaxReportedRanks = 64;

[[nodiscard]] pool_load_fields toFields(const pool_load_frame &frame);
/// Returns nothing if a field has no valid value.
[[nodiscard]] std::optional<pool_load_frame> poolLoadFrameOf(const pool_load_fields &fields);

} // namespace orchidlead::gateway
