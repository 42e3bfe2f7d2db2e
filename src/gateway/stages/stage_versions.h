#pragma once

#include "gateway/quarantine/request_digest.h"
#include "gateway/servers/server_directory.h"

#include <map>
#include <optional>

namespace orchidlead::gateway {

/// Returns whether servers of several software versions of a service are published, or were so
/// until recently. Until then nodes may differ in what they know.
[[nodiscard]] bool hadSeveralVersions(const server_directory &directory, const service_id &service,
                                      steady_time now);

/// Returns the software version at which the stages of a request are computed in a pool: each
/// version gets a share of the requests that is proportional to its servers. Servers that take
/// work only slowly at present count only if all do. Empty if the pool has no usable server.
[[nodiscard]] std::optional<software_version> assignStageVersion(const server_directory &directory,
                                                                 const pool_key &pool,
                                                                 const request_digest &subject,
                                                                 steady_time now);

/// The software version of each service at which the stages of one request are computed. Results of
/// two versions of a service don't fit together, and servers don't check it.
class stage_versions
{
public:
    /// Returns the version of a service; empty: not assigned yet.
    [[nodiscard]] std::optional<software_version> of(const service_id &service) const;
    /// Assigns the version of a service, unless results of another one are in use.
    void assign(const service_id &service, const std::optional<software_version> &version);
    /// Returns whether a result that was computed at `version` fits the results in use. The first
    /// result of a service determines its version.
    [[nodiscard]] bool accept(const service_id &service, const software_version &version);
    /// Records that no results are in use any more. Keeps the versions.
    void onRestart();

private:
    struct assigned_version
    {
        software_version version;
        bool hasResults = false;
    };

    std::map<service_id, assigned_version> m_versions;
};

} // namespace orchidlead::gateway
