#include "gateway/server_end_observer.h"

#include <utility>

namespace orchidlead::gateway {

server_end_observer::server_end_observer(const clock_source &clock)
    : m_clock(clock)
{ }

// All connections of a server that ends break off within milliseconds: one try serves them all.
bool server_end_observer::onBroken(const backend_server_id &server, const request_digest &request)
{
    const auto [entry, isFirst] = m_open.try_emplace(server);
    if (isFirst) {
        entry->second.server = server;
        entry->second.at = m_clock.now();
    }
    entry->second.requests.push_back(request);
    return isFirst;
}

std::optional<server_end> server_end_observer::onConnectOutcome(const backend_server_id &server)
{
    auto node = m_open.extract(server);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

} // namespace orchidlead::gateway
