#pragma once

#include "gateway/answer_match.h"
#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of `exchange` that sends the request to servers and retries on other servers.
namespace orchidlead::gateway {

template <gateway_codec Codec>
server_ptr exchange<Codec>::chooseServer()
{
    server_query query;
    query.service = m_service;
    query.exclude = excludedServers();
    query.preferredDataCenter = m_context.dataCenter;
    query.version = m_version;
    query.allowed = m_residency;
    if (const auto largest = m_stageProgress ? m_stageProgress->largest() : std::nullopt)
        query.preferredDataCenter = resultLocation(largest->handle);
    return m_context.directory.choose(query);
}

template <gateway_codec Codec>
void exchange<Codec>::attempt()
{
    if (m_done)
        return;
    if (timeLeft() <= milliseconds{0}) {
        onTimeout();
        return;
    }
    if (const auto why = unservableReason()) {
        failRequest(*why);
        return;
    }
    if (m_needsStages) {
        restartStages("results_freed");
        return;
    }
    checkQuarantine([self = this->shared_from_this(), lastId = m_lastAttemptId] {
        // A held attempt may have been resumed while the quarantine was asked.
        if (self->m_current.call != 0 || self->m_lastAttemptId != lastId)
            return;
        if (self->needsPlacement())
            self->place();
        else
            self->sendReplacement(self->chooseServer());
    });
}

// The choice of an engine depends on the requests of all nodes. A server with a rate limit
// receives the sum of the requests of all nodes, so requests to rate-limited servers of any service
// are paced by one node. The same holds for the requests that a brittle server has at a time.
template <gateway_codec Codec>
bool exchange<Codec>::needsPlacement() const
{
    const bool onEngine = m_route->prefixAffinity && !m_metadata.prompt.empty();
    return onEngine || m_context.directory.needsSharedCount(m_service, m_residency);
}

template <gateway_codec Codec>
milliseconds exchange<Codec>::slack() const
{
    const auto expected =
        m_context.latencyEstimator.firstAnswerTime(m_service, m_metadata.promptTokens);
    const auto due = m_objectiveFrom + m_route->latencyObjective - expected;
    return std::max(milliseconds{0},
                    std::chrono::duration_cast<milliseconds>(due - m_context.loop.now()));
}

template <gateway_codec Codec>
data_center_id exchange<Codec>::dataCenterOfVersion(const data_center_id &dataCenter)
{
    if (!m_version)
        return dataCenter;
    const auto servers = usableServers();
    const bool hasOne = std::ranges::any_of(
        servers, [&](const server_ptr &each) { return each->record.dataCenter == dataCenter; });
    if (hasOne || servers.empty())
        return dataCenter;
    const auto drawn =
        std::uniform_int_distribution<std::size_t>(0, servers.size() - 1)(m_context.random);
    return servers[drawn]->record.dataCenter;
}

template <gateway_codec Codec>
placement_query exchange<Codec>::makeQuery()
{
    placement_query query;
    query.exclude = m_context.directory.excludedServers(m_service, m_residency);
    std::ranges::copy(excludedServers(), std::back_inserter(query.exclude));
    query.preferredDataCenter =
        m_preferredDataCenter.empty() ? choosePreferredDataCenter() : m_preferredDataCenter;
    query.transferBytes = m_body.size();
    if (const auto largest = m_stageProgress ? m_stageProgress->largest() : std::nullopt) {
        query.preferredDataCenter = resultLocation(largest->handle);
        query.transferBytes = largest->bytes;
    }
    query.version = m_version;
    query.allowed = m_residency;
    query.pool = m_context.placer.poolFor(
        m_service, dataCenterOfVersion(usableDataCenter(query.preferredDataCenter, m_service)),
        m_residency);
    query.rank = stageRank();
    query.clientTimeout = slack();
    query.admitted = m_admitted;
    return query;
}

template <gateway_codec Codec>
void exchange<Codec>::place()
{
    auto query = makeQuery();
    query.prompt = m_metadata.prompt;
    m_current.placement = m_context.placer.place(
        std::move(query), [self = this->shared_from_this()](const placement_result &placed) {
            if (!self->m_done)
                self->onPlaced(placed);
        });
}

template <gateway_codec Codec>
void exchange<Codec>::onPlaced(const placement_result &placed)
{
    const auto repeated = repeatedPrefill(placed);
    if (repeated.cause)
        m_context.metrics.onRepeatedPrefill(m_service, *repeated.cause, repeated.tokens);
    logPlaced(placed, repeated);
    if (!placed.server) {
        m_capacityDelay = placed.wait;
        const auto fallback =
            placed.allRateLimited ? request_outcome::ServersLimited : request_outcome::NoServer;
        failRequest(unservableReason().value_or(fallback));
        return;
    }
    m_admitted = true; // a retry takes no more capacity than this attempt
    if (placed.wait == milliseconds{0}) {
        sendReplacement(placed.server);
        return;
    }
    m_dispatchTimer = m_context.loop.callAfter(
        placed.wait, [self = this->shared_from_this(), server = placed.server] {
            self->m_dispatchTimer = 0;
            self->sendReplacement(server);
        });
}

// The board of a data centre knows nothing of the engines of others, so it can't know this cause.
template <gateway_codec Codec>
repeated_prefill exchange<Codec>::repeatedPrefill(const placement_result &placed) const
{
    auto repeated = placed.repeated;
    const bool unknownToBoard = !repeated.cause || *repeated.cause == prefill_cause::NewBoard;
    if (m_otherDataCenter && unknownToBoard && repeated.unkeptTokens > 0) {
        repeated.cause = m_otherDataCenter;
        repeated.tokens = repeated.unkeptTokens;
    }
    return repeated;
}

template <gateway_codec Codec>
void exchange<Codec>::endPlacement()
{
    m_context.loop.cancelTimer(std::exchange(m_dispatchTimer, 0));
    cancelHealthCheck();
    m_context.starts.cancel(std::exchange(m_startQuestion, 0));
    m_startUnstated.reset();
    m_context.placer.onEnd(std::exchange(m_current.placement, 0));
}

template <gateway_codec Codec>
void exchange<Codec>::sendTo(server_ptr chosen)
{
    m_current.server = std::move(chosen);
    if (!m_current.server) {
        failRequest(unservableReason().value_or(request_outcome::NoServer));
        return;
    }
    if (m_current.server->outstanding++ == 0)
        m_context.directory.onFirstRequest(*m_current.server);
    m_current.id = ++m_lastAttemptId;
    m_current.sent = false;
    m_current.readingPaused = false;
    m_current.forwarding = forwarding_mode::Nothing;
    m_serverIneligible = false;
    m_current.bufferedAnswer.clear();
    m_current.discardedBytes = 0;
    m_current.startedAt = m_context.loop.now();
    m_current.answerStartedAt.reset();
    m_current.abandonedFor.reset();
    m_current.partsReported = false;
    m_waitLogged = false;
    const auto self = this->shared_from_this();
    const auto id = m_current.id;
    http::outbound_call call;
    call.body = m_body;
    call.toHead = m_head.method == "HEAD";
    call.writeHead = [self, id]() -> std::optional<std::string> {
        return self->m_current.id == id ? self->writeHead() : std::nullopt;
    };
    call.ownerOf = [self, to = m_current.server](const http::response_head &head) {
        return ownerOf<Codec>(self->m_metadata.attempt, head, *to, self->m_context.directory);
    };
    call.onHead = [self, id](const http::response_head &head) {
        if (self->selectForHead(id, head))
            self->onHead(head);
    };
    call.onBody = [self, id](std::string_view bytes) {
        if (self->selectForBody(id, bytes))
            self->onBody(bytes);
    };
    call.onEnd = [self, id](http::call_end how) {
        if (self->selectForEnd(id, how))
            self->onEnd(how);
    };
    m_current.call = m_context.transport.start(
        {m_current.server, std::move(call), m_metadata.attempt, m_route->repeatable()});
    if (m_route->repeatable())
        startIdleTimer(unansweredLimit());
    m_current.lastBytesAt = m_context.loop.now();
}

template <gateway_codec Codec>
bool exchange<Codec>::isServerEligible() const
{
    return m_current.server->accepts(m_context.loop.now())
        && m_residency.allows(m_current.server->region) && m_current.server->hasVersion(m_version);
}

template <gateway_codec Codec>
std::optional<std::string> exchange<Codec>::writeHead()
{
    m_serverIneligible = !isServerEligible();
    if (m_done || m_serverIneligible || timeLeft() <= milliseconds{0} || !isSendingAllowed())
        return std::nullopt;
    forwarded_metadata metadata;
    metadata.clientTimeout = timeLeft() + AnswerMargin;
    metadata.instance = m_current.server->record.id;
    if (m_customer)
        metadata.customer = m_customer->id;
    if (m_route->kind == request_kind::Stream)
        metadata.priority = std::min(m_priority, LowestPriority);
    metadata.lastEvent =
        m_current.splitter.lastEvent() ? m_current.splitter.lastEvent() : m_metadata.lastEvent;
    if (m_stageProgress)
        metadata.inputs = m_stageProgress->inputs();
    http::request_head out;
    out.method = m_head.method;
    out.target = m_head.target;
    out.fields = Codec::writeServerFields(m_head, metadata);
    const bool hadFraming = http::findField(m_head.fields, "content-length")
        || http::findField(m_head.fields, "transfer-encoding");
    if (!m_body.empty() || hadFraming)
        out.fields.push_back({"Content-Length", std::to_string(m_body.size())});
    ++m_attempts;
    m_current.sent = true;
    m_retryUnused = false;
    m_current.lastBytesAt = m_context.loop.now();
    m_context.directory.onSending(*m_current.server);
    logSent();
    if (!m_held.empty())
        startHandoverTimer();
    return http::formatHead(out);
}

template <gateway_codec Codec>
void exchange<Codec>::endAttempt()
{
    m_context.loop.cancelTimer(std::exchange(m_idleTimer, 0));
    m_current.call = 0;
    endPlacement();
    if (m_current.server)
        --m_current.server->outstanding;
}

template <gateway_codec Codec>
void exchange<Codec>::onEnd(http::call_end how)
{
    if (m_done)
        return;
    if (hasServerFailed(m_current, how))
        m_context.placer.onServerFailed(m_current.placement);
    endAttempt();
    if (how == http::call_end::NotSent && std::exchange(m_current.sent, false))
        --m_attempts;
    if (how == http::call_end::NotSent && m_serverIneligible) {
        m_triedServers.push_back(m_current.server->record.id);
        attempt(); // neither a failure of the server nor a retry
        return;
    }
    if (how == http::call_end::NotSent && !isSendingAllowed()) {
        attempt(); // checks the quarantine again
        return;
    }
    if (how == http::call_end::NotSent) {
        onAttemptResult(attempt_result::NotSent);
        return;
    }
    const bool whole = how == http::call_end::Complete && !isAnswerMixed();
    const bool refused = isRefusal(m_current.answer.status, m_current.metadata);
    if (whole && m_current.forwarding == forwarding_mode::Nothing && !m_headSent && refused) {
        onAttemptResult(attempt_result::NotRun);
        return;
    }
    m_mayHaveRun = true;
    if (!whole || m_current.forwarding == forwarding_mode::Nothing
        || m_current.splitter.hasPartialEvent()) {
        reportConnectionBroken(m_current, how);
        onAttemptResult(attempt_result::Unknown);
        return;
    }
    m_context.directory.onAnswer(*m_current.server);
    logAttemptEnd(m_current, "answered");
    if (m_current.forwarding == forwarding_mode::Buffered) {
        onBufferedEnd();
        return;
    }
    if (!m_headSent)
        beginAnswer();
    if (m_current.forwarding == forwarding_mode::Bytes)
        m_client->write(m_scanner.finish());
    m_client->finish();
    finish(request_outcome::Answered);
}

// A connection that is refused or breaks proves a failure of the server only if the network between
// the data centres isn't the cause.
template <gateway_codec Codec>
bool exchange<Codec>::hasServerFailed(const server_attempt &ended, http::call_end how) const
{
    const bool refused =
        how == http::call_end::NotSent && !m_serverIneligible && isSendingAllowed();
    if (!refused && (how != http::call_end::Broken || !ended.server->usable()))
        return false;
    return sendsSignals(ended.server->record.dataCenter, ended.startedAt);
}

template <gateway_codec Codec>
bool exchange<Codec>::sendsSignals(const data_center_id &where, steady_time since) const
{
    if (where == m_context.dataCenter)
        return true;
    const auto signal = m_context.peers.view().lastSignalFrom(where);
    return signal && *signal >= since - RecentSignalAge;
}

template <gateway_codec Codec>
bool exchange<Codec>::endsWithConnection() const
{
    return !m_current.answer.length && !m_current.answer.chunked;
}

// Only an answer without a length can contain a second one. While it is forwarded, that is noticed
// as its bytes arrive.
template <gateway_codec Codec>
bool exchange<Codec>::isAnswerMixed() const
{
    if (m_current.forwarding != forwarding_mode::Buffered || !endsWithConnection())
        return false;
    second_answer_scanner<Codec> scanner;
    static_cast<void>(scanner.feed(m_current.bufferedAnswer));
    return scanner.found();
}

template <gateway_codec Codec>
void exchange<Codec>::reportConnectionBroken(const server_attempt &broken, http::call_end how)
{
    if (how != http::call_end::Broken || !mayHaveCrashedServer(broken))
        return;
    auto subjects = m_subjects;
    for (auto &each : subjects)
        each.sentAt = broken.startedAt;
    m_context.onConnectionBroken(*broken.server, subjects);
}

// A server that shuts down as planned stops regardless of the request, and a server that has been
// answering for a while did not crash from starting the request.
template <gateway_codec Codec>
bool exchange<Codec>::mayHaveCrashedServer(const server_attempt &broken) const
{
    const bool isAnswering =
        broken.answerStartedAt && m_context.loop.now() - *broken.answerStartedAt > StableAnswerTime;
    return broken.server->usable() && !isAnswering;
}

template <gateway_codec Codec>
void exchange<Codec>::onBufferedEnd()
{
    if (m_current.answer.status >= status::FirstServerError && mayRetry(attempt_result::Failed)) {
        m_triedServers.push_back(m_current.server->record.id);
        attempt();
        return;
    }
    // The status would promise the client that the request hasn't run, which the server did not
    // state.
    const bool failed = m_current.answer.status >= status::FirstServerError || claimsNotRun()
        || m_current.answer.status == status::Conflict;
    if (failed && resumeHeld(nameOf(attempt_result::Failed)))
        return;
    if (claimsNotRun() && !m_route->repeatable()) {
        respondWithStatus(status::BadGateway, request_outcome::ServerFailed);
        return;
    }
    m_clientStatus = m_current.answer.status;
    m_client->respond(m_current.answer.status, http::forwardedFields(m_current.answer.fields),
                      m_current.bufferedAnswer);
    finish(m_current.answer.status < status::FirstServerError ? request_outcome::Answered
                                                              : request_outcome::Failed);
}

template <gateway_codec Codec>
bool exchange<Codec>::mayRetry(attempt_result what)
{
    const bool safe =
        what == attempt_result::NotSent || what == attempt_result::NotRun || m_route->repeatable();
    if (!safe) {
        logRetryDenied("may_have_run");
        return false;
    }
    if (timeLeft() <= milliseconds{0} || !m_client->open()) {
        logRetryDenied("no_time");
        return false;
    }
    if (m_headSent && !isContinuable()) {
        logRetryDenied("answer_begun");
        return false;
    }
    if (what == attempt_result::NotSent)
        return ++m_unsentAttempts < MaxUnsentAttempts;
    if (m_attempts >= m_route->maxAttempts) {
        logRetryDenied("attempts_used_up");
        return false;
    }
    if (!m_context.retryBudget.tryAcquire(m_service)) {
        logRetryDenied("budget_spent");
        return false;
    }
    m_retryUnused = true;
    return true;
}

template <gateway_codec Codec>
bool exchange<Codec>::isContinuable() const
{
    return m_route->kind == request_kind::Stream && m_current.splitter.isContinuable();
}

// Connections to an unreachable data centre fail at once, but the data centre is declared lost only
// after a while. Engines that have crashed refuse connections as well. Their data centre still
// sends signals then, and the results stored there stay usable: computing them again would load
// stages that may be short of room.
template <gateway_codec Codec>
void exchange<Codec>::avoidUnreachable(const data_center_id &where)
{
    const auto &own = m_context.dataCenter;
    if (where == own)
        return;
    if (++m_unsentRemoteAttempts == 1)
        m_firstUnsentRemoteAt = m_current.startedAt;
    if (m_unsentRemoteAttempts < MaxUnsentRemoteAttempts
        || sendsSignals(where, m_firstUnsentRemoteAt)
        || !m_context.directory.usableIn(m_service, own))
        return;
    m_unreachableDataCenter = where;
    m_preferredDataCenter = choosePreferredDataCenter();
    if (m_stageProgress && hasResultsIn(where))
        m_needsStages = mayRestartStages();
}

template <gateway_codec Codec>
void exchange<Codec>::onAttemptResult(attempt_result what)
{
    auto &server = *m_current.server;
    logAttemptEnd(m_current, nameOf(what));
    if (what == attempt_result::NotRun) {
        if (m_current.answer.status == status::Misdirected)
            server.removed = true;
        else if (m_current.answer.status == status::Conflict)
            m_needsStages = m_stageProgress.has_value() && !std::exchange(m_stagesRestarted, true);
    } else {
        m_context.directory.onFailure(server);
    }
    m_triedServers.push_back(server.record.id);
    m_current.answer.status = 0;
    m_current.metadata = {};
    m_current.splitter.restart();
    if (what == attempt_result::NotSent)
        avoidUnreachable(server.record.dataCenter);
    if (mayRetry(what))
        attempt();
    else
        failRequest(what == attempt_result::NotRun ? request_outcome::ServersFull
                                                   : request_outcome::ServerFailed);
}

template <gateway_codec Codec>
void exchange<Codec>::abandonUnusableCall()
{
    m_current.abandonedFor = abandon_cause::Unusable;
    m_context.transport.abandon(m_current.call);
    onEnd(http::call_end::TooLarge);
}

template <gateway_codec Codec>
void exchange<Codec>::onDataCenterLost(const data_center_id &dataCenter)
{
    if (m_done)
        return;
    const bool sentThere = m_current.call != 0 && m_current.server->record.dataCenter == dataCenter;
    if (sentThere && m_route->repeatable()) {
        tryElsewhere(abandon_cause::DataCenterLost);
    } else if (m_current.call == 0 && !m_headSent && m_stageProgress && hasResultsIn(dataCenter)) {
        if (mayRestartStages())
            restartStages("data_center_lost");
        else
            failRequest(request_outcome::StageFailed);
    }
}

// The lost attempt is not counted: its server was cut off, and the retry budget bounds the repeats.
// A request that must not be repeated keeps waiting, since the cut may end before its timeout.
template <gateway_codec Codec>
void exchange<Codec>::onServersCutOff()
{
    if (m_done || m_current.call == 0 || !m_route->repeatable()
        || !m_context.transport.isLost(m_current.call))
        return;
    tryElsewhere(abandon_cause::ServersCutOff);
}

template <gateway_codec Codec>
milliseconds exchange<Codec>::objectiveLimit() const
{
    return std::chrono::duration_cast<milliseconds>(m_route->latencyObjective * UnansweredShare);
}

// A server that is still reading a long prompt isn't failing: another one would begin to read it
// anew, and answer later than the first.
template <gateway_codec Codec>
milliseconds exchange<Codec>::unansweredLimit() const
{
    if (m_metadata.promptTokens == 0)
        return objectiveLimit();
    const auto expected =
        m_context.latencyEstimator.firstAnswerTime(m_service, m_metadata.promptTokens);
    return std::max(objectiveLimit(),
                    std::chrono::duration_cast<milliseconds>(expected * UnansweredFactor));
}

} // namespace orchidlead::gateway
