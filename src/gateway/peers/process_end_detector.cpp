#include "gateway/peers/process_end_detector.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

process_end_detector::process_end_detector(const clock_source &clock, lookup_function lookup)
    : m_clock(clock)
    , m_lookup(std::move(lookup))
{ }

// A process that is already watched keeps the time of its next attempt, so that links that close in
// quick succession cause no more than one attempt per interval.
void process_end_detector::onLinkClosed(const peer_process &process)
{
    const auto now = m_clock.now();
    auto &entry = m_watches[process];
    entry.until = now + MaxWatchTime;
    entry.attempts = 0;
    entry.nextAttempt = std::max(entry.nextAttempt, now);
}

void process_end_detector::onConnectResult(const peer_process &process, connect_result result)
{
    const auto found = m_watches.find(process);
    if (found == m_watches.end())
        return;
    if (std::exchange(found->second.isConnecting, false))
        --m_openAttempts;
    if (result != connect_result::Refused)
        return;
    found->second.refusedAt = m_clock.now();
    found->second.isPinged = false;
}

// A datagram that arrives after the refusal is from a live process.
bool process_end_detector::hasEnded(watch &entry, const process_knowledge &known) const
{
    if (entry.refusedAt && known.lastReceivedAt > *entry.refusedAt)
        entry.refusedAt.reset();
    return known.hasEnded
        || (entry.refusedAt && m_clock.now() >= *entry.refusedAt + ConfirmationTime);
}

void process_end_detector::addActions(const peer_process &process, watch &entry,
                                      const process_knowledge &known, actions &out)
{
    if (!known.address)
        return;
    if (entry.refusedAt) {
        if (!std::exchange(entry.isPinged, true))
            out.pings.push_back(*known.address);
        return;
    }
    const auto now = m_clock.now();
    if (entry.isConnecting || entry.attempts >= MaxAttempts || now < entry.nextAttempt
        || m_openAttempts >= MaxOpenAttempts)
        return;
    ++entry.attempts;
    ++m_openAttempts;
    entry.isConnecting = true;
    entry.nextAttempt = now + AttemptInterval;
    out.connects.push_back({process, *known.address});
}

void process_end_detector::forget(const peer_process &process)
{
    const auto forgotten = m_watches.extract(process);
    if (!forgotten.empty() && forgotten.mapped().isConnecting)
        --m_openAttempts;
}

process_end_detector::actions process_end_detector::tick()
{
    actions out;
    for (auto &[process, entry] : m_watches) {
        const auto known = m_lookup(process);
        if (hasEnded(entry, known))
            out.ended.push_back(process);
        else if (m_clock.now() >= entry.until)
            out.undecided.push_back(process);
        else
            addActions(process, entry, known, out);
    }
    for (const auto &each : out.ended)
        forget(each);
    for (const auto &each : out.undecided)
        forget(each);
    return out;
}

} // namespace orchidlead::gateway
