#include "standins/engine_work.h"

#include <algorithm>
#include <utility>

namespace orchidlead::standins {

namespace {

constexpr std::size_t BytesOfToken = 4;

} // namespace

engine_work::~engine_work()
{
    if (m_stepping)
        m_loop.cancelTimer(m_timer);
}

std::optional<work_id> engine_work::submit(work_item item)
{
    if (m_running.size() >= m_options.capacity && m_waiting.size() >= m_options.queue)
        return std::nullopt;
    sequence waiting;
    waiting.id = ++m_lastId;
    waiting.tokensLeft = std::max(1U, item.tokens);
    waiting.item = std::move(item);
    const auto after =
        std::find_if(m_waiting.begin(), m_waiting.end(), [&waiting](const sequence &other) {
            return other.item.priority > waiting.item.priority;
        });
    const work_id id = waiting.id;
    m_waiting.insert(after, std::move(waiting));
    if (!m_stepping)
        startStep();
    return id;
}

void engine_work::cancel(work_id id)
{
    const auto isIt = [id](const sequence &one) { return one.id == id; };
    m_running.remove_if(isIt);
    m_waiting.remove_if(isIt);
}

work_load engine_work::load() const
{
    return {static_cast<std::uint32_t>(m_running.size()),
            static_cast<std::uint32_t>(m_waiting.size()), m_options.capacity};
}

void engine_work::joinBatch()
{
    while (!m_waiting.empty() && m_running.size() < m_options.capacity) {
        sequence next = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (next.item.deadline && *next.item.deadline <= m_clock.now())
            next.item.onEnd(work_end::TooLate);
        else
            join(std::move(next));
    }
}

void engine_work::join(sequence waiting)
{
    const std::size_t cached = m_cache.use(waiting.item.prompt);
    const std::size_t bytes = waiting.item.prompt.size() - cached;
    waiting.prefillLeft = static_cast<std::uint32_t>(bytes / BytesOfToken);
    m_running.push_back(std::move(waiting));
    if (m_running.back().item.onStart)
        m_running.back().item.onStart();
}

std::chrono::microseconds engine_work::planStep()
{
    std::uint32_t prefill = 0;
    for (sequence &one : m_running) {
        const std::uint32_t room = m_options.prefillTokensOfStep - prefill;
        const std::uint32_t part = std::min(room, one.prefillLeft);
        one.prefillLeft -= part;
        prefill += part;
        one.stepped = one.prefillLeft == 0;
    }
    const auto others = static_cast<std::int64_t>(m_running.size()) - 1;
    const auto step =
        m_options.baseStep + m_options.perSequence * others + m_options.perPromptToken * prefill;
    return std::chrono::microseconds{
        static_cast<std::int64_t>(static_cast<double>(step.count()) * m_slowness)};
}

void engine_work::startStep()
{
    joinBatch();
    m_stepping = !m_running.empty();
    if (m_stepping)
        m_timer = m_loop.callAfter(planStep(), [this] { finishStep(); });
}

void engine_work::finishStep()
{
    std::vector<work_id> stepped;
    for (const sequence &one : m_running) {
        if (one.stepped)
            stepped.push_back(one.id);
    }
    for (const work_id id : stepped)
        advance(id);
    startStep();
}

// Looks the sequence up each time: what is reported may cancel any of them.
void engine_work::advance(work_id id)
{
    auto found = findRunning(id);
    if (found == m_running.end())
        return;
    --found->tokensLeft;
    const bool last = found->tokensLeft == 0;
    if (const auto onToken = found->item.onToken)
        onToken();
    if (!last)
        return;
    found = findRunning(id);
    if (found == m_running.end())
        return;
    const auto onEnd = std::move(found->item.onEnd);
    m_running.erase(found);
    onEnd(work_end::Done);
}

std::list<engine_work::sequence>::iterator engine_work::findRunning(work_id id)
{
    return std::find_if(m_running.begin(), m_running.end(),
                        [id](const sequence &one) { return one.id == id; });
}

} // namespace orchidlead::standins
