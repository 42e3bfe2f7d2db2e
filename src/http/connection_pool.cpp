#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

namespace orchidlead::http {

namespace {

// A healthy server in another data centre answers within 40 ms. A lost SYN is retransmitted only
// after 1 s; by then, another server has answered.
constexpr milliseconds ConnectTimeout{400};
// Idle time for which a connection is kept if the server states no keep-alive timeout.
constexpr milliseconds DefaultKeepAlive{3000};
// An idle connection is not reused this close to the end of its keep-alive timeout, since the
// server might close it while the request is in transit.
constexpr milliseconds KeepAliveMargin{700};

} // namespace

connection_pool::connection_pool(io_loop &loop, connect_function open)
    : m_loop(loop)
    , m_open(std::move(open))
{ }

connection_pool::~connection_pool()
{
    *m_alive = false;
    for (const auto &[id, connection] : std::exchange(m_calls, {}))
        connection->abandon();
    for (const auto &[address, connections] : std::exchange(m_idle, {})) {
        for (const auto &each : connections)
            each.connection->close();
    }
}

pool_call connection_pool::start(const socket_address &to, outbound_call call)
{
    const pool_call id = ++m_lastCall;
    call.onEnd = [this, id, onEnd = std::move(call.onEnd)](call_end outcome) {
        m_calls.erase(id);
        if (onEnd)
            onEnd(outcome);
    };
    if (const auto reused = takeIdle(to)) {
        m_calls.emplace(id, reused);
        // Posted, so that a call that fails immediately is reported only after `start` has
        // returned.
        m_loop.post([this, id, reused, alive = m_alive, call = std::move(call)]() mutable {
            if (!*alive || !m_calls.contains(id)) {
                reused->close();
                return;
            }
            if (reused->idle())
                reused->send(std::move(call));
            else
                call.onEnd(call_end::NotSent);
        });
        return id;
    }
    const auto created = makeConnection(to);
    m_calls.emplace(id, created);
    created->open(to, ConnectTimeout, std::move(call));
    return id;
}

void connection_pool::connect(const socket_address &to,
                              std::function<void(connect_outcome)> onOutcome)
{
    const pool_call id = ++m_lastCall;
    const auto result = std::make_shared<connect_outcome>(connect_outcome::Refused);
    outbound_call nothing;
    nothing.onConnect = [result](connect_outcome outcome) { *result = outcome; };
    nothing.writeHead = []() -> std::optional<std::string> { return std::nullopt; };
    nothing.onEnd = [this, id, result, onOutcome = std::move(onOutcome)](call_end) {
        m_calls.erase(id);
        onOutcome(*result);
    };
    const auto created = makeConnection(to);
    m_calls.emplace(id, created);
    created->open(to, ConnectTimeout, std::move(nothing));
}

std::shared_ptr<outbound_connection> connection_pool::makeConnection(const socket_address &to)
{
    ++m_opened;
    outbound_connection::owner_events owner;
    owner.onIdle = [this, to](const std::shared_ptr<outbound_connection> &connection) {
        const auto keepFor = connection->keepAlive().value_or(DefaultKeepAlive);
        m_idle[to].push_back({connection, m_loop.now() + keepFor - KeepAliveMargin});
    };
    owner.onClosed = [this, to, alive = m_alive](outbound_connection &closed) {
        if (*alive)
            removeIdle(to, closed);
    };
    return std::make_shared<outbound_connection>(m_loop, std::move(owner), m_open);
}

// Returns the most recently used connection: surplus ones then expire, so the size of the pool
// follows the load.
std::shared_ptr<outbound_connection> connection_pool::takeIdle(const socket_address &to)
{
    const auto found = m_idle.find(to);
    if (found == m_idle.end())
        return nullptr;
    while (!found->second.empty()) {
        auto last = std::move(found->second.back());
        found->second.pop_back();
        if (last.usableUntil > m_loop.now())
            return std::move(last.connection);
        last.connection->close();
    }
    return nullptr;
}

void connection_pool::closeIdle(const socket_address &to)
{
    const auto found = m_idle.find(to);
    if (found == m_idle.end())
        return;
    for (const auto &each : std::exchange(found->second, {}))
        each.connection->close();
}

void connection_pool::removeIdle(const socket_address &to, outbound_connection &closed)
{
    const auto found = m_idle.find(to);
    if (found == m_idle.end())
        return;
    std::erase_if(found->second,
                  [&](const idle_connection &each) { return each.connection.get() == &closed; });
}

void connection_pool::abandon(pool_call call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const auto connection = std::move(found->second);
    m_calls.erase(found);
    connection->abandon();
}

void connection_pool::setReading(pool_call call, bool reading)
{
    if (const auto found = m_calls.find(call); found != m_calls.end())
        found->second->setReading(reading);
}

} // namespace orchidlead::http
