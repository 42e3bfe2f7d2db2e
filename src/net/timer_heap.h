#pragma once

#include "net/event_loop.h"

#include <orchidlead/clock.h>

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead::net {

/// A queue of tasks ordered by due time. Adding costs O(log n), cancelling O(1) on average.
class timer_heap
{
public:
    timer_id add(steady_time due, std::function<void()> task);
    void cancel(timer_id timer);

    /// When the next task is due.
    [[nodiscard]] std::optional<steady_time> next();
    /// Removes and returns one task that is due by `now`; empty if there is none.
    [[nodiscard]] std::function<void()> takeDue(steady_time now);

    /// Removes and returns all tasks, in no order. Their ids are not used again.
    [[nodiscard]] std::unordered_map<timer_id, std::function<void()>> takeAll();

    /// Number of timers that have neither run nor been cancelled.
    [[nodiscard]] std::size_t size() const { return m_tasks.size(); }
    /// Number of heap entries, including those of cancelled timers.
    [[nodiscard]] std::size_t entries() const { return m_heap.size(); }

private:
    struct entry
    {
        steady_time due;
        timer_id id;
    };

    static bool later(const entry &a, const entry &b);
    void dropCancelledTop();
    void compact();

    std::vector<entry> m_heap; ///< may hold cancelled entries
    std::unordered_map<timer_id, std::function<void()>> m_tasks;
    timer_id m_lastId = 0;
};

} // namespace orchidlead::net
