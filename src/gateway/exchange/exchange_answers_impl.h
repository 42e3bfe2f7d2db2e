#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"

#include <utility>

/// The part of `exchange` that reads the answer of a server and forwards it to the client.
namespace orchidlead::gateway {

template <gateway_codec Codec>
bool exchange<Codec>::isRefusal(int code, const response_metadata &metadata)
{
    return metadata.notExecuted || code == status::Misdirected;
}

template <gateway_codec Codec>
bool exchange<Codec>::mayForward(int code, const response_metadata &metadata)
{
    return !isRefusal(code, metadata) && (!status::isSuccess(code) || metadata.signedByServer);
}

template <gateway_codec Codec>
void exchange<Codec>::recordResponse(const server_attempt &to, const response_metadata &metadata)
{
    m_context.directory.onResponseBegin(*to.server);
    m_context.directory.onBytes(*to.server);
    m_context.directory.onSignals(*to.server, metadata.server);
    m_context.placer.onSignals(to.placement, metadata.server);
}

template <gateway_codec Codec>
void exchange<Codec>::onHead(const http::response_head &head)
{
    m_current.metadata = Codec::readAnswer(head);
    recordResponse(m_current, m_current.metadata);
    const bool success = status::isSuccess(head.status);
    const bool forwarded = mayForward(head.status, m_current.metadata);
    if (m_headSent) {
        // The continuation of a stream, whose head was already sent to the client.
        m_current.forwarding =
            success && forwarded ? forwarding_mode::Events : forwarding_mode::Nothing;
        return;
    }
    m_current.answer = head;
    if (!forwarded) {
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
    const auto now = m_context.loop.now();
    m_context.directory.onBytes(*m_current.server);
    if (m_current.forwarding == forwarding_mode::Buffered
        || m_current.forwarding == forwarding_mode::Bytes)
        m_current.lastBytesAt = now;
    if (!m_current.answerStartedAt)
        m_current.answerStartedAt = now;
    else if (m_headSent && now - *m_current.answerStartedAt > StablePartTime)
        reportPartsServed();
    switch (m_current.forwarding) {
    case forwarding_mode::Nothing:
        m_current.discardedBytes += bytes.size();
        if (m_current.discardedBytes > MaxDiscardedAnswer)
            abandonUnusableCall();
        break;
    case forwarding_mode::Buffered:
        m_current.bufferedAnswer.append(bytes);
        if (m_current.bufferedAnswer.size() > MaxBufferedAnswer && !mayForwardUnfinished()) {
            abandonUnusableCall();
        } else if (m_current.bufferedAnswer.size() > MaxBufferedAnswer) {
            m_current.forwarding = forwarding_mode::Bytes;
            endHeld();
            beginAnswer();
            forwardBytes(std::exchange(m_current.bufferedAnswer, {}));
        }
        break;
    case forwarding_mode::Bytes:
        forwardBytes(bytes);
        break;
    case forwarding_mode::Events:
        onEvents(bytes);
        break;
    }
}

// The client's answer is broken off where a second one begins.
template <gateway_codec Codec>
void exchange<Codec>::forwardBytes(std::string_view bytes)
{
    if (!endsWithConnection()) {
        m_client->write(bytes);
        applyBackpressure();
        return;
    }
    m_client->write(m_scanner.feed(bytes));
    if (m_scanner.found())
        abandonUnusableCall();
    else
        applyBackpressure();
}

// A long failure is not forwarded while another server may answer, nor a status that would promise
// the client that the request hasn't run.
template <gateway_codec Codec>
bool exchange<Codec>::mayForwardUnfinished() const
{
    if (!m_route->repeatable())
        return !claimsNotRun();
    return m_current.answer.status < status::FirstServerError || m_attempts >= m_route->maxAttempts;
}

template <gateway_codec Codec>
bool exchange<Codec>::claimsNotRun() const
{
    return m_current.answer.status == status::Unavailable
        || m_current.answer.status == status::TooMany || m_current.answer.status == status::Timeout;
}

// Bytes that complete no event are no sign that the stream continues.
template <gateway_codec Codec>
void exchange<Codec>::onEvents(std::string_view bytes)
{
    const auto read = m_current.splitter.eventsInOrder();
    const auto events = m_current.splitter.feed(bytes);
    if (m_current.splitter.eventsInOrder() != read)
        m_current.lastBytesAt = m_context.loop.now();
    forwardEvents(events);
    if (m_current.splitter.isUnusable())
        abandonUnusableCall();
}

template <gateway_codec Codec>
void exchange<Codec>::forwardEvents(std::string_view events)
{
    if (events.empty())
        return;
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
