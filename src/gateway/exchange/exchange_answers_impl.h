#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"

#include <utility>

/// The part of `exchange` that reads the answer of a server and forwards it to the client.
namespace orchidlead::gateway {

template <gateway_codec Codec>
void exchange<Codec>::onHead(const http::response_head &head)
{
    m_responseMetadata = Codec::readAnswer(head);
    m_context.directory.onResponseBegin(*m_server);
    m_context.directory.onSignals(*m_server, m_responseMetadata.server);
    m_context.placer.onSignals(m_placement, m_responseMetadata.server);
    const bool success = head.status >= status::Ok && head.status < status::FirstRedirect;
    if (m_headSent) {
        // The continuation of a stream, whose head was already sent to the client.
        m_forwarding = success ? forwarding_mode::Events : forwarding_mode::Nothing;
        return;
    }
    m_answer = head;
    const bool refused = m_responseMetadata.notExecuted || head.status == status::Misdirected;
    if (refused || (success && !m_responseMetadata.signedByServer)) {
        m_forwarding = forwarding_mode::Nothing;
        return;
    }
    const bool events = success && m_route->kind == request_kind::Stream;
    m_forwarding = events ? forwarding_mode::Events : forwarding_mode::Buffered;
}

template <gateway_codec Codec>
void exchange<Codec>::onBody(std::string_view bytes)
{
    if (m_done)
        return;
    const auto now = m_context.loop.now();
    if (m_forwarding == forwarding_mode::Buffered || m_forwarding == forwarding_mode::Bytes)
        m_lastActivity = now;
    if (!m_answerStartedAt)
        m_answerStartedAt = now;
    else if (m_headSent && now - *m_answerStartedAt > StablePartTime)
        reportPartsServed();
    switch (m_forwarding) {
    case forwarding_mode::Nothing:
        m_discardedBytes += bytes.size();
        if (m_discardedBytes > MaxDiscardedAnswer)
            abandonCall(abandon_cause::Unusable);
        break;
    case forwarding_mode::Buffered:
        m_bufferedAnswer.append(bytes);
        if (m_bufferedAnswer.size() > MaxBufferedAnswer && !mayForwardUnfinished()) {
            abandonCall(abandon_cause::Unusable);
        } else if (m_bufferedAnswer.size() > MaxBufferedAnswer) {
            m_forwarding = forwarding_mode::Bytes;
            beginAnswer();
            m_client->write(std::exchange(m_bufferedAnswer, {}));
            applyBackpressure();
        }
        break;
    case forwarding_mode::Bytes:
        m_client->write(bytes);
        applyBackpressure();
        break;
    case forwarding_mode::Events:
        onEvents(bytes);
        break;
    }
}

// A long failure is not forwarded while another server may answer, nor a status that would promise
// the client that the request hasn't run.
template <gateway_codec Codec>
bool exchange<Codec>::mayForwardUnfinished() const
{
    if (!m_route->repeatable())
        return !claimsNotRun();
    return m_answer.status < status::FirstServerError || m_attempts >= m_route->maxAttempts;
}

template <gateway_codec Codec>
bool exchange<Codec>::claimsNotRun() const
{
    return m_answer.status == status::Unavailable || m_answer.status == status::TooMany
        || m_answer.status == status::Timeout;
}

// Bytes that complete no event are no sign that the stream continues.
template <gateway_codec Codec>
void exchange<Codec>::onEvents(std::string_view bytes)
{
    const auto read = m_splitter.eventsInOrder();
    const auto events = m_splitter.feed(bytes);
    if (m_splitter.eventsInOrder() != read)
        m_lastActivity = m_context.loop.now();
    if (!events.empty()) {
        if (!m_headSent) {
            m_timeToFirstEvent = sinceArrival();
            m_context.metrics.onFirstEvent(*m_timeToFirstEvent);
            const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
                m_context.loop.now() - m_attemptStartedAt);
            m_context.latencyEstimator.onFirstToken(m_service, m_metadata.promptTokens, took);
            m_context.placer.onFirstToken(m_placement);
            recordStreamOrigin();
            beginAnswer();
        }
        m_client->write(events);
        applyBackpressure();
    }
    if (!m_splitter.isUnusable())
        return;
    abandonCall(abandon_cause::Unusable);
}

template <gateway_codec Codec>
void exchange<Codec>::beginAnswer()
{
    m_headSent = true;
    http::response_head head;
    head.status = m_answer.status;
    head.reason = m_answer.reason;
    head.fields = http::forwardedFields(m_answer.fields);
    // A stream may be continued by another server and then has a different length.
    if (m_forwarding == forwarding_mode::Bytes)
        head.length = m_answer.length;
    m_clientStatus = head.status;
    m_client->begin(head);
    if (m_forwarding == forwarding_mode::Events) {
        freeStageResults();
        m_needsStages = m_stageProgress.has_value();
    }
}

// If the client reads more slowly than the server writes, the unread rest stays at the server.
template <gateway_codec Codec>
void exchange<Codec>::applyBackpressure()
{
    if (m_client->queuedBytes() <= MaxQueuedBytes)
        return;
    m_context.transport.setReading(m_call, false);
    m_client->onDrained([self = this->shared_from_this()] {
        self->m_lastActivity = self->m_context.loop.now();
        self->m_context.transport.setReading(self->m_call, true);
    });
}

} // namespace orchidlead::gateway
