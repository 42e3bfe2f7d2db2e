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
    // While the client reads slowly, the server isn't read at all.
    if (m_client->queuedBytes() > MaxQueuedBytes)
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

template <gateway_codec Codec>
std::vector<backend_server_id> exchange<Codec>::excludedServers() const
{
    auto excluded = m_triedServers;
    if (!m_held.empty())
        std::ranges::copy(m_context.directory.silentServers(m_service),
                          std::back_inserter(excluded));
    return excluded;
}

template <gateway_codec Codec>
bool exchange<Codec>::otherServerResponds() const
{
    server_query query;
    query.service = m_service;
    query.exclude = m_triedServers;
    query.exclude.push_back(m_current.server->record.id);
    std::ranges::copy(m_context.directory.silentServers(m_service),
                      std::back_inserter(query.exclude));
    query.version = m_version;
    query.allowed = m_residency;
    return m_context.directory.choose(query) != nullptr;
}

template <gateway_codec Codec>
void exchange<Codec>::tryElsewhere(abandon_cause why)
{
    if (!otherServerResponds())
        return;
    if (!m_current.sent) {
        m_context.transport.abandon(m_current.call);
        onEnd(http::call_end::NotSent);
        return;
    }
    // A call that was lost with all others isn't counted: the retry budget bounds the repeats.
    const auto attempts =
        why == abandon_cause::ServersCutOff ? m_current.attemptsBefore : m_attempts;
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

// The failure is counted at once, so that other requests avoid the server.
template <gateway_codec Codec>
void exchange<Codec>::holdCurrent(abandon_cause why)
{
    m_context.loop.cancelTimer(std::exchange(m_idleTimer, 0));
    m_context.directory.onFailure(*m_current.server);
    m_triedServers.push_back(m_current.server->record.id);
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
bool exchange<Codec>::isHeld(std::uint64_t id) const
{
    return std::ranges::find(m_held, id, &server_attempt::id) != m_held.end();
}

template <gateway_codec Codec>
server_attempt exchange<Codec>::takeHeld(std::uint64_t id)
{
    const auto found = std::ranges::find(m_held, id, &server_attempt::id);
    auto taken = std::move(*found);
    m_held.erase(found);
    m_context.placer.onEnd(std::exchange(taken.placement, 0));
    --taken.server->outstanding;
    return taken;
}

template <gateway_codec Codec>
bool exchange<Codec>::selectForHead(std::uint64_t id, const http::response_head &head)
{
    if (m_done || m_current.id == id)
        return !m_done;
    if (!isHeld(id))
        return false;
    if (head.status >= status::Ok && head.status < status::FirstRedirect) {
        resume(id);
        return true;
    }
    // The replacement goes on: the server has refused the request after all, or failed it.
    const auto failed = takeHeld(id);
    m_context.transport.abandon(failed.call);
    logAttemptEnd(failed, nameOf(attempt_result::Failed));
    return false;
}

template <gateway_codec Codec>
bool exchange<Codec>::selectForBody(std::uint64_t id)
{
    if (!m_done && m_current.id != id && isHeld(id))
        resume(id);
    return !m_done && m_current.id == id;
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
    const auto found = std::ranges::find(m_held, id, &server_attempt::id);
    m_current = std::move(*found);
    m_held.erase(found);
    m_current.abandonedFor.reset();
    m_context.directory.onAnswer(*m_current.server);
    logResumed("bytes");
    startIdleTimer(idleLimit());
}

template <gateway_codec Codec>
bool exchange<Codec>::resumeHeld(std::string_view why)
{
    if (m_held.empty())
        return false;
    stopReplacement();
    m_current = std::move(m_held.back());
    m_held.pop_back();
    logResumed(why);
    m_fruitlessTries = std::min(m_fruitlessTries + 1, MaxSilenceCheckDoublings);
    startIdleTimer(SilenceCheckInterval * (1U << m_fruitlessTries));
    return true;
}

template <gateway_codec Codec>
void exchange<Codec>::onHeldEnd(std::uint64_t id, http::call_end how)
{
    if (m_done || !isHeld(id))
        return;
    const auto found = std::ranges::find(m_held, id, &server_attempt::id);
    if (hasServerFailed(*found, how))
        m_context.placer.onServerFailed(found->placement);
    const auto ended = takeHeld(id);
    m_context.directory.onFailure(*ended.server);
    if (how == http::call_end::Broken && mayHaveCrashedServer(ended))
        reportConnectionBroken(ended);
    logAttemptEnd(ended, nameOf(attempt_result::Unknown));
}

template <gateway_codec Codec>
void exchange<Codec>::endHeld()
{
    while (!m_held.empty()) {
        const auto ended = takeHeld(m_held.back().id);
        m_context.transport.abandon(ended.call);
        logAttemptEnd(ended, nameOf(attempt_result::Unknown));
    }
}

} // namespace orchidlead::gateway
