#include "net/connection_response.h"

#include <utility>

namespace orchidlead::net {

connection_response::connection_response(std::weak_ptr<answer_sink> connection)
    : m_connection(std::move(connection))
{ }

connection_response::~connection_response()
{
    if (m_over || m_stage == stage::Finished)
        return;
    if (const auto connection = m_connection.lock())
        connection->dropped();
}

void connection_response::respond(int status, const header_list &headers, std::string body)
{
    if (m_over || m_stage != stage::Unanswered)
        return;
    m_stage = stage::Finished;
    if (const auto connection = m_connection.lock())
        connection->sendWhole(status, headers, body);
}

void connection_response::begin(int status, const header_list &headers)
{
    if (m_over || m_stage != stage::Unanswered)
        return;
    m_stage = stage::Begun;
    if (const auto connection = m_connection.lock())
        connection->sendHead(status, headers);
}

void connection_response::write(std::string chunk)
{
    if (m_over || m_stage != stage::Begun || chunk.empty())
        return;
    if (const auto connection = m_connection.lock())
        connection->sendPart(chunk);
}

void connection_response::finish()
{
    if (m_over || m_stage != stage::Begun)
        return;
    m_stage = stage::Finished;
    if (const auto connection = m_connection.lock())
        connection->sendEnd();
}

std::size_t connection_response::queuedBytes() const
{
    const auto connection = m_connection.lock();
    return connection && !m_over ? connection->queuedBytes() : 0;
}

void connection_response::onDrained(std::function<void()> handler)
{
    m_onDrained = std::move(handler);
}

void connection_response::onClosed(std::function<void()> handler)
{
    if (!m_over)
        m_onClosed = std::move(handler);
}

// The handlers are moved out before they run, since they may set others or drop this object; they
// are cleared at the end, since they often hold this object.
void connection_response::drained()
{
    const auto handler = m_onDrained;
    if (handler)
        handler();
}

void connection_response::sent()
{
    m_over = true;
    const auto drainedHandler = std::exchange(m_onDrained, {});
    const auto closedHandler = std::exchange(m_onClosed, {});
}

void connection_response::closed()
{
    if (std::exchange(m_over, true))
        return;
    const auto drainedHandler = std::exchange(m_onDrained, {});
    const auto closedHandler = std::exchange(m_onClosed, {});
    if (closedHandler)
        closedHandler();
}

} // namespace orchidlead::net
