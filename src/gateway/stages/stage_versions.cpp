#include "gateway/stages/stage_versions.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace orchidlead::gateway {

namespace {

// Longer than the lists of two nodes in touch with the platform differ, and than a request waits
// for its stages.
constexpr milliseconds VersionMemory{60'000};

/// Returns the leading bits of a digest, which are uniformly distributed.
std::uint32_t leadingBits(const request_digest &digest)
{
    constexpr std::size_t Bytes = 4;
    constexpr unsigned BitsPerByte = 8;
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < Bytes; ++i)
        bits = bits << BitsPerByte | digest.bytes[i];
    return bits;
}

/// Returns whether a server is expected to compute pieces at its usual speed.
bool takesFullWork(const server &each, steady_time now)
{
    return each.avoidUntil <= now && !each.cold(now) && !each.effectiveRateLimit(now);
}

} // namespace

bool hadSeveralVersions(const server_directory &directory, const service_id &service,
                        steady_time now)
{
    return directory.versionsSince(service, now - VersionMemory).size() > 1;
}

// Servers that have just started count in full as soon as their cold phase ends. A share for the
// rest of the pool would leave the other servers idle while requests wait for cold ones.
std::optional<software_version> assignStageVersion(const server_directory &directory,
                                                   const pool_key &pool,
                                                   const request_digest &subject, steady_time now)
{
    const auto servers = directory.usable(pool);
    const bool anyFull = std::ranges::any_of(
        servers, [&](const server_ptr &each) { return takesFullWork(*each, now); });
    std::vector<software_version> versions; // of each server that counts
    for (const auto &each : servers) {
        if (!anyFull || takesFullWork(*each, now))
            versions.push_back(each->record.version);
    }
    if (versions.empty())
        return std::nullopt;
    std::ranges::sort(versions);
    return versions[leadingBits(subject) % versions.size()];
}

std::optional<software_version> stage_versions::of(const service_id &service) const
{
    const auto found = m_versions.find(service);
    return found == m_versions.end() ? std::nullopt : std::optional(found->second.version);
}

void stage_versions::assign(const service_id &service,
                            const std::optional<software_version> &version)
{
    const auto found = m_versions.find(service);
    if (!version || (found != m_versions.end() && found->second.hasResults))
        return;
    m_versions[service].version = *version;
}

bool stage_versions::accept(const service_id &service, const software_version &version)
{
    auto &assigned = m_versions[service];
    if (assigned.hasResults)
        return assigned.version == version;
    assigned = {version, true};
    return true;
}

void stage_versions::onRestart()
{
    for (auto &[service, assigned] : m_versions)
        assigned.hasResults = false;
}

} // namespace orchidlead::gateway
