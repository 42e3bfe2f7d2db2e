#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/servers/server_head.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of `exchange` that tries other servers while the one that has the request is silent.
///
/// A silent server may go on at any time, and another one may be silent, full or unreachable. So
/// the call to the silent one stays open until another server that responds has taken the request,
/// and each failure of the replacement until then leads back to it. The two calls overlap only for
/// the time in which a server refuses a request: a server that has become slow goes on working.
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

template <gateway_codec Codec>
void exchange<Codec>::tryElsewhere(abandon_cause why)
{
    if ((m_headSent && !isContinuable()) || !otherServerResponds())
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
void exchange<Codec>::sendReplacement(server_ptr chosen)
{
    if (chosen && needsHealthCheck(*chosen))
        startHealthCheck(chosen);
    else
        sendChecked(std::move(chosen));
}

// A server with a limit on its requests counts a health check as one of them.
template <gateway_codec Codec>
bool exchange<Codec>::needsHealthCheck(const server &chosen) const
{
    if (m_held.empty())
        return false;
    const auto now = m_context.loop.now();
    const bool responds = chosen.lastBytesAt && now - *chosen.lastBytesAt <= RecentResponseAge;
    const bool limited =
        chosen.effectiveRateLimit(now) || chosen.brittleRefusals || chosen.acceptsFrom() > now;
    const auto *service = m_configuration->findService(m_service);
    return !responds && !limited && service && !service->healthPath.empty();
}

template <gateway_codec Codec>
void exchange<Codec>::startHealthCheck(const server_ptr &chosen)
{
    const auto self = this->shared_from_this();
    const auto answer = std::make_shared<bool>(false);
    http::outbound_call call;
    call.maxBodyBytes = MaxDiscardedAnswer;
    call.writeHead = [self, chosen]() -> std::optional<std::string> {
        if (!chosen->accepts(self->m_context.loop.now()))
            return std::nullopt;
        self->m_context.directory.onSending(*chosen);
        const auto &path = self->m_configuration->findService(self->m_service)->healthPath;
        return http::formatHead(makeServerHead<Codec>("GET", path, chosen->record));
    };
    call.onHead = [self, chosen, answer](const http::response_head &head) {
        const auto metadata = Codec::readAnswer(head);
        self->m_context.directory.onResponseBegin(*chosen);
        self->m_context.directory.onBytes(*chosen);
        self->m_context.directory.onSignals(*chosen, metadata.server);
        *answer = !isRefusal(head.status, metadata);
    };
    call.onEnd = [self, chosen, answer](http::call_end how) {
        self->m_healthCheck = 0;
        self->onHealthCheckEnd(chosen, how == http::call_end::Complete && *answer);
    };
    m_healthCheck = m_context.transport.start({chosen, std::move(call), {}, true});
    m_healthCheckTimer = m_context.loop.callAfter(HealthCheckTimeout, [self, chosen] {
        self->m_healthCheckTimer = 0;
        self->onHealthCheckEnd(chosen, false);
    });
}

// A server that doesn't respond is handled like one that can't be reached.
template <gateway_codec Codec>
void exchange<Codec>::onHealthCheckEnd(const server_ptr &chosen, bool healthy)
{
    cancelHealthCheck();
    if (m_done)
        return;
    logHealthCheck(*chosen, healthy);
    if (healthy)
        sendChecked(chosen);
    else
        onNoResponse(chosen);
}

template <gateway_codec Codec>
void exchange<Codec>::onNoResponse(const server_ptr &chosen)
{
    endPlacement();
    m_context.directory.onFailure(*chosen);
    m_triedServers.push_back(chosen->record.id);
    if (++m_unsentAttempts < MaxUnsentAttempts)
        attempt();
    else
        failRequest(request_outcome::NoServer);
}

template <gateway_codec Codec>
void exchange<Codec>::cancelHealthCheck()
{
    m_context.loop.cancelTimer(std::exchange(m_healthCheckTimer, 0));
    if (const auto call = std::exchange(m_healthCheck, 0))
        m_context.transport.abandon(call);
}

template <gateway_codec Codec>
void exchange<Codec>::startHandoverTimer()
{
    m_context.loop.cancelTimer(m_handoverTimer);
    m_handoverTimer = m_context.loop.callAfter(MaxHandoverTime, [self = this->shared_from_this()] {
        self->m_handoverTimer = 0;
        self->onHandoverEnd();
    });
}

// The last replacement may itself be held by now, while a further one is chosen.
template <gateway_codec Codec>
void exchange<Codec>::onHandoverEnd()
{
    if (m_current.call != 0 && m_current.sent) {
        endHeld();
    } else if (!m_held.empty()) {
        endHeld([last = m_held.back().id](const server_attempt &each) { return each.id != last; });
    }
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

// Left among the held calls, its end would look like the end of the stream.
template <gateway_codec Codec>
void exchange<Codec>::abandonHeld(std::uint64_t id, abandon_cause why)
{
    auto abandoned = takeHeld(id);
    abandoned.abandonedFor = why;
    m_context.transport.abandon(abandoned.call);
    logAttemptEnd(abandoned, nameOf(attempt_result::Unknown));
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
    if (!events.empty()) {
        resume(id);
        m_current.lastBytesAt = m_context.loop.now();
        forwardEvents(events);
        if (m_current.splitter.isUnusable())
            abandonUnusableCall();
    } else if (held->splitter.isUnusable()) {
        abandonHeld(id, abandon_cause::Unusable);
    }
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
