#pragma once

#include "gateway/servers/version_assignment.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Shares that applied before a node knew any.
struct earlier_share
{
    version_shares shares;
    /// Latest time at which they can have begun to apply; empty: the present.
    std::optional<wall_time> appliedBy;
};
/// Earlier shares of each service, oldest first.
using earlier_shares = std::unordered_map<service_id, std::vector<earlier_share>>;

/// The software versions that have been ready in each service over the last minutes. Answers on
/// which version a stream began only for times of which all changes are known: a version that is
/// not published now may have served a moment ago. Does no I/O.
class version_history
{
public:
    /// How long shares are kept; longer than clients continue streams.
    static constexpr std::chrono::minutes Memory{2};
    /// Changes kept at most for a service; one takes about 200 bytes.
    static constexpr std::size_t MaxChanges = 512;

    explicit version_history(const clock_source &clock);

    /// Records the shares of a service from now on.
    void record(const service_id &service, const version_shares &shares);
    /// Begins anew: changes may have been missed until now.
    void forgetBeforeNow();
    /// Adds what was ready between `since` and the first recorded change.
    void addEarlier(const earlier_shares &earlier, steady_time since);

    /// Returns the shares of a service at present; null if it never had servers.
    [[nodiscard]] const version_shares *current(const service_id &service) const;
    /// Returns whether all changes since then are known.
    [[nodiscard]] bool covers(const service_id &service, steady_time since) const;
    /// Returns whether at most one version was ready since then, as far as is known.
    [[nodiscard]] bool hadOneVersionSince(const service_id &service, steady_time since) const;
    /// Returns the version that is assigned to a subject by the shares at each time since `since`
    /// that are known; empty if they differ.
    [[nodiscard]] std::optional<software_version> assignedSince(const request_digest &subject,
                                                                const service_id &service,
                                                                steady_time since) const;

private:
    struct change
    {
        steady_time at;
        version_shares shares;
    };
    struct service_changes
    {
        std::deque<change> changes; ///< oldest first
        std::optional<steady_time> droppedUntil; ///< changes before this time were dropped
    };

    void dropOld(service_changes &kept);
    /// Calls `visit` with each of the shares that applied at some time since then, until it returns
    /// false.
    template <class Visitor>
    void visitSince(const service_id &service, steady_time since, Visitor visit) const;

    const clock_source &m_clock;
    std::unordered_map<service_id, service_changes> m_services;
    std::optional<steady_time> m_knownSince;
};

} // namespace orchidlead::gateway
