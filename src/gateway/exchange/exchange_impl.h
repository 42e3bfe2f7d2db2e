#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_answers_impl.h"
#include "gateway/exchange/exchange_attempts_impl.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/exchange/exchange_log_impl.h"
#include "gateway/exchange/exchange_stages_impl.h"

#include <algorithm>
#include <utility>

/// The begin of an exchange, and its ends. Stages and attempts have files of their own.
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
    , m_splitter(MaxEventBytes)
{ }

template <gateway_codec Codec>
milliseconds exchange<Codec>::left() const
{
    return std::chrono::duration_cast<milliseconds>(m_end - m_context.loop.now());
}

template <gateway_codec Codec>
void exchange<Codec>::start()
{
    m_marks = Codec::readRequest(m_head);
    m_context.metrics.onForgedFields(m_marks.forgedFields);
    m_client->onClientGone([self = this->shared_from_this()] { self->onClientGone(); });
    if (!m_configuration) {
        refuse(request_outcome::NoConfiguration);
        return;
    }
    if (!findRoute())
        return;
    m_digest = requestDigestOf(
        {m_customer ? m_customer->id : customer_id{}, m_marks.host, m_head.target, m_body});
    m_residency =
        residencyOf(m_route->regions, m_customer ? m_customer->regions : std::vector<region_id>{});
    logTaken();
    m_priority = m_customer && m_customer->priority ? *m_customer->priority : m_route->priority;
    const auto patience = m_marks.patience.value_or(m_route->timeout);
    m_end = m_arrival + std::min(patience, m_route->timeout) - AnswerMargin;
    if (left() <= milliseconds{0}) {
        refuse(request_outcome::NoTime);
        return;
    }
    m_endTimer = m_context.loop.callAfter(left(), [self = this->shared_from_this()] {
        self->m_endTimer = 0;
        self->onTimeout();
    });
    m_service = pickService();
    m_context.allowance.onRequest(m_service);
    if (m_route->stages.empty()) {
        attempt();
        return;
    }
    // What is not to be sent needs no stages.
    passQuarantine([self = this->shared_from_this()] { self->startStages(); });
}

template <gateway_codec Codec>
bool exchange<Codec>::mayBeSent() const
{
    const auto level = m_context.quarantine.standingOf(m_digest).level;
    return level == quarantine_level::Free || (level == quarantine_level::Suspected && m_onTrial);
}

// One repeat of a suspected request is tried at a time, on one server: it costs that server at
// most.
template <gateway_codec Codec>
void exchange<Codec>::passQuarantine(std::function<void()> next)
{
    const auto level = m_context.quarantine.standingOf(m_digest).level;
    if (level == quarantine_level::Free) {
        next();
        return;
    }
    if (level == quarantine_level::Quarantined || m_mayHaveRun) {
        giveUp(request_outcome::EndsServers);
        return;
    }
    if (m_onTrial) {
        next();
        return;
    }
    m_context.quarantine.requestTrial(
        m_digest, [self = this->shared_from_this(), next = std::move(next)](bool granted) {
            self->onTrialAnswer(granted, next);
        });
}

template <gateway_codec Codec>
void exchange<Codec>::onTrialAnswer(bool granted, const std::function<void()> &next)
{
    logTrial(granted);
    if (m_done) {
        if (granted)
            m_context.quarantine.endTrial(m_digest);
        return;
    }
    m_onTrial = granted;
    if (granted)
        next();
    else
        giveUp(request_outcome::EndsServers);
}

template <gateway_codec Codec>
bool exchange<Codec>::findRoute()
{
    const std::string_view path =
        std::string_view(m_head.target).substr(0, m_head.target.find('?'));
    m_route = m_configuration->findRoute(m_marks.host, path);
    if (!m_route) {
        answerOwn(status::NotFound, request_outcome::NoRoute);
        return false;
    }
    if (!m_configuration->needsKeys() || m_route->anonymous)
        return true;
    m_customer = m_configuration->findCustomer(m_marks.key);
    if (!m_customer)
        answerOwn(status::Unauthorized, request_outcome::UnknownKey);
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
    std::uint32_t drawn =
        std::uniform_int_distribution<std::uint32_t>(0, total - 1)(m_context.random);
    for (const auto &each : services) {
        if (drawn < each.weight)
            return each.service;
        drawn -= each.weight;
    }
    return services.back().service;
}

template <gateway_codec Codec>
void exchange<Codec>::answerOwn(int code, request_outcome outcome)
{
    m_told = code;
    m_client->respond(code, {}, {});
    finish(outcome);
}

template <gateway_codec Codec>
void exchange<Codec>::refuse(http::inbound_connection &client, milliseconds comeBack)
{
    client.respond(status::Unavailable, {Codec::retryAfter(comeBack)}, {});
}

// When the queues that are known now will be short enough for a request to be in time: a client
// that comes back before is refused again.
template <gateway_codec Codec>
milliseconds exchange<Codec>::comeBackAfter(request_outcome outcome) const
{
    const auto quarantine = m_context.quarantine.standingOf(m_digest);
    if (quarantine.level == quarantine_level::Quarantined)
        return quarantine.left;
    if (outcome == request_outcome::Evacuated || outcome == request_outcome::OutOfRegion
        || outcome == request_outcome::ServersLeaving)
        return ComeBackAbsent;
    const bool roomKnown =
        outcome == request_outcome::ServersLimited || outcome == request_outcome::ServersBackedOff;
    if (roomKnown && m_roomAfter > milliseconds{0})
        return m_roomAfter;
    if (m_stagePools.empty())
        return ComeBack;
    const auto seen = m_context.times.outlookOf(outline());
    if (!seen.crowded)
        return ComeBack;
    return std::max(ComeBack,
                    std::chrono::duration_cast<milliseconds>(seen.toAnswer) - m_route->objective);
}

// Says that no server has run the request, which must be true, and when to come back.
template <gateway_codec Codec>
void exchange<Codec>::refuse(request_outcome outcome)
{
    m_told = status::Unavailable;
    refuse(*m_client, comeBackAfter(outcome));
    finish(outcome);
}

template <gateway_codec Codec>
void exchange<Codec>::giveUp(request_outcome outcome)
{
    if (m_begun) {
        m_client->abort();
        finish(outcome);
    } else if (m_mayHaveRun) {
        answerOwn(status::BadGateway, outcome);
    } else {
        refuse(outcome);
    }
}

template <gateway_codec Codec>
void exchange<Codec>::onTimeout()
{
    if (m_done)
        return;
    const bool sent = m_call != 0 && m_attempts > 0;
    if (m_call != 0) {
        m_context.pool.abandon(m_call);
        endAttempt();
    }
    if (m_begun) {
        m_client->abort();
        finish(request_outcome::Timeout);
    } else if (sent || m_mayHaveRun) {
        answerOwn(status::GatewayTimeout, request_outcome::Timeout);
    } else {
        refuse(request_outcome::Timeout);
    }
}

template <gateway_codec Codec>
void exchange<Codec>::stopWaiting()
{
    if (!m_done && !m_begun && m_call == 0)
        giveUp(request_outcome::Stopping);
}

template <gateway_codec Codec>
void exchange<Codec>::onClientGone()
{
    if (m_done)
        return;
    if (m_call != 0) {
        m_context.pool.abandon(m_call);
        endAttempt();
    }
    finish(request_outcome::ClientGone);
}

// A server that ran the request to a good end is proof that servers don't end under it.
template <gateway_codec Codec>
void exchange<Codec>::leaveQuarantine(request_outcome outcome)
{
    const bool success = m_told >= status::Ok && m_told < status::FirstRedirect;
    if (outcome == request_outcome::Answered && success)
        m_context.quarantine.onServed(m_digest);
    if (std::exchange(m_onTrial, false))
        m_context.quarantine.endTrial(m_digest);
}

template <gateway_codec Codec>
void exchange<Codec>::finish(request_outcome outcome)
{
    if (std::exchange(m_done, true))
        return;
    m_context.loop.cancelTimer(std::exchange(m_endTimer, 0));
    m_context.loop.cancelTimer(std::exchange(m_silenceTimer, 0));
    leavePlacement();
    withdrawPieces();
    freeResults();
    leaveQuarantine(outcome);
    logEnd(outcome);
    m_context.metrics.onRequest(m_route, outcome, sinceArrival());
    if (m_client) {
        m_client->onClientGone({});
        m_client->onDrained({});
    }
    m_client.reset();
}

} // namespace orchidlead::gateway
