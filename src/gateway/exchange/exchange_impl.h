#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_answers_impl.h"
#include "gateway/exchange/exchange_attempts_impl.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/exchange/exchange_log_impl.h"
#include "gateway/exchange/exchange_silence_impl.h"
#include "gateway/exchange/exchange_stages_impl.h"
#include "gateway/exchange/exchange_start_check_impl.h"

#include <algorithm>
#include <utility>

/// The start and the end of an `exchange`. Stages and attempts are in separate files.
namespace orchidlead::gateway {

template <gateway_codec Codec>
exchange<Codec>::exchange(gateway_context<Codec> &context, http::inbound_ptr client,
                          http::request_head head, std::string body, steady_time arrival)
    : m_context(context)
    , m_client(std::move(client))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_configuration(context.configuration)
    , m_arrival(arrival)
    , m_objectiveFrom(arrival)
{ }

template <gateway_codec Codec>
milliseconds exchange<Codec>::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - m_context.loop.now());
}

template <gateway_codec Codec>
void exchange<Codec>::start()
{
    m_metadata = Codec::readRequest(m_head);
    m_context.metrics.onReservedFields(m_metadata.reservedFields);
    m_client->onClientGone([self = this->shared_from_this()] { self->onClientGone(); });
    if (!m_configuration) {
        refuse(request_outcome::NoConfiguration);
        return;
    }
    if (!findRoute())
        return;
    m_subjects = subjectsOf(
        {m_customer ? m_customer->id : customer_id{}, m_metadata.host, m_head.target, m_body},
        m_metadata.prompt);
    m_digest = m_subjects.front().digest;
    m_residency =
        residencyOf(m_route->regions, m_customer ? m_customer->regions : std::vector<region_id>{});
    logAccepted();
    // The server of a stream that may not be resumed writes it from its first event on.
    if (m_route->kind == request_kind::Stream && m_route->repeatable() && m_metadata.lastEvent)
        m_current.splitter.continueAfter(*m_metadata.lastEvent);
    m_priority = m_customer && m_customer->priority ? *m_customer->priority : m_route->priority;
    const auto clientTimeout = m_metadata.clientTimeout.value_or(m_route->timeout);
    m_deadline = m_arrival + std::min(clientTimeout, m_route->timeout) - AnswerMargin;
    if (timeLeft() <= milliseconds{0}) {
        refuse(request_outcome::DeadlineExpired);
        return;
    }
    if (!mayBeginInStop()) {
        refuse(request_outcome::Stopping);
        return;
    }
    m_deadlineTimer = m_context.loop.callAfter(timeLeft(), [self = this->shared_from_this()] {
        self->m_deadlineTimer = 0;
        self->onTimeout();
    });
    if (m_route->kind == request_kind::Stream)
        m_stream = streamDigestOf(m_customer ? m_customer->id : customer_id{},
                                  m_metadata.continuesStream ? m_metadata.firstAttempt
                                                             : m_metadata.attempt);
    m_service = pickService();
    if (m_stream && m_metadata.continuesStream) {
        findStreamOrigin();
        return;
    }
    if (!m_stream || !m_route->repeatable()) {
        begin();
        return;
    }
    m_context.streamOrigins.beginNew([self = this->shared_from_this()] {
        if (self->m_done)
            return;
        self->m_version =
            self->m_context.streamOrigins.versionForNew(*self->m_stream, self->m_service);
        self->begin();
    });
}

// A refused client goes to another node at once. Early in a stop that is worth it only if the
// request would be cut here; later, few requests arrive, and each must be known to end in time.
template <gateway_codec Codec>
bool exchange<Codec>::mayBeginInStop() const
{
    if (!m_context.stop)
        return true;
    const auto now = m_context.loop.now();
    if (now > m_context.stop->lateFrom)
        return endsBy(m_context.stop->answerBy);
    const auto expected = m_context.answerTimes.estimateFor(m_route->name);
    return !expected || now + expected->average <= m_context.stop->answerBy
        || m_deadline <= m_context.stop->answerBy;
}

// One that has taken longer than expected may take as long again.
template <gateway_codec Codec>
bool exchange<Codec>::endsBy(steady_time time) const
{
    if (m_deadline <= time)
        return true;
    const auto expected = m_context.answerTimes.estimateFor(m_route->name);
    return expected
        && std::max(m_arrival + expected->longest, m_context.loop.now() + expected->average)
        <= time;
}

template <gateway_codec Codec>
void exchange<Codec>::begin()
{
    m_context.retryBudget.onRequest(m_service);
    if (m_route->stages.empty()) {
        attempt();
        return;
    }
    // The stages are not run for a request that must not be sent.
    checkQuarantine([self = this->shared_from_this()] { self->startStages(); });
}

// A client waits for as long as the route allows. One that still waits for longer than that has
// spent at most one attempt of the longest time.
template <gateway_codec Codec>
milliseconds exchange<Codec>::maxStreamAge() const
{
    const auto left = m_metadata.clientTimeout.value_or(milliseconds{0});
    return left > m_route->timeout ? m_route->timeout : m_route->timeout - left;
}

// Without the attempt or a readable event the request doesn't say which stream it continues.
template <gateway_codec Codec>
void exchange<Codec>::findStreamOrigin()
{
    const bool isNamed = !m_metadata.firstAttempt.empty() && m_metadata.lastEvent;
    const auto named = isNamed
        ? std::optional(stream_name{*m_stream, runDigestOf(m_metadata.firstAttempt)})
        : std::nullopt;
    m_context.streamOrigins.find(named, m_service, maxStreamAge(),
                                 [self = this->shared_from_this()](const origin_lookup &found) {
                                     if (!self->m_done)
                                         self->onStreamOrigin(found);
                                 });
}

// A stream whose version isn't known is refused: servers don't check whether the events before fit
// theirs, and the client can't tell either.
template <gateway_codec Codec>
void exchange<Codec>::onStreamOrigin(const origin_lookup &found)
{
    logStreamOrigin(found);
    if (!found.origin) {
        refuse(request_outcome::OriginUnknown);
        return;
    }
    // A client of a service with one version may name any stream, so it gains no precedence.
    m_originFound = found.source != origin_source::OnlyVersion && m_metadata.lastEvent > 0U;
    m_version = found.origin->version;
    const auto &service = found.origin->service;
    if (std::ranges::find(m_route->services, service, &weighted_service::service)
        != m_route->services.end())
        m_service = service;
    begin();
}

template <gateway_codec Codec>
void exchange<Codec>::recordStreamOrigin()
{
    if (!m_version)
        m_version = m_current.server->record.version;
    if (m_route->kind != request_kind::Stream || !m_route->repeatable())
        return;
    const auto customer = m_customer ? m_customer->id : customer_id{};
    const auto clientTimeout = m_metadata.clientTimeout.value_or(m_route->timeout);
    const auto lifetime =
        std::chrono::duration_cast<milliseconds>(m_arrival + clientTimeout - m_context.loop.now());
    m_context.streamOrigins.onStreamBegan({streamDigestOf(customer, m_metadata.attempt),
                                           {m_service, *m_version},
                                           lifetime + StreamOriginMargin});
}

template <gateway_codec Codec>
bool exchange<Codec>::isSendingAllowed() const
{
    const auto level = quarantineStatus().level;
    return level == quarantine_level::Unrestricted
        || (level == quarantine_level::Suspected && m_trial);
}

template <gateway_codec Codec>
request_quarantine::quarantine_status exchange<Codec>::quarantineStatus() const
{
    request_quarantine::quarantine_status strictest;
    const auto include = [&](const request_digest &digest) {
        const auto status = m_context.quarantine.statusOf(digest);
        strictest = std::max(strictest, status, [](const auto &a, const auto &b) {
            return std::pair(a.level, a.remaining) < std::pair(b.level, b.remaining);
        });
    };
    for (const auto &each : m_subjects) {
        include(each.digest);
        if (each.isPart())
            include(each.shared);
    }
    return strictest;
}

// With the broadest one, all requests that may crash a server for the same reason wait for the same
// trial.
template <gateway_codec Codec>
request_digest exchange<Codec>::suspectedSubject() const
{
    const auto isSuspected = [&](const request_digest &digest) {
        return m_context.quarantine.statusOf(digest).level == quarantine_level::Suspected;
    };
    request_digest broadest = m_digest;
    for (const auto &each : m_subjects) {
        if (isSuspected(each.digest))
            broadest = each.digest;
    }
    for (const auto &each : m_subjects) {
        if (each.isPart() && isSuspected(each.shared))
            broadest = each.shared;
    }
    return broadest;
}

template <gateway_codec Codec>
void exchange<Codec>::reportPartsServed()
{
    if (!m_current.answerStartedAt || std::exchange(m_current.partsReported, true))
        return;
    for (const auto &each : m_subjects) {
        if (!each.isPart())
            continue;
        m_context.quarantine.onPartServed(each.digest, *m_current.answerStartedAt);
        m_context.quarantine.onPartServed(each.shared, *m_current.answerStartedAt);
    }
}

// Sent requests wait at the server until it begins to run them, and crash it only then.
template <gateway_codec Codec>
void exchange<Codec>::onQuarantined(const request_digest &subject)
{
    const bool isOwn = std::ranges::any_of(m_subjects, [&](const crash_subject &each) {
        return each.digest == subject || (each.isPart() && each.shared == subject);
    });
    if (m_done || !isOwn || !m_route->repeatable())
        return;
    endHeld([](const server_attempt &each) { return !each.answerStartedAt; });
    if (m_current.call == 0 || m_current.answerStartedAt)
        return;
    m_mayHaveRun = m_mayHaveRun || m_current.sent;
    m_context.transport.abandon(m_current.call);
    endAttempt();
    failRequest(request_outcome::CrashesServers);
}

// Only one repeat of a suspected request is tried at a time, on one server, so that at most this
// server crashes.
template <gateway_codec Codec>
void exchange<Codec>::checkQuarantine(std::function<void()> next)
{
    const auto level = quarantineStatus().level;
    if (level == quarantine_level::Unrestricted) {
        next();
        return;
    }
    if (level == quarantine_level::Quarantined || m_mayHaveRun) {
        failRequest(request_outcome::CrashesServers);
        return;
    }
    if (m_trial) {
        next();
        return;
    }
    const auto subject = suspectedSubject();
    m_context.quarantine.requestTrial(
        subject, [self = this->shared_from_this(), subject, next = std::move(next)](bool granted) {
            self->onTrialAnswer(subject, granted, next);
        });
}

template <gateway_codec Codec>
void exchange<Codec>::onTrialAnswer(const request_digest &subject, bool granted,
                                    const std::function<void()> &next)
{
    logTrial(subject, granted);
    if (m_done) {
        if (granted)
            m_context.quarantine.endTrial(subject);
        return;
    }
    if (granted)
        m_trial = subject;
    if (granted)
        next();
    else
        failRequest(request_outcome::CrashesServers);
}

template <gateway_codec Codec>
bool exchange<Codec>::findRoute()
{
    const std::string_view path =
        std::string_view(m_head.target).substr(0, m_head.target.find('?'));
    m_route = m_configuration->findRoute(m_metadata.host, path);
    if (!m_route) {
        respondWithStatus(status::NotFound, request_outcome::NoRoute);
        return false;
    }
    if (!m_configuration->needsKeys() || m_route->anonymous)
        return true;
    m_customer = m_configuration->findCustomer(m_metadata.key);
    if (!m_customer)
        respondWithStatus(status::Unauthorized, request_outcome::UnknownKey);
    return m_customer != nullptr;
}

template <gateway_codec Codec>
service_id exchange<Codec>::pickService()
{
    const auto &services = m_route->services;
    if (services.size() == 1)
        return services.front().service;
    std::uint32_t total = 0;
    for (const auto &each : services)
        total += each.weight;
    if (total == 0)
        return services.front().service;
    // Each node that continues a stream picks the same service, also without a record of it.
    std::uint32_t drawn = m_stream
        ? drawFrom(*m_stream, total)
        : std::uniform_int_distribution<std::uint32_t>(0, total - 1)(m_context.random);
    for (const auto &each : services) {
        if (drawn < each.weight)
            return each.service;
        drawn -= each.weight;
    }
    return services.back().service;
}

template <gateway_codec Codec>
void exchange<Codec>::respondWithStatus(int code, request_outcome outcome)
{
    m_clientStatus = code;
    m_client->respond(code, {}, {});
    finish(outcome);
}

template <gateway_codec Codec>
void exchange<Codec>::refuse(http::inbound_connection &client, milliseconds retryDelay)
{
    client.respond(status::Unavailable, {Codec::retryAfter(retryDelay)}, {});
}

// Estimates when the known queues will be short enough to serve a request in time. A client that
// retries earlier is refused again.
template <gateway_codec Codec>
milliseconds exchange<Codec>::retryDelayFor(request_outcome outcome) const
{
    const auto quarantine = quarantineStatus();
    if (quarantine.level == quarantine_level::Quarantined)
        return quarantine.remaining;
    if (outcome == request_outcome::Evacuated || outcome == request_outcome::NoServerInRegion
        || outcome == request_outcome::ServersLeaving
        || (outcome == request_outcome::NoServerOfVersion && m_metadata.continuesStream))
        return UnavailableRetryDelay;
    const bool roomKnown = outcome == request_outcome::ServersLimited
        || outcome == request_outcome::ServersBackingOff || outcome == request_outcome::NotAdmitted;
    if (roomKnown && m_capacityDelay > milliseconds{0})
        return m_capacityDelay;
    if (m_stagePools.empty())
        return RetryDelay;
    const auto predicted = m_context.latencyEstimator.forecastOf(outline());
    if (!predicted.hasBacklog)
        return RetryDelay;
    return std::max(RetryDelay,
                    std::chrono::duration_cast<milliseconds>(predicted.timeToAnswer)
                        - m_route->latencyObjective);
}

// A retry helps neither if the version of a stream isn't known, nor if none of its servers may get
// work again, so the client is given no time for one. A new stream may begin on another version.
template <gateway_codec Codec>
bool exchange<Codec>::isFinal(request_outcome outcome) const
{
    const bool noneLeft = outcome == request_outcome::NoServerOfVersion
        && m_metadata.continuesStream && !m_context.directory.mayReturn(m_service, *m_version);
    return noneLeft || outcome == request_outcome::OriginUnknown;
}

// Answers that no server has run the request and when to retry. Must not be called if a server may
// have run it.
template <gateway_codec Codec>
void exchange<Codec>::refuse(request_outcome outcome)
{
    m_clientStatus = status::Unavailable;
    if (isFinal(outcome))
        m_client->respond(status::Unavailable, {}, {});
    else
        refuse(*m_client, retryDelayFor(outcome));
    finish(outcome);
}

template <gateway_codec Codec>
void exchange<Codec>::failRequest(request_outcome outcome)
{
    if (resumeHeld(toName(outcome)))
        return;
    if (m_headSent) {
        m_client->abort();
        finish(outcome);
    } else if (m_mayHaveRun) {
        respondWithStatus(status::BadGateway, outcome);
    } else {
        refuse(outcome);
    }
}

template <gateway_codec Codec>
void exchange<Codec>::endUnanswered(request_outcome outcome)
{
    if (m_done)
        return;
    const bool sent = (m_current.call != 0 && m_attempts > 0) || !m_held.empty();
    if (m_current.call != 0) {
        m_context.transport.abandon(m_current.call);
        endAttempt();
    }
    if (m_headSent) {
        m_client->abort();
        finish(outcome);
    } else if (sent || m_mayHaveRun) {
        respondWithStatus(status::GatewayTimeout, outcome);
    } else {
        refuse(outcome);
    }
}

template <gateway_codec Codec>
void exchange<Codec>::onTimeout()
{
    endUnanswered(request_outcome::Timeout);
}

template <gateway_codec Codec>
void exchange<Codec>::onStopTimeout()
{
    endUnanswered(request_outcome::Stopping);
}

template <gateway_codec Codec>
void exchange<Codec>::refuseIfWaiting()
{
    if (!m_done && !m_headSent && m_current.call == 0 && !endsBy(m_context.stop->answerBy))
        failRequest(request_outcome::Stopping);
}

template <gateway_codec Codec>
void exchange<Codec>::onClientGone()
{
    if (m_done)
        return;
    if (m_current.call != 0) {
        m_context.transport.abandon(m_current.call);
        endAttempt();
    }
    finish(request_outcome::ClientGone);
}

// A successful answer proves that the request does not crash servers.
template <gateway_codec Codec>
void exchange<Codec>::updateQuarantine(request_outcome outcome)
{
    if (outcome == request_outcome::Answered && status::isSuccess(m_clientStatus)) {
        m_context.quarantine.onRequestServed(m_digest);
        reportPartsServed();
    }
    if (const auto trial = std::exchange(m_trial, std::nullopt))
        m_context.quarantine.endTrial(*trial);
}

template <gateway_codec Codec>
void exchange<Codec>::finish(request_outcome outcome)
{
    if (std::exchange(m_done, true))
        return;
    m_context.loop.cancelTimer(std::exchange(m_deadlineTimer, 0));
    m_context.loop.cancelTimer(std::exchange(m_idleTimer, 0));
    m_context.loop.cancelTimer(std::exchange(m_handoverTimer, 0));
    endPlacement();
    endHeld();
    releaseStages();
    cancelPieces();
    freeStageResults();
    updateQuarantine(outcome);
    if (m_attempts > 0 && outcome != request_outcome::ClientGone)
        m_context.answerTimes.onEnd(m_route->name, sinceArrival());
    logEnd(outcome);
    m_context.metrics.onRequest(m_route, outcome, sinceArrival());
    if (m_client) {
        m_client->onClientGone({});
        m_client->onDrained({});
    }
    m_client.reset();
}

} // namespace orchidlead::gateway
