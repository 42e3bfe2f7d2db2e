#include "net/connection_response.h"

#include <utility>

namespace orchidlead::net {

connection_response::connection_response(std::weak_ptr<response_sink> connection)
    : m_connection(std::move(connection))
{ }

connection_response::~connection_response()
{
    if (m_ended || m_state == write_state::Finished)
        return;
    if (const auto connection = m_connection.lock())
        connection->onWriterReleased();
}

void connection_response::respond(int status, const header_list &headers, std::string body)
{
    if (m_ended || m_state != write_state::Unanswered)
        return;
    m_state = write_state::Finished;
    if (const auto connection = m_connection.lock())
        connection->sendWhole(status, headers, body);
}

void connection_response::begin(int status, const header_list &headers)
{
    if (m_ended || m_state != write_state::Unanswered)
        return;
    m_state = write_state::Begun;
    if (const auto connection = m_connection.lock())
        connection->sendHead(status, headers);
}

void connection_response::write(std::string chunk)
{
    if (m_ended || m_state != write_state::Begun || chunk.empty())
        return;
    if (const auto connection = m_connection.lock())
        connection->sendPart(chunk);
}

void connection_response::finish()
{
    if (m_ended || m_state != write_state::Begun)
        return;
    m_state = write_state::Finished;
    if (const auto connection = m_connection.lock())
        connection->sendEnd();
}

std::size_t connection_response::queuedBytes() const
{
    const auto connection = m_connection.lock();
    return connection && !m_ended ? connection->queuedBytes() : 0;
}

void connection_response::onDrained(std::function<void()> handler)
{
    m_onDrained = std::move(handler);
}

void connection_response::onClosed(std::function<void()> handler)
{
    if (!m_ended)
        m_onClosed = std::move(handler);
}

// Handlers are copied or moved out before they run, since they may replace themselves or destroy
// this object. They are cleared when the response ends, since they often own this object.
void connection_response::onQueueDrained()
{
    const auto handler = m_onDrained;
    if (handler)
        handler();
}

void connection_response::onSent()
{
    m_ended = true;
    const auto drainedHandler = std::exchange(m_onDrained, {});
    const auto closedHandler = std::exchange(m_onClosed, {});
}

void connection_response::onConnectionClosed()
{
    if (std::exchange(m_ended, true))
        return;
    const auto drainedHandler = std::exchange(m_onDrained, {});
    const auto closedHandler = std::exchange(m_onClosed, {});
    if (closedHandler)
        closedHandler();
}

} // namespace orchidlead::net
