#pragma once

#include "gateway/codec.h"
#include "gateway/servers/version_history.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// The list of servers and the changes that led to it, as far back as the store keeps them.
struct store_history
{
    std::vector<published_item> present;
    std::vector<published_item> changes; ///< oldest first
    std::uint64_t after = 0; ///< revision after which all changes are included
    bool isWhole = false; ///< nothing happened before
};

/// Changes of each service beyond this number are not reconstructed.
inline constexpr std::size_t MaxReconstructedChanges = 2048;

/// Returns the shares that were published at some time since `since`, if the history reaches back
/// so far. Servers that have left and whose version the history doesn't show count as unknown.
///
/// Empty if the store has dropped the changes of that time, which is known if an entry is younger
/// than `since` and its creation isn't among the changes, or if there are too many changes.
[[nodiscard]] std::optional<earlier_shares> sharesSince(const store_history &history,
                                                        wall_time since);

} // namespace orchidlead::gateway
