#include "gateway/quarantine/server_crash_detector.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

bool addSubject(server_crash &crash, const crash_subject &subject)
{
    const auto known = std::ranges::find(crash.subjects, subject.digest, &crash_subject::digest);
    if (known == crash.subjects.end()) {
        crash.subjects.push_back(subject);
        return true;
    }
    known->sentAt = std::min(known->sentAt, subject.sentAt);
    return false;
}

server_crash_detector::server_crash_detector(const clock_source &clock)
    : m_clock(clock)
{ }

// All connections to a crashed server break within milliseconds of each other, so one probe
// connection is enough for all of them.
bool server_crash_detector::onConnectionBroken(const backend_server_id &server,
                                               const std::vector<crash_subject> &subjects)
{
    const auto [probed, isFirst] = m_probed.try_emplace(server);
    if (isFirst) {
        probed->second.server = server;
        probed->second.at = m_clock.now();
    }
    for (const auto &each : subjects)
        addSubject(probed->second, each);
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
