#include "gateway/quarantine/server_end_observer.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

bool addInterrupted(server_end &end, const interrupted_request &request)
{
    const auto known =
        std::ranges::find(end.requests, request.digest, &interrupted_request::digest);
    if (known == end.requests.end()) {
        end.requests.push_back(request);
        return true;
    }
    known->sentAt = std::min(known->sentAt, request.sentAt);
    return false;
}

server_end_observer::server_end_observer(const clock_source &clock)
    : m_clock(clock)
{ }

// All connections of a server that ends break off within milliseconds: one try serves them all.
bool server_end_observer::onBroken(const backend_server_id &server,
                                   const interrupted_request &request)
{
    const auto [entry, isFirst] = m_open.try_emplace(server);
    if (isFirst) {
        entry->second.server = server;
        entry->second.at = m_clock.now();
    }
    addInterrupted(entry->second, request);
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
