#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"

#include <utility>

/// The part of an exchange that reads a server's answer and passes it on to the client.
namespace orchidlead::gateway {

// An answer that comes late may be older than others that this node had: of its limit it says
// nothing that holds now.
template <gateway_codec Codec>
void exchange<Codec>::onForeignHead(const answer_marks &marks)
{
    auto told = marks.server;
    told.rateLimit = NoSignals.rateLimit;
    m_context.directory.onSignals(*m_server, told);
}

template <gateway_codec Codec>
void exchange<Codec>::onHead(const http::response_head &head)
{
    m_answerMarks = Codec::readAnswer(head);
    m_context.directory.onAnswerBegun(*m_server);
    m_context.directory.onSignals(*m_server, m_answerMarks.server);
    m_context.placer.onSignals(m_placement, m_answerMarks.server);
    const bool success = head.status >= status::Ok && head.status < status::FirstRedirect;
    if (m_begun) {
        // A stream that goes on: its head is out already.
        m_passing = success ? passing::Events : passing::Nothing;
        return;
    }
    m_answer = head;
    const bool refused = m_answerMarks.notRun || head.status == status::Misdirected;
    if (refused || (success && !m_answerMarks.signedByServer)) {
        m_passing = passing::Nothing;
        return;
    }
    const bool events = success && m_route->kind == request_kind::Stream;
    m_passing = events ? passing::Events : passing::Buffered;
}

template <gateway_codec Codec>
void exchange<Codec>::onBody(std::string_view bytes)
{
    if (m_done)
        return;
    m_lastHeard = m_context.loop.now();
    if (!m_answeredFrom)
        m_answeredFrom = m_lastHeard;
    switch (m_passing) {
    case passing::Nothing:
        break;
    case passing::Buffered:
        m_buffered.append(bytes);
        if (m_buffered.size() > MaxBufferedAnswer) {
            m_passing = passing::Bytes;
            beginAnswer();
            m_client->write(std::exchange(m_buffered, {}));
            passBackpressure();
        }
        break;
    case passing::Bytes:
        m_client->write(bytes);
        passBackpressure();
        break;
    case passing::Events:
        onEvents(bytes);
        break;
    }
}

template <gateway_codec Codec>
void exchange<Codec>::onEvents(std::string_view bytes)
{
    const auto events = m_splitter.feed(bytes);
    if (!events.empty()) {
        if (!m_begun) {
            m_firstEvent = sinceArrival();
            m_context.metrics.onFirstEvent(*m_firstEvent);
            const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
                m_context.loop.now() - m_sentAt);
            m_context.times.onFirstAnswer(m_service, took);
            m_context.placer.onFirstAnswer(m_placement);
            beginAnswer();
        }
        m_client->write(events);
        passBackpressure();
    }
    if (!m_splitter.broken())
        return;
    m_context.pool.abandon(m_call);
    onEnd(http::call_end::TooLarge);
}

template <gateway_codec Codec>
void exchange<Codec>::beginAnswer()
{
    m_begun = true;
    http::response_head head;
    head.status = m_answer.status;
    head.reason = m_answer.reason;
    head.fields = http::forwardedFields(m_answer.fields);
    // A stream may go on at another server, and then has another length.
    if (m_passing == passing::Bytes)
        head.length = m_answer.length;
    m_told = head.status;
    m_client->begin(head);
    if (m_passing == passing::Events) {
        freeResults();
        m_needsStages = m_work.has_value();
    }
}

// The client reads slower than its server writes: what it hasn't read waits at the server.
template <gateway_codec Codec>
void exchange<Codec>::passBackpressure()
{
    if (m_client->queuedBytes() <= MaxQueuedBytes)
        return;
    m_context.pool.setReading(m_call, false);
    m_client->onDrained([self = this->shared_from_this()] {
        self->m_lastHeard = self->m_context.loop.now();
        self->m_context.pool.setReading(self->m_call, true);
    });
}

} // namespace orchidlead::gateway
