#include "daemon/caller_connection.h"

#include "daemon/answer_json.h"

#include <utility>

namespace orchidlead::daemon {

caller_connection::caller_connection(net::response_ptr response, std::size_t maxQueuedBytes,
                                     std::function<void(bool reading)> setReading)
    : m_response(std::move(response))
    , m_maxQueuedBytes(maxQueuedBytes)
    , m_setReading(std::move(setReading))
{ }

void caller_connection::onChunk(const std::string &text)
{
    if (!m_begun)
        begin();
    m_response->write(writeEvent("token", writeToken(text)));
    pauseWhenFull();
}

void caller_connection::onAnswer(const final_answer &answer)
{
    if (!m_begun) {
        m_response->respond(httpStatus(answer.outcome, answer.reason), answerHeaders(answer),
                            writeAnswer(answer));
        return;
    }
    m_response->write(writeEvent("outcome", writeAnswer(answer)));
    m_response->finish();
}

void caller_connection::begin()
{
    constexpr int Ok = 200;
    m_begun = true;
    m_response->begin(Ok, {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}});
    m_response->onDrained([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->resume();
    });
}

void caller_connection::pauseWhenFull()
{
    if (m_paused || m_response->queuedBytes() <= m_maxQueuedBytes)
        return;
    m_paused = true;
    m_setReading(false);
}

void caller_connection::resume()
{
    if (!m_paused)
        return;
    m_paused = false;
    m_setReading(true);
}

} // namespace orchidlead::daemon
