#include "gateway/exchange/request_log.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

// Most lines per request. A request with four stages that are done twice and with attempts on two
// servers has 17 lines. Beyond the limit, only the end of the request is logged.
constexpr std::size_t MaxLinesPerRequest = 40;

} // namespace

void request_log::add(wire::log_line line)
{
    if (m_lines.size() < MaxLinesPerRequest)
        m_lines.push_back(std::move(line));
}

void request_log::write(wire::log &log)
{
    for (auto &line : std::exchange(m_lines, {}))
        log.write(wire::log_level::Info, std::move(line));
}

log_rate_limiter::log_rate_limiter(const clock_source &clock, std::uint32_t linesPerSecond)
    : m_clock(clock)
    , m_linesPerSecond(linesPerSecond)
{ }

bool log_rate_limiter::tryAcquire(std::size_t lines)
{
    const auto now = m_clock.now();
    if (now - m_secondStart >= std::chrono::seconds{1}) {
        m_secondStart = now;
        m_reservedLines = 0;
    }
    if (m_reservedLines + lines > m_linesPerSecond) {
        m_refusedLines += lines;
        return false;
    }
    m_reservedLines += lines;
    return true;
}

std::uint64_t log_rate_limiter::takeDroppedCount()
{
    return std::exchange(m_refusedLines, 0);
}

} // namespace orchidlead::gateway
