#include "http/listener.h"

#include <algorithm>
#include <utility>

namespace orchidlead::http {

namespace {

// Ended connections are forgotten when the list has grown to this, or to twice what was left.
constexpr std::size_t LeastSweep = 64;

} // namespace

listener::listener(io_loop &loop, std::shared_ptr<inbound_shared> shared)
    : m_loop(loop)
    , m_shared(std::move(shared))
    , m_sweepAt(LeastSweep)
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
    std::unique_ptr<listener> made(new listener(loop, std::move(shared)));
    auto opened =
        acceptor::create(loop, at, [self = made.get()](std::shared_ptr<stream_socket> socket) {
            self->take(std::move(socket));
        });
    if (!opened)
        return std::move(opened).error();
    made->m_acceptor = std::move(opened).value();
    return made;
}

void listener::take(std::shared_ptr<stream_socket> socket)
{
    if (m_shared->connections >= m_shared->limits.maxConnections)
        return;
    if (m_connections.size() >= m_sweepAt) {
        std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
        m_sweepAt = std::max(LeastSweep, 2 * m_connections.size());
    }
    const auto made = std::make_shared<inbound_connection>(m_loop, std::move(socket), m_shared);
    m_connections.push_back(made);
    made->start();
}

void listener::closeIdle(milliseconds atLeast)
{
    const auto connections = m_connections;
    for (const auto &weak : connections) {
        if (const auto each = weak.lock())
            each->closeIfIdle(atLeast);
    }
}

} // namespace orchidlead::http
