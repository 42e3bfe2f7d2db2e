#include "net/timer_heap.h"

#include <algorithm>
#include <utility>

namespace orchidlead::net {

namespace {

// Smaller heaps are not compacted, since it would not pay off.
constexpr std::size_t MinCompactSize = 64;

} // namespace

timer_id timer_heap::add(steady_time due, std::function<void()> task)
{
    const timer_id id = ++m_lastId;
    m_tasks.emplace(id, std::move(task));
    m_heap.push_back({due, id});
    std::push_heap(m_heap.begin(), m_heap.end(), later);
    return id;
}

// The entry stays in the heap until it reaches the top or until more than half of the entries are
// cancelled. Most timers are cancelled long before they are due, and this avoids a search for each.
void timer_heap::cancel(timer_id timer)
{
    if (m_tasks.erase(timer) == 0)
        return;
    if (m_heap.size() > MinCompactSize && m_heap.size() > 2 * m_tasks.size())
        compact();
}

std::optional<steady_time> timer_heap::next()
{
    dropCancelledTop();
    if (m_heap.empty())
        return std::nullopt;
    return m_heap.front().due;
}

std::function<void()> timer_heap::takeDue(steady_time now)
{
    const auto due = next();
    if (!due || *due > now)
        return {};
    auto node = m_tasks.extract(m_heap.front().id);
    std::pop_heap(m_heap.begin(), m_heap.end(), later);
    m_heap.pop_back();
    return std::move(node.mapped());
}

// Timers that are due at the same time run in the order in which they were added.
bool timer_heap::later(const entry &a, const entry &b)
{
    if (a.due != b.due)
        return a.due > b.due;
    return a.id > b.id;
}

void timer_heap::dropCancelledTop()
{
    while (!m_heap.empty() && !m_tasks.contains(m_heap.front().id)) {
        std::pop_heap(m_heap.begin(), m_heap.end(), later);
        m_heap.pop_back();
    }
}

void timer_heap::compact()
{
    std::erase_if(m_heap, [this](const entry &e) { return !m_tasks.contains(e.id); });
    std::make_heap(m_heap.begin(), m_heap.end(), later);
}

std::unordered_map<timer_id, std::function<void()>> timer_heap::takeAll()
{
    m_heap.clear();
    return std::exchange(m_tasks, {});
}

} // namespace orchidlead::net
