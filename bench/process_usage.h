#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>

namespace orchidlead::bench {

/// Processor time that a process has used so far, user and system together.
[[nodiscard]] std::chrono::milliseconds processorTime(pid_t process);

/// Memory of a process that is resident now, in KiB.
[[nodiscard]] std::size_t residentKib(pid_t process);

} // namespace orchidlead::bench
