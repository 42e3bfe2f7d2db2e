#pragma once

#include <cstddef>

/// Counts the heap of the program that links this unit.
namespace orchidlead::bench {

/// Bytes that are allocated now, as the allocator rounds them.
[[nodiscard]] std::size_t liveBytes();
/// Most bytes that were allocated at one time since `resetPeak`.
[[nodiscard]] std::size_t peakBytes();
void resetPeak();

/// Processor time of this process, in seconds.
[[nodiscard]] double processorSeconds();

} // namespace orchidlead::bench
