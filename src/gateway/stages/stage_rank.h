#pragma once

#include <compare>
#include <cstdint>

namespace orchidlead::gateway {

/// Precedence of a request at stage pools. Requests of equal rank are ordered by their target
/// times.
struct stage_rank
{
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t routePriority = 0; ///< breaks ties between equal priorities

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const stage_rank &, const stage_rank &) = default;
};

} // namespace orchidlead::gateway
