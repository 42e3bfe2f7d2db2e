#include "http/listener.h"

#include <algorithm>
#include <utility>

namespace orchidlead::http {

namespace {

// Closed connections are removed from the list when it has grown to this size or, if larger, to
// twice its size after the previous removal.
constexpr std::size_t MinSweepSize = 64;

} // namespace

listener::listener(io_loop &loop, std::shared_ptr<inbound_shared> shared)
    : m_loop(loop)
    , m_shared(std::move(shared))
    , m_nextSweepSize(MinSweepSize)
{ }

listener::~listener()
{
    for (const auto &weak : m_connections) {
        if (const auto each = weak.lock())
            each->abort();
    }
}

result<std::unique_ptr<listener>, listen_error>
listener::create(io_loop &loop, const socket_address &at, std::shared_ptr<inbound_shared> shared)
{
    std::unique_ptr<listener> created(new listener(loop, std::move(shared)));
    auto opened =
        acceptor::create(loop, at, [self = created.get()](std::shared_ptr<stream_socket> socket) {
            self->addConnection(std::move(socket));
        });
    if (!opened)
        return std::move(opened).error();
    created->m_acceptor = std::move(opened).value();
    return created;
}

void listener::addConnection(std::shared_ptr<stream_socket> socket)
{
    if (m_shared->connections >= m_shared->limits.maxConnections)
        return;
    if (m_connections.size() >= m_nextSweepSize) {
        std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
        m_nextSweepSize = std::max(MinSweepSize, 2 * m_connections.size());
    }
    const auto created = std::make_shared<inbound_connection>(m_loop, std::move(socket), m_shared);
    m_connections.push_back(created);
    created->start();
}

void listener::closeIdle(milliseconds minIdleTime)
{
    const auto connections = m_connections;
    for (const auto &weak : connections) {
        if (const auto each = weak.lock())
            each->closeIfIdle(minIdleTime);
    }
}

void listener::refuseUnread(const field_list &fields)
{
    const auto connections = m_connections;
    for (const auto &weak : connections) {
        if (const auto each = weak.lock())
            each->refuseUnread(fields);
    }
}

} // namespace orchidlead::http
