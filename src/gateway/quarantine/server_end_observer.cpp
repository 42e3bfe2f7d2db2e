#include "gateway/quarantine/server_end_observer.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

bool addInterruptedRequest(server_end &crash, const interrupted_request &request)
{
    const auto known =
        std::ranges::find(crash.requests, request.digest, &interrupted_request::digest);
    if (known == crash.requests.end()) {
        crash.requests.push_back(request);
        return true;
    }
    known->sentAt = std::min(known->sentAt, request.sentAt);
    return false;
}

server_end_observer::server_end_observer(const clock_source &clock)
    : m_clock(clock)
{ }

// All connections to a crashed server break within milliseconds of each other, so one probe
// connection is enough for all of them.
bool server_end_observer::onBroken(const backend_server_id &server,
                                   const interrupted_request &request)
{
    const auto [probed, isFirst] = m_probed.try_emplace(server);
    if (isFirst) {
        probed->second.server = server;
        probed->second.at = m_clock.now();
    }
    addInterruptedRequest(probed->second, request);
    return isFirst;
}

std::optional<server_end> server_end_observer::onConnectOutcome(const backend_server_id &server)
{
    auto node = m_probed.extract(server);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

} // namespace orchidlead::gateway
