#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>

namespace orchidlead::gateway {

/// Precedence of a request at stage pools. Requests of equal rank are ordered by their target
/// times.
struct stage_rank
{
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t routePriority = 0; ///< breaks ties between equal priorities, as `rankOf` sets it

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const stage_rank &, const stage_rank &) = default;
};

/// Returns the rank of a request. One that continues a stream precedes new ones of equal priority:
/// its client has waited before and has less time left, and without it what the client has is lost.
[[nodiscard]] constexpr stage_rank rankOf(std::uint32_t priority, std::uint32_t routePriority,
                                          bool continuesStream)
{
    constexpr auto MaxRoutePriority = std::numeric_limits<std::uint32_t>::max() / 2;
    return {priority, 2 * std::min(routePriority, MaxRoutePriority) + (continuesStream ? 0 : 1)};
}

} // namespace orchidlead::gateway
