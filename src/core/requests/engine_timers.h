#pragma once

#include <orchidlead/clock.h>

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace orchidlead {

enum class timer_kind {
    Deadline, ///< of the request
    LatestStart, ///< latest start of a queued stage
    AttemptTimeout,
    Hedge,
    Silence,
    Retry, ///< end of the backoff before another attempt
};

struct engine_timer
{
    steady_time at;
    std::uint64_t sequence = 0; ///< orders timers that are due at the same time
    timer_kind kind = timer_kind::Deadline;
    std::uint64_t request = 0;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
};

/// Queue of timers. Timers cannot be cancelled: the handler checks whether a due timer still
/// applies. No timer is later than its request's deadline by more than a retry backoff, which
/// bounds the number of obsolete ones.
class engine_timers
{
public:
    void add(engine_timer timer)
    {
        timer.sequence = ++m_sequence;
        m_timers.push(timer);
    }

    [[nodiscard]] std::optional<steady_time> next() const
    {
        if (m_timers.empty())
            return std::nullopt;
        return m_timers.top().at;
    }

    [[nodiscard]] std::optional<engine_timer> popDue(steady_time now)
    {
        if (m_timers.empty() || m_timers.top().at > now)
            return std::nullopt;
        const engine_timer due = m_timers.top();
        m_timers.pop();
        return due;
    }

    [[nodiscard]] std::size_t size() const { return m_timers.size(); }

private:
    struct later
    {
        bool operator()(const engine_timer &a, const engine_timer &b) const
        {
            return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
        }
    };

    std::priority_queue<engine_timer, std::vector<engine_timer>, later> m_timers;
    std::uint64_t m_sequence = 0;
};

} // namespace orchidlead
