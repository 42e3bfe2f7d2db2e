#pragma once

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>

namespace orchidlead {

/// Tunables of the request engine that no installation needs to change.
namespace engine_constants {
inline constexpr std::size_t PrefixBytes = 256;
inline constexpr double NoticeableWait = 20.0; ///< ms
inline constexpr std::uint64_t ExploreEvery = 16;
inline constexpr milliseconds ShortestRetryAfter{100};
inline constexpr milliseconds LongestRetryAfter{10'000};
} // namespace engine_constants

} // namespace orchidlead
