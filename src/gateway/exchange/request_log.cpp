#include "gateway/exchange/request_log.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

// Most lines of one request: a request of four stages that is made again once and goes to two
// servers has 17. Beyond, only its end is logged.
constexpr std::size_t MaxLines = 40;

} // namespace

void request_log::add(wire::log_line line)
{
    if (m_lines.size() < MaxLines)
        m_lines.push_back(std::move(line));
}

void request_log::write(wire::log &log)
{
    for (auto &line : std::exchange(m_lines, {}))
        log.write(wire::log_level::Info, std::move(line));
}

line_allowance::line_allowance(const clock_source &clock, std::uint32_t linesPerSecond)
    : m_clock(clock)
    , m_perSecond(linesPerSecond)
{ }

bool line_allowance::tryTake(std::size_t lines)
{
    const auto now = m_clock.now();
    if (now - m_second >= std::chrono::seconds{1}) {
        m_second = now;
        m_taken = 0;
    }
    if (m_taken + lines > m_perSecond) {
        m_leftOut += lines;
        return false;
    }
    m_taken += lines;
    return true;
}

std::uint64_t line_allowance::takeLeftOut()
{
    return std::exchange(m_leftOut, 0);
}

} // namespace orchidlead::gateway
