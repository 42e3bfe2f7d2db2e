#include "core/node/planned_stop.h"

namespace orchidlead {

namespace {

// Time for the answers of requests that end at their deadline.
constexpr milliseconds DeadlineGrace{1000};

} // namespace

planned_stop::planned_stop(const planned_stop_options &options, const clock_source &clock)
    : m_options(options)
    , m_clock(clock)
{ }

void planned_stop::begin()
{
    if (m_phase == stop_phase::Running)
        enter(stop_phase::Noticing);
}

std::optional<stop_phase> planned_stop::tick(const stop_progress &progress)
{
    if (!phaseOver(progress))
        return std::nullopt;
    switch (m_phase) {
    case stop_phase::Noticing:
        enter(stop_phase::Draining);
        break;
    case stop_phase::Draining:
        enter(stop_phase::Closing);
        break;
    default:
        enter(stop_phase::Stopped);
        break;
    }
    return m_phase;
}

// An idle node waits for the whole notice period too, because the load balancer may still send
// requests. Every request ends by its deadline, so waiting for the last deadline cuts off no
// request, however short the drain time is set.
bool planned_stop::phaseOver(const stop_progress &progress) const
{
    const auto elapsed = m_clock.now() - m_phaseStart;
    switch (m_phase) {
    case stop_phase::Noticing:
        return elapsed >= m_options.notice;
    case stop_phase::Draining:
        if (progress.idle)
            return progress.keysHandedOver || elapsed >= m_options.drain;
        return elapsed >= m_options.drain && m_clock.now() >= progress.lastDeadline + DeadlineGrace;
    case stop_phase::Closing:
        return progress.connectionsClosed || elapsed >= m_options.close;
    case stop_phase::Running:
    case stop_phase::Stopped:
        break;
    }
    return false;
}

void planned_stop::enter(stop_phase phase)
{
    m_phase = phase;
    m_phaseStart = m_clock.now();
}

} // namespace orchidlead
