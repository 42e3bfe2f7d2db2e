#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"

#include <utility>

/// The part of `exchange` that reads the answer of a server and forwards it to the client.
namespace orchidlead::gateway {

template <gateway_codec Codec>
void exchange<Codec>::onHead(const http::response_head &head)
{
    m_current.metadata = Codec::readAnswer(head);
    m_context.directory.onResponseBegin(*m_current.server);
    m_context.directory.onBytes(*m_current.server);
    m_context.directory.onSignals(*m_current.server, m_current.metadata.server);
    m_context.placer.onSignals(m_current.placement, m_current.metadata.server);
    const bool success = head.status >= status::Ok && head.status < status::FirstRedirect;
    if (m_headSent) {
        // The continuation of a stream, whose head was already sent to the client.
        m_current.forwarding = success ? forwarding_mode::Events : forwarding_mode::Nothing;
        return;
    }
    m_current.answer = head;
    const bool refused = m_current.metadata.notExecuted || head.status == status::Misdirected;
    if (refused || (success && !m_current.metadata.signedByServer)) {
        m_current.forwarding = forwarding_mode::Nothing;
        return;
    }
    const bool events = success && m_route->kind == request_kind::Stream;
    m_current.forwarding = events ? forwarding_mode::Events : forwarding_mode::Buffered;
}

template <gateway_codec Codec>
void exchange<Codec>::onBody(std::string_view bytes)
{
    if (m_done)
        return;
    m_current.lastBytesAt = m_context.loop.now();
    m_context.directory.onBytes(*m_current.server);
    if (!m_current.answerStartedAt)
        m_current.answerStartedAt = m_current.lastBytesAt;
    else if (m_headSent && m_current.lastBytesAt - *m_current.answerStartedAt > StablePartTime)
        reportPartsServed();
    switch (m_current.forwarding) {
    case forwarding_mode::Nothing:
        break;
    case forwarding_mode::Buffered:
        m_current.bufferedAnswer.append(bytes);
        if (m_current.bufferedAnswer.size() > MaxBufferedAnswer) {
            m_current.forwarding = forwarding_mode::Bytes;
            endHeld();
            beginAnswer();
            m_client->write(std::exchange(m_current.bufferedAnswer, {}));
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

template <gateway_codec Codec>
void exchange<Codec>::onEvents(std::string_view bytes)
{
    const auto events = m_current.splitter.feed(bytes);
    if (!events.empty()) {
        if (!m_headSent) {
            m_timeToFirstEvent = sinceArrival();
            m_context.metrics.onFirstEvent(*m_timeToFirstEvent);
            const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
                m_context.loop.now() - m_current.startedAt);
            m_context.latencyEstimator.onFirstToken(m_service, m_metadata.promptTokens, took);
            m_context.placer.onFirstToken(m_current.placement);
            recordStreamOrigin();
            beginAnswer();
        }
        endHeld();
        m_client->write(events);
        applyBackpressure();
    }
    if (!m_current.splitter.isUnusable())
        return;
    abandonUnusableCall();
}

template <gateway_codec Codec>
void exchange<Codec>::beginAnswer()
{
    m_headSent = true;
    http::response_head head;
    head.status = m_current.answer.status;
    head.reason = m_current.answer.reason;
    head.fields = http::forwardedFields(m_current.answer.fields);
    // A stream may be continued by another server and then has a different length.
    if (m_current.forwarding == forwarding_mode::Bytes)
        head.length = m_current.answer.length;
    m_clientStatus = head.status;
    m_client->begin(head);
    if (m_current.forwarding == forwarding_mode::Events) {
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
    m_current.readingPaused = true;
    m_context.transport.setReading(m_current.call, false);
    m_client->onDrained([self = this->shared_from_this()] { self->resumeReading(); });
}

template <gateway_codec Codec>
void exchange<Codec>::resumeReading()
{
    if (m_current.call == 0 || !std::exchange(m_current.readingPaused, false))
        return;
    m_current.lastBytesAt = m_context.loop.now();
    m_context.transport.setReading(m_current.call, true);
}

} // namespace orchidlead::gateway
