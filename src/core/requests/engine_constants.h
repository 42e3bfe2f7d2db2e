#pragma once

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>

namespace orchidlead {

/// Tunables of the request engine that are not settings.
namespace engine_constants {
/// Length of the input prefix that is hashed for prefix-aware routing.
inline constexpr std::size_t HashedPrefixBytes = 256;
/// With a longer smoothed wait in a pool's queue, all attempts are sent with high priority.
inline constexpr double SignificantQueueWaitMs = 20.0;
/// One in this many requests whose estimated time exceeds the time left is admitted nevertheless.
inline constexpr std::uint64_t ExplorationInterval = 16;
inline constexpr milliseconds MinRetryAfter{100};
inline constexpr milliseconds MaxRetryAfter{10'000};
} // namespace engine_constants

} // namespace orchidlead
