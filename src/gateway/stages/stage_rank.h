#pragma once

#include <compare>
#include <cstdint>

namespace orchidlead::gateway {

/// Requests that wait in the same order at stage pools.
struct stage_rank
{
    std::uint32_t priority = 0; ///< 0: the most urgent
    std::uint32_t routePriority = 0; ///< decides between equal priorities

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const stage_rank &, const stage_rank &) = default;
};

} // namespace orchidlead::gateway
