#pragma once

#include "wire/log.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace orchidlead::gateway {

/// Buffers the log lines about the decisions on one request, each with the time of its decision,
/// until the outcome of the request shows whether they are needed.
class request_log
{
public:
    void add(wire::log_line line);
    /// Writes the buffered lines in order and clears the buffer.
    void write(wire::log &log);
    [[nodiscard]] std::size_t size() const { return m_lines.size(); }

private:
    std::vector<wire::log_line> m_lines;
};

/// Limits the number of log lines per second about successful requests. Lines about other requests
/// are not limited.
class log_rate_limiter
{
public:
    log_rate_limiter(const clock_source &clock, std::uint32_t linesPerSecond);

    /// Reserves `lines` lines of the current second. Returns false and reserves none if they exceed
    /// the limit.
    [[nodiscard]] bool tryAcquire(std::size_t lines);
    /// Returns the number of lines that were refused since the last call.
    [[nodiscard]] std::uint64_t takeDroppedCount();

private:
    const clock_source &m_clock;
    std::uint32_t m_linesPerSecond;
    steady_time m_secondStart{}; ///< start of the current second
    std::size_t m_reservedLines = 0; ///< lines in the current second
    std::uint64_t m_refusedLines = 0;
};

} // namespace orchidlead::gateway
