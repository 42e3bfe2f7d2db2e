#pragma once

#include <cstddef>

/// Counts the heap and the processor time of each thread of the program that links this unit.
namespace orchidlead::bench {

/// Bytes that this thread has allocated now, as the allocator rounds them.
[[nodiscard]] std::size_t liveBytes();
/// Most bytes that it had allocated at one time since `resetPeak`.
[[nodiscard]] std::size_t peakBytes();
void resetPeak();

/// Processor time of this thread, in seconds.
[[nodiscard]] double processorSeconds();

} // namespace orchidlead::bench
