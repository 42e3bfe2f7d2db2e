#include "standins/stage_work.h"

#include <algorithm>
#include <utility>

namespace orchidlead::standins {

stage_work::~stage_work()
{
    for (const auto &[id, work] : m_running)
        m_loop.cancelTimer(work.timer);
}

std::optional<work_id> stage_work::submit(work_item item)
{
    const bool full = m_running.size() >= m_options.capacity;
    if (full && m_queue.size() >= m_options.queue)
        return std::nullopt;
    const work_id id = ++m_lastId;
    m_queue.push_back({id, std::move(item)});
    startQueued();
    return id;
}

void stage_work::cancel(work_id id)
{
    if (const auto found = m_running.find(id); found != m_running.end()) {
        m_loop.cancelTimer(found->second.timer);
        m_running.erase(found);
        startQueued();
        return;
    }
    std::erase_if(m_queue, [id](const queued_work &work) { return work.id == id; });
}

work_load stage_work::load() const
{
    return {static_cast<std::uint32_t>(m_running.size()),
            static_cast<std::uint32_t>(m_queue.size()), m_options.capacity};
}

std::chrono::microseconds stage_work::drawServiceTime(std::size_t inputBytes)
{
    constexpr double BytesOfKib = 1024.0;
    const double mean = static_cast<double>(m_options.base.count())
        + static_cast<double>(m_options.perKib.count()) * static_cast<double>(inputBytes)
            / BytesOfKib;
    const double spread = std::lognormal_distribution<double>(0.0, m_options.sigma)(m_random);
    return std::chrono::microseconds{static_cast<std::int64_t>(mean * spread * m_slowness)};
}

void stage_work::startQueued()
{
    while (!m_queue.empty() && m_running.size() < m_options.capacity) {
        queued_work work = std::move(m_queue.front());
        m_queue.pop_front();
        if (work.item.deadline && *work.item.deadline <= m_clock.now())
            work.item.onEnd(work_end::TooLate);
        else
            start(std::move(work));
    }
}

void stage_work::start(queued_work work)
{
    const work_id id = work.id;
    const auto serviceTime = drawServiceTime(work.item.inputBytes);
    running_work &running = m_running[id];
    running.item = std::move(work.item);
    running.timer = m_loop.callAfter(serviceTime, [this, id] { finish(id); });
    if (running.item.onStart)
        running.item.onStart();
}

void stage_work::finish(work_id id)
{
    auto node = m_running.extract(id);
    startQueued();
    if (!node.empty())
        node.mapped().item.onEnd(work_end::Done);
}

} // namespace orchidlead::standins
