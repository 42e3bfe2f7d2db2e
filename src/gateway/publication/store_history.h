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

/// A change of an entry that was recent when a node read it: the server was leaving or cold.
struct recent_change
{
    std::uint64_t revision = 0; ///< 0: there was none
    wall_time readAt;
};

/// Returns when each server was ready, from the time at which the history begins. A server that has
/// left and whose entry the history doesn't show may have been of any service and version.
///
/// Empty if the store has dropped changes since `since`: a server is younger than that, and its
/// entry isn't among the changes, or a change that was recent since then isn't.
[[nodiscard]] std::optional<std::vector<earlier_ready_time>>
readyTimesOf(const store_history &history, wall_time since, const recent_change &recent = {});

} // namespace orchidlead::gateway
