#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of `exchange` that tries other servers while the one that has the request is silent.
///
/// A silent server may go on at any time, and another one may be silent, full or unreachable, so
/// the call to the silent one stays open until another answer has bytes for the client. Until then
/// each failure of the replacement leads back to it.
namespace orchidlead::gateway {

// The timer keeps running while the answer arrives, and checks the time since its last bytes.
template <gateway_codec Codec>
void exchange<Codec>::startIdleTimer(milliseconds limit)
{
    m_context.loop.cancelTimer(m_idleTimer);
    m_idleTimer = m_context.loop.callAfter(limit, [self = this->shared_from_this()] {
        self->m_idleTimer = 0;
        self->onIdleTimer();
    });
}

template <gateway_codec Codec>
milliseconds exchange<Codec>::idleLimit() const
{
    if (!m_headSent)
        return unansweredLimit();
    return std::max(MinStreamIdleTime, 2 * m_route->pauseObjective.value_or(objectiveLimit()));
}

template <gateway_codec Codec>
void exchange<Codec>::onIdleTimer()
{
    if (m_done || m_current.call == 0 || m_current.forwarding == forwarding_mode::Bytes)
        return;
    if (m_current.readingPaused)
        m_current.lastBytesAt = m_context.loop.now();
    const auto silent = m_context.loop.now() - m_current.lastBytesAt;
    const auto limit = idleLimit();
    if (silent < limit) {
        startIdleTimer(std::chrono::ceil<milliseconds>(limit - silent));
        return;
    }
    startIdleTimer(SilenceCheckInterval);
    tryElsewhere(abandon_cause::Silent);
}

// While this node is cut off, all servers with requests are silent, and peers reach them.
template <gateway_codec Codec>
std::vector<backend_server_id> exchange<Codec>::silentServers() const
{
    if (m_context.transport.access() == server_access_state::CutOff)
        return {};
    return m_context.directory.silentServers(m_service);
}

template <gateway_codec Codec>
std::vector<backend_server_id> exchange<Codec>::excludedServers() const
{
    auto excluded = m_triedServers;
    if (!m_held.empty())
        std::ranges::copy(silentServers(), std::back_inserter(excluded));
    return excluded;
}

template <gateway_codec Codec>
bool exchange<Codec>::otherServerResponds() const
{
    server_query query;
    query.service = m_service;
    query.exclude = m_triedServers;
    query.exclude.push_back(m_current.server->record.id);
    std::ranges::copy(silentServers(), std::back_inserter(query.exclude));
    query.version = m_version;
    query.allowed = m_residency;
    return m_context.directory.choose(query) != nullptr;
}

// A plain answer of which the client has a part can't go on at another server.
template <gateway_codec Codec>
void exchange<Codec>::tryElsewhere(abandon_cause why)
{
    if (m_current.forwarding == forwarding_mode::Bytes || !otherServerResponds())
        return;
    if (!m_current.sent) {
        m_context.transport.abandon(m_current.call);
        onEnd(http::call_end::NotSent);
        return;
    }
    // A call that was lost with all others isn't counted: the retry budget bounds the repeats.
    const auto attempts = why == abandon_cause::ServersCutOff ? m_attempts - 1 : m_attempts;
    if (attempts >= m_route->maxAttempts)
        return;
    if (!m_context.retryBudget.tryAcquire(m_service)) {
        if (!std::exchange(m_waitLogged, true))
            logRetryDenied("budget_spent");
        return;
    }
    m_retryUnused = true;
    m_attempts = attempts;
    holdCurrent(why);
    attempt();
}

// The failure is counted at once, so that other requests avoid the server, and once a silence.
template <gateway_codec Codec>
void exchange<Codec>::holdCurrent(abandon_cause why)
{
    m_context.loop.cancelTimer(std::exchange(m_idleTimer, 0));
    if (!m_current.abandonedFor) {
        m_context.directory.onFailure(*m_current.server);
        m_triedServers.push_back(m_current.server->record.id);
        m_current.triedServers = m_triedServers.size();
    }
    m_mayHaveRun = true;
    m_current.abandonedFor = why;
    logHeld(m_current);
    server_attempt next;
    next.answer = m_current.answer;
    next.splitter = m_current.splitter;
    next.splitter.restart();
    m_held.push_back(std::exchange(m_current, std::move(next)));
}

template <gateway_codec Codec>
server_attempt *exchange<Codec>::findHeld(std::uint64_t id)
{
    const auto found = std::ranges::find(m_held, id, &server_attempt::id);
    return found == m_held.end() ? nullptr : &*found;
}

template <gateway_codec Codec>
server_attempt exchange<Codec>::extractHeld(std::uint64_t id)
{
    const auto found = std::ranges::find(m_held, id, &server_attempt::id);
    auto extracted = std::move(*found);
    m_held.erase(found);
    return extracted;
}

template <gateway_codec Codec>
server_attempt exchange<Codec>::takeHeld(std::uint64_t id)
{
    auto taken = extractHeld(id);
    m_context.placer.onEnd(std::exchange(taken.placement, 0));
    --taken.server->outstanding;
    return taken;
}

template <gateway_codec Codec>
bool exchange<Codec>::isAnswering(const server_attempt &each)
{
    return each.forwarding != forwarding_mode::Nothing
        && each.answer.status < status::FirstServerError;
}

template <gateway_codec Codec>
bool exchange<Codec>::selectForHead(std::uint64_t id, const http::response_head &head)
{
    if (m_done)
        return false;
    if (m_current.id == id) {
        onHeardAgain();
        return true;
    }
    const auto *held = findHeld(id);
    if (!held)
        return false;
    const auto metadata = Codec::readAnswer(head);
    if (mayForward(head.status, metadata) && head.status < status::FirstServerError) {
        resume(id);
        return true;
    }
    // The replacement goes on: the server has refused the request after all, or failed it.
    recordResponse(*held, metadata);
    const auto failed = takeHeld(id);
    m_context.transport.abandon(failed.call);
    logAttemptEnd(failed, nameOf(attempt_result::Failed));
    return false;
}

template <gateway_codec Codec>
bool exchange<Codec>::selectForBody(std::uint64_t id, std::string_view bytes)
{
    if (m_done)
        return false;
    if (m_current.id == id) {
        onHeardAgain();
        return true;
    }
    auto *held = findHeld(id);
    if (!held || !isAnswering(*held))
        return false;
    if (held->forwarding != forwarding_mode::Events) {
        resume(id);
        return true;
    }
    // Bytes that complete no event are no sign that the stream goes on.
    const std::string events(held->splitter.feed(bytes));
    if (events.empty())
        return false;
    resume(id);
    m_current.lastBytesAt = m_context.loop.now();
    forwardEvents(events);
    return false;
}

template <gateway_codec Codec>
bool exchange<Codec>::selectForEnd(std::uint64_t id, http::call_end how)
{
    const auto *held = m_done ? nullptr : findHeld(id);
    if (held && how == http::call_end::Complete && isAnswering(*held))
        resume(id);
    if (m_current.id == id)
        return true;
    onHeldEnd(id, how);
    return false;
}

template <gateway_codec Codec>
void exchange<Codec>::onHeardAgain()
{
    if (!m_current.abandonedFor)
        return;
    m_current.abandonedFor.reset();
    m_fruitlessTries = 0;
    std::erase(m_triedServers, m_current.server->record.id);
    m_context.directory.onAnswer(*m_current.server);
}

template <gateway_codec Codec>
void exchange<Codec>::stopReplacement()
{
    if (m_current.call != 0) {
        m_context.transport.abandon(m_current.call);
        endAttempt();
    } else {
        endPlacement();
    }
    if (std::exchange(m_retryUnused, false))
        m_context.retryBudget.giveBack(m_service);
    if (!m_stageProgress || (m_stageProgress->done() && !m_headSent))
        return;
    cancelPieces();
    releaseStages();
    freeStageResults();
    m_needsStages = true;
}

template <gateway_codec Codec>
void exchange<Codec>::resume(std::uint64_t id)
{
    const auto self = this->shared_from_this();
    stopReplacement();
    m_current = extractHeld(id);
    onHeardAgain();
    resumeReading();
    logResumed("bytes");
    startIdleTimer(idleLimit());
}

template <gateway_codec Codec>
bool exchange<Codec>::resumeHeld(std::string_view why)
{
    if (m_held.empty())
        return false;
    stopReplacement();
    m_current = extractHeld(m_held.back().id);
    m_triedServers.resize(std::min(m_triedServers.size(), m_current.triedServers));
    m_unsentAttempts = 0;
    resumeReading();
    logResumed(why);
    m_fruitlessTries = std::min(m_fruitlessTries + 1, MaxSilenceCheckDoublings);
    startIdleTimer(SilenceCheckInterval * (1U << m_fruitlessTries));
    return true;
}

template <gateway_codec Codec>
void exchange<Codec>::onHeldEnd(std::uint64_t id, http::call_end how)
{
    const auto *held = m_done ? nullptr : findHeld(id);
    if (!held)
        return;
    if (hasServerFailed(*held, how))
        m_context.placer.onServerFailed(held->placement);
    const auto ended = takeHeld(id);
    m_context.directory.onFailure(*ended.server);
    reportConnectionBroken(ended, how);
    logAttemptEnd(ended, nameOf(attempt_result::Unknown));
}

template <gateway_codec Codec>
void exchange<Codec>::endHeld()
{
    endHeld([](const server_attempt &) { return true; });
}

template <gateway_codec Codec>
template <class Predicate>
void exchange<Codec>::endHeld(Predicate fits)
{
    std::vector<std::uint64_t> ids;
    for (const auto &each : m_held) {
        if (fits(each))
            ids.push_back(each.id);
    }
    for (const auto id : ids) {
        const auto ended = takeHeld(id);
        m_context.transport.abandon(ended.call);
        logAttemptEnd(ended, nameOf(attempt_result::Unknown));
    }
}

} // namespace orchidlead::gateway
