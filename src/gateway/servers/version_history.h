#pragma once

#include "gateway/quarantine/request_digest.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// A server was published as ready for new requests, or no longer is.
struct ready_change
{
    service_id service;
    backend_server_id server;
    software_version version;
    bool ready = false;
};

/// A time in which a server was ready, learned after the fact.
struct earlier_ready_time
{
    std::optional<service_id> service; ///< empty: may be any
    backend_server_id server;
    std::optional<software_version> version; ///< empty: may be any
    std::optional<wall_time> from; ///< latest possible begin; empty: unknown
    std::optional<wall_time> to; ///< latest possible end; empty: unknown
    bool ended = false; ///< else the server is still ready
};

/// The servers that have been ready in each service over the last minutes, and their software
/// versions.
///
/// Work that must stay at one version begins on the version of one server: the ready one that ranks
/// highest for the subject of the work. This depends on nothing but the subject and the published
/// servers, so each node computes it again, also after it has lost its memory. A server that comes
/// or goes changes the version only of subjects for which it ranks highest.
///
/// A server that is not published now may have been ready a moment ago. So the version on which
/// earlier work began is given only if all servers that can have been the highest ranking one since
/// then have the same version. Does no I/O.
class version_history
{
public:
    /// How long a server is kept that is no longer ready; longer than clients continue streams.
    static constexpr std::chrono::minutes Memory{2};
    /// Servers that are no longer ready kept at most for a service; one takes about 150 bytes.
    static constexpr std::size_t MaxEnded = 4096;

    explicit version_history(const clock_source &clock);

    /// Records a change that was just published.
    void record(const ready_change &change);
    /// Begins anew: changes may have been missed until now.
    void forgetBeforeNow();
    /// Adds what happened between `since` and now.
    void addEarlier(const std::vector<earlier_ready_time> &earlier, steady_time since);

    /// Returns the version on which work begins now; empty if no server is ready.
    [[nodiscard]] std::optional<software_version> assigned(const request_digest &subject,
                                                           const service_id &service) const;
    /// Returns the time since which all changes are known; empty before the first list.
    [[nodiscard]] std::optional<steady_time> knownSince() const { return m_knownSince; }
    /// Returns whether all changes since then are known.
    [[nodiscard]] bool covers(const service_id &service, steady_time since) const;
    /// As `covers`, but not counting what `addEarlier` has added.
    [[nodiscard]] bool observed(const service_id &service, steady_time since) const;
    /// Returns whether at most one version was ready since then, as far as is known.
    [[nodiscard]] bool hadOneVersionSince(const service_id &service, steady_time since) const;
    /// Returns the version on which work began at some time since then, as far as is known; empty
    /// if it isn't certain.
    [[nodiscard]] std::optional<software_version> assignedSince(const request_digest &subject,
                                                                const service_id &service,
                                                                steady_time since) const;

private:
    struct ready_time
    {
        backend_server_id server;
        std::optional<software_version> version; ///< empty: may be any
        steady_time from; ///< latest possible begin
        std::optional<steady_time> to; ///< latest possible end; empty: still ready
    };
    struct service_servers
    {
        std::map<backend_server_id, ready_time> ready;
        std::map<software_version, std::size_t> versions; ///< number of ready servers of each
        std::deque<ready_time> ended; ///< in the order in which they were recorded
        std::optional<steady_time> droppedUntil; ///< some that ended before were dropped
    };

    void end(service_servers &servers, const backend_server_id &id);
    void addEnded(service_servers &servers, ready_time ended);
    /// Returns the latest time of something that happened before the recorded changes.
    [[nodiscard]] steady_time earlierTime(const std::optional<wall_time> &time) const;
    /// Returns the recorded time in which the same server was ready; null if there is none.
    [[nodiscard]] static ready_time *findRecorded(service_servers &servers,
                                                  const earlier_ready_time &earlier);
    /// Calls `visit` with each server that was ready at some time since then.
    template <class Visitor>
    void visitSince(const service_id &service, steady_time since, Visitor visit) const;

    const clock_source &m_clock;
    std::unordered_map<service_id, service_servers> m_services;
    service_servers m_unknown; ///< servers that may belong to any service
    std::optional<steady_time> m_knownSince;
    std::optional<steady_time> m_observedSince;
};

} // namespace orchidlead::gateway
