#include "gateway/quarantine/server_crash_detector.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

bool addInterruptedRequest(server_crash &crash, const in_flight_request &request)
{
    const auto known =
        std::ranges::find(crash.requests, request.digest, &in_flight_request::digest);
    if (known == crash.requests.end()) {
        crash.requests.push_back(request);
        return true;
    }
    known->sentAt = std::min(known->sentAt, request.sentAt);
    return false;
}

server_crash_detector::server_crash_detector(const clock_source &clock)
    : m_clock(clock)
{ }

// All connections to a crashed server break within milliseconds of each other, so one probe
// connection is enough for all of them.
bool server_crash_detector::onConnectionBroken(const backend_server_id &server,
                                               const in_flight_request &request)
{
    const auto [probed, isFirst] = m_probed.try_emplace(server);
    if (isFirst) {
        probed->second.server = server;
        probed->second.at = m_clock.now();
    }
    addInterruptedRequest(probed->second, request);
    return isFirst;
}

std::optional<server_crash> server_crash_detector::onProbeResult(const backend_server_id &server)
{
    auto node = m_probed.extract(server);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

} // namespace orchidlead::gateway
