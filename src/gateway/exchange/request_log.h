#pragma once

#include "wire/log.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace orchidlead::gateway {

/// The log lines about the decisions on one request, each with the time of its decision. They are
/// kept until the end of the request tells whether they are needed.
class request_log
{
public:
    void add(wire::log_line line);
    /// Writes the lines in their order.
    void write(wire::log &log);
    [[nodiscard]] std::size_t size() const { return m_lines.size(); }

private:
    std::vector<wire::log_line> m_lines;
};

/// Bounds how many lines about requests that went well are written in a second. Requests that
/// didn't go well aren't bounded by it.
class line_allowance
{
public:
    line_allowance(const clock_source &clock, std::uint32_t linesPerSecond);

    /// Takes so many lines, all or none.
    [[nodiscard]] bool tryTake(std::size_t lines);
    /// Lines that weren't written since the last call.
    [[nodiscard]] std::uint64_t takeLeftOut();

private:
    const clock_source &m_clock;
    std::uint32_t m_perSecond;
    steady_time m_second{}; ///< when the current second began
    std::size_t m_taken = 0; ///< in it
    std::uint64_t m_leftOut = 0;
};

} // namespace orchidlead::gateway
