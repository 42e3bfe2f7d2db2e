#pragma once

#include "gateway/servers/cold_start_settings.h"
#include "gateway/servers/effective_rate_limit.h"
#include "gateway/servers/pool_key.h"
#include "gateway/servers/removed_versions.h"
#include "gateway/servers/residency.h"
#include "gateway/servers/server_signals.h"
#include "gateway/servers/server_speed.h"
#include "gateway/servers/version_history.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Identifies one start of a backend server. A server that restarts under its id has lost all its
/// earlier state.
struct server_start
{
    backend_server_id id;
    /// Start time in Unix milliseconds; empty: not published.
    std::optional<std::uint64_t> startedAt;

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const server_start &, const server_start &) = default;
};

/// A start of a server that has reported that it is brittle.
struct brittle_server
{
    server_start server;
    std::uint32_t refusalsPerSecond = 0; ///< beyond which it falls over

    bool operator==(const brittle_server &) const = default;
};

/// A backend server as published by the platform.
struct server_record
{
    backend_server_id id;
    std::optional<std::uint64_t> startedAt; ///< as in `server_start`
    service_id service;
    socket_address address;
    data_center_id dataCenter;
    std::uint32_t slots = 1;
    bool leaving = false; ///< gets no new work
    software_version version; ///< of this start

    [[nodiscard]] server_start start() const { return {id, startedAt}; }
    friend bool operator==(const server_record &, const server_record &) = default;
};

/// Formats a rate limit for operators: requests per second, or "none".
[[nodiscard]] std::string rateLimitText(const std::optional<double> &perSecond);

/// What a start of a server has announced in its responses; valid until a later response of that
/// start changes it.
struct retained_signals
{
    std::optional<double> rateLimit; ///< as in `reported_rate_limit`
    steady_time rateLimitReportedAt{}; ///< time of the last report, also of one of no limit
    /// Refusals in a second beyond which the server falls over; empty: it isn't brittle.
    std::optional<std::uint32_t> brittleRefusals;
    bool announcedLeaving = false; ///< permanent, whatever the published record says
    steady_time backoffUntil{}; ///< end of the backoff that the server requested from this node
    bool probing = false; ///< the server has accepted no request since the end of the backoff
    steady_time probeUntil{}; ///< while `probing`: no second request is sent before this time
};

/// One start of a server with the state that this node keeps for it.
struct server : retained_signals
{
    server_record record;
    region_id region; ///< region of its data centre; empty: unknown
    bool removed = false; ///< no longer published, or another server uses its address
    bool unreachable = false; ///< its data centre can't be reached
    bool evacuated = false; ///< operators have evacuated its data centre
    std::uint32_t outstanding = 0; ///< requests of this node in progress
    std::optional<server_load> load;
    steady_time loadReportedAt{}; ///< time of the load report
    std::optional<reported_time> reportedTime; ///< last one, of this node or another
    steady_time sentAt{}; ///< time of the last request from this node
    /// Time of the last bytes from the server, or of the request that was sent while it had none.
    steady_time heardAt{};
    std::optional<steady_time> lastBytesAt; ///< time of the last bytes of a response to this node
    std::optional<steady_time> lastAnswerAt; ///< time of the last response to this node
    std::uint32_t consecutiveFailures = 0;
    /// Refusals that arrive while the server is already avoided count once.
    std::uint32_t consecutiveRefusals = 0;
    steady_time avoidUntil{}; ///< end of the avoidance after failures or refusals
    cold_start_settings coldStart; ///< settings of its service
    /// End of the cold phase, in which the server can handle only few requests.
    steady_time coldUntil{};
    /// Moving average of the actual duration of stage calls to the server, divided by the expected
    /// one.
    double latencyRatio = 1.0;

    /// Returns whether the server is in its cold phase, in which it crashes if it gets more
    /// requests than its service's settings allow.
    [[nodiscard]] bool cold(steady_time now) const { return now < coldUntil; }
    /// Returns the remaining time of the cold phase.
    [[nodiscard]] milliseconds remainingColdTime(steady_time now) const
    {
        return std::chrono::duration_cast<milliseconds>(
            std::max(coldUntil - now, steady_time::duration::zero()));
    }
    /// Returns the limit on the requests of all nodes together; empty if there is none. Every path
    /// that chooses servers must check this: it combines cold starts and announced rate limits.
    [[nodiscard]] std::optional<effective_rate_limit> effectiveRateLimit(steady_time now) const;
    /// Returns how many requests of all nodes together the server may have at a time while it, or
    /// its service, is brittle: as many as it runs, since it may let none wait.
    [[nodiscard]] std::uint32_t brittleConcurrency() const { return std::max(1U, record.slots); }
    /// Returns whether the server has the required version, if one is required.
    [[nodiscard]] bool hasVersion(const std::optional<software_version> &required) const
    {
        return !required || record.version == *required;
    }
    /// Returns whether the server belongs to a pool.
    [[nodiscard]] bool isIn(const pool_key &pool) const;
    /// Returns whether the server shuts down soon, according to its published record or its
    /// responses.
    [[nodiscard]] bool isLeaving() const { return record.leaving || announcedLeaving; }
    /// Returns whether the server may get new work. Every path to a server checks this, the last
    /// time right before bytes are sent.
    [[nodiscard]] bool usable() const
    {
        return !removed && !unreachable && !evacuated && !isLeaving();
    }
    /// Returns the time from which on this node may send requests to the server, as far as backoff
    /// and probing are concerned.
    [[nodiscard]] steady_time acceptsFrom() const
    {
        return probing ? std::max(backoffUntil, probeUntil) : backoffUntil;
    }
    /// Returns whether this node may send a request now. Like `usable()`, this is checked by every
    /// path on which this node itself sends. A backoff requested from one node does not apply to
    /// others.
    [[nodiscard]] bool accepts(steady_time now) const { return usable() && now >= acceptsFrom(); }
};

using server_ptr = std::shared_ptr<server>;

/// Why no server of a service may get new work.
enum class unavailability : std::uint8_t {
    None, ///< a server is available
    NoneReachable, ///< no server is published and reachable
    Leaving, ///< all servers left are leaving
    Evacuated, ///< the servers left are in data centres that operators have evacuated
    NoServerInRegion, ///< no server is reachable in the allowed regions
};

/// Returns a random extension of a requested backoff, as a fraction of its length.
using backoff_jitter = std::function<double()>;

/// Criteria for choosing a server.
struct server_query
{
    service_id service;
    std::vector<backend_server_id> exclude; ///< servers already tried; if there are any, servers
                                            ///< with a recent response are preferred
    data_center_id preferredDataCenter; ///< preferred data centre
    std::optional<software_version> version; ///< required version; empty: any
    residency allowed;
};

/// Keeps the state of the backend servers and chooses among them.
///
/// A server with several consecutive failures is avoided for a while. If all servers are avoided,
/// one of them is chosen nevertheless.
class server_directory
{
public:
    explicit server_directory(const clock_source &clock);

    /// Sets the VM of this node. Among servers of equal cost, each node prefers different ones.
    void setSelf(const vm_id &self) { m_self = self; }
    /// Sets the region of each data centre; call before adding servers.
    void setRegions(std::map<data_center_id, region_id> regions);
    /// Returns whether there is more than one region.
    [[nodiscard]] bool severalRegions() const { return m_severalRegions; }
    /// Returns the region of a data centre; empty if unknown.
    [[nodiscard]] region_id regionOf(const data_center_id &dataCenter) const;
    /// Adds a server or updates its record. A later start of the server, or one with another
    /// version, gets fresh state; a record of an earlier start is ignored. `coldTimeLeft` is the
    /// remaining cold time that the server published; 0 leaves the known value unchanged.
    void put(const server_record &record, milliseconds coldTimeLeft = {});
    /// Sets the cold-start settings of a service, for known servers as well.
    void setColdStart(const service_id &service, const cold_start_settings &start);
    void remove(const backend_server_id &id);
    [[nodiscard]] server_ptr find(const backend_server_id &id) const;
    /// Returns all published servers, ordered by id.
    [[nodiscard]] std::vector<server_ptr> all() const;
    /// Returns the server that has the address at present.
    [[nodiscard]] server_ptr findAt(const socket_address &address) const;
    /// Returns the servers of a service that may get new work.
    [[nodiscard]] std::vector<server_ptr> usable(const service_id &service,
                                                 const residency &allowed = {}) const;
    /// Returns the usable servers of a pool.
    [[nodiscard]] std::vector<server_ptr> usable(const pool_key &pool) const;
    /// Returns whether a version of a service is published by servers that may get new work again
    /// although none of them may get any now.
    [[nodiscard]] bool mayReturn(const service_id &service, const software_version &version) const;
    /// Returns whether a server of this version may get new work.
    [[nodiscard]] bool hasUsable(const service_id &service, const software_version &version) const;
    /// Returns the versions of a service's servers that are published, or were so at some time
    /// since `since`.
    [[nodiscard]] std::set<software_version> versionsSince(const service_id &service,
                                                           steady_time since) const;
    /// Returns which servers have become ready or have ceased to be since the last call.
    [[nodiscard]] std::vector<ready_change> takeReadyChanges();
    /// Returns whether all published servers of a service started before then; false if it has
    /// none, or if one doesn't publish its start time.
    [[nodiscard]] bool startedBefore(const service_id &service, wall_time time) const;
    [[nodiscard]] bool usableIn(const service_id &service, const data_center_id &dataCenter) const;
    /// Returns whether any usable server of a service is rate-limited.
    [[nodiscard]] bool anyRateLimited(const service_id &service, const residency &allowed) const;
    /// Returns whether any usable server of a service has said that it is brittle.
    [[nodiscard]] bool anyBrittle(const service_id &service, const residency &allowed = {}) const;
    /// Returns whether the requests of all nodes to a service must be placed by a single node,
    /// which counts them: some server is rate-limited or brittle.
    [[nodiscard]] bool needsSharedCount(const service_id &service, const residency &allowed) const;
    /// Returns whether the service has usable servers and all of them are rate-limited.
    [[nodiscard]] bool allRateLimited(const service_id &service, const residency &allowed) const;
    /// Returns the time until the first usable server of a service accepts requests of this node
    /// again; empty if one accepts requests now, or if there are no usable servers.
    [[nodiscard]] std::optional<milliseconds> backoffOf(const service_id &service,
                                                        const residency &allowed) const;
    /// Returns the same for the servers of a pool.
    [[nodiscard]] std::optional<milliseconds> backoffOf(const pool_key &pool) const;
    /// Returns the same for a list of usable servers.
    [[nodiscard]] std::optional<milliseconds>
    backoffOf(const std::vector<server_ptr> &servers) const;
    /// Returns the servers of a service that must not be chosen for this node now: those in a
    /// backoff that they requested from this node, and those that refuse requests, as long as other
    /// servers are left.
    [[nodiscard]] std::vector<backend_server_id> excludedServers(const service_id &service,
                                                                 const residency &allowed) const;
    /// Returns the usable servers of a service that have requests of this node and have sent no
    /// bytes for a while: a request that waits for one of them gains nothing at another.
    [[nodiscard]] std::vector<backend_server_id> silentServers(const service_id &service) const;
    /// Returns why no server of a service is available in the allowed regions.
    [[nodiscard]] unavailability unavailabilityOf(const service_id &service,
                                                  const residency &allowed) const;
    /// Returns why no server of a pool may get new work.
    [[nodiscard]] unavailability unavailabilityOf(const pool_key &pool) const;
    /// Returns a version number that increases whenever a server appears, changes or is removed;
    /// starts at 1.
    [[nodiscard]] std::uint64_t changes() const { return m_changes; }

    /// Chooses the server for a request; never a rate-limited one. Returns null if there is none.
    [[nodiscard]] server_ptr choose(const server_query &query) const;

    /// Called when a response to this node begins.
    void onResponseBegin(const server &backend) const;
    /// Called when bytes of a response to a request of this node arrive.
    void onBytes(server &backend)
    {
        backend.heardAt = m_clock.now();
        backend.lastBytesAt = backend.heardAt;
    }
    /// Called when a server that has no requests of this node gets one.
    void onFirstRequest(server &backend) { backend.heardAt = m_clock.now(); }
    void onAnswer(server &backend);
    /// Called when a request got no response, a broken one, or an error.
    void onFailure(server &backend);
    /// Called when another node has got an answer from the server.
    void onReportedAnswer(server &backend);
    /// Sets the function that extends requested backoffs at random, so that the backoffs of many
    /// nodes don't end together. By default they are not extended.
    void setBackoffJitter(backoff_jitter jitter) { m_backoffJitter = std::move(jitter); }
    /// Called by every path to a server when the bytes of a request are sent. Other requests may
    /// follow at once.
    void onSending(server &backend);
    /// Called by every path that receives responses when a response begins, whatever its status.
    void onSignals(server &backend, const server_signals &reported);
    /// Called instead of `onSignals` for an answer to a call that had been given up. It may be
    /// older than other answers, so what it says of limits may be outdated and is ignored.
    void onLateSignals(server &backend, server_signals reported);
    /// Called when another node reports that this start is leaving; the start may not be published
    /// here yet. Returns whether this is new to this node.
    bool onPeerReportedLeaving(const server_start &start);
    /// Called when another node reports that this start is brittle. Returns whether this is new to
    /// this node; a start that isn't published here is ignored.
    bool onPeerReportedBrittle(const brittle_server &reported);
    /// Returns the published servers that are known to be brittle.
    [[nodiscard]] std::vector<brittle_server> brittleServers() const;
    /// Returns all starts that are known to be leaving from responses, including those that were
    /// published until recently.
    [[nodiscard]] std::vector<server_start> leavingStarts() const;
    /// Sets the server's rate limit to the one reported in a response that this node received. The
    /// limit is valid until a later response changes it.
    void onRateLimit(server &backend, const reported_rate_limit &reported);
    /// Records the time that work takes on the server's machine according to a response that this
    /// node or another one got at `receivedAt`; ignored if a later one is known.
    static void onReportedTime(server &backend, std::uint32_t percent, steady_time receivedAt);
    /// Applies the rate limit of a response that another node got at `receivedAt`.
    void onRateLimit(server &backend, const reported_rate_limit &reported, steady_time receivedAt);

    /// Marks all servers of a data centre as unreachable or reachable.
    [[nodiscard]] bool isAnyUnreachable() const { return !m_unreachable.empty(); }
    void setUnreachable(const data_center_id &dataCenter, bool unreachable);
    /// Marks all servers of a data centre as evacuated, so that they get no new work, or ends the
    /// evacuation. After the evacuation the servers are treated as cold until they have had time to
    /// publish their cold phase.
    void setEvacuated(const data_center_id &dataCenter, bool evacuated);
    /// Returns the published servers of a data centre in turn, whatever their state; null if there
    /// is none.
    [[nodiscard]] server_ptr nextServerIn(const data_center_id &dataCenter);
    /// Returns the usable servers in turn; null if there is none.
    [[nodiscard]] server_ptr nextUsableServer();
    /// Returns up to `count` usable servers that share as little as possible with the given one:
    /// first a server of each other service, in `preferredDataCenter` where there is one, then
    /// others of the same service.
    [[nodiscard]] std::vector<server_ptr> diverseServers(const server_record &from,
                                                         const data_center_id &preferredDataCenter,
                                                         std::size_t count);

    /// Called when a response of a server of the data centre begins or is complete.
    void onDataCenterAnswered(std::function<void(const data_center_id &)> handler)
    {
        m_onDataCenterAnswered = std::move(handler);
    }
    /// Called when bytes of a request are sent to a server of the data centre.
    void onSent(std::function<void(const data_center_id &)> handler)
    {
        m_onSent = std::move(handler);
    }
    /// Called when a server starts being avoided, and when it responds again.
    void onAvoidanceChanged(std::function<void(const server &, bool avoided)> handler)
    {
        m_onAvoidanceChanged = std::move(handler);
    }
    /// Called when a server announces a different rate limit, or that it no longer has one.
    void
    onRateLimitChanged(std::function<void(const server &, std::optional<double> before)> handler)
    {
        m_onRateLimitChanged = std::move(handler);
    }
    /// Called when a response reports that a server is brittle that wasn't known to be so.
    void onBrittleReported(std::function<void(const brittle_server &)> handler)
    {
        m_onBrittleReported = std::move(handler);
    }
    /// Called when a response of a server first announces that it is leaving.
    void onLeavingAnnounced(std::function<void(const server &)> handler)
    {
        m_onLeavingAnnounced = std::move(handler);
    }
    /// Called when a server requests a backoff from this node that ends later than the present one.
    void onBackoffRequested(std::function<void(const server &, milliseconds time)> handler)
    {
        m_onBackoff = std::move(handler);
    }
    /// Called when a server appears, changes or is removed.
    void onChange(std::function<void(const service_id &)> handler)
    {
        m_onChange = std::move(handler);
    }

private:
    /// Records whether a server is brittle. Returns whether a published one has become so.
    bool setBrittle(server &backend, std::optional<std::uint32_t> refusals);
    /// Returns the server with the next id after `last` that fits, and records it there; null if
    /// there is none.
    template <class Predicate>
    [[nodiscard]] server_ptr nextAfter(backend_server_id &last, Predicate fits);
    /// Returns whether any usable server of a service fits.
    template <class Predicate>
    [[nodiscard]] bool anyUsable(const service_id &service, const residency &allowed,
                                 Predicate fits) const;
    /// Returns the first server from a turn's position on that fits; null if there is none.
    template <class Predicate>
    [[nodiscard]] static server_ptr pickInTurn(const std::vector<server_ptr> &servers,
                                               std::size_t turn, Predicate fits);
    void notifyChange(const service_id &service);
    /// Returns why none of the servers of a service that match `isRelevant` may get new work.
    /// Returns `defaultReason` if none of them is evacuated or leaving.
    template <class Predicate>
    [[nodiscard]] unavailability unavailabilityAmong(const service_id &service,
                                                     unavailability defaultReason,
                                                     Predicate isRelevant) const;
    /// Called when the server refused a request without running it.
    void onRefused(server &backend);
    void onRetryAfter(server &backend, milliseconds time);
    void retainSignals(const server_start &start, const retained_signals &signals);
    /// Returns whether the signals of this start are still valid: the start is published, or was
    /// until recently.
    [[nodiscard]] bool isTracked(const server_start &start) const;
    /// Updates all servers of a data centre.
    template <class Update>
    void updateServersIn(const data_center_id &dataCenter, Update update);

    const clock_source &m_clock;
    vm_id m_self;
    std::uint64_t m_changes = 1;
    std::map<backend_server_id, server_ptr> m_servers;
    struct service_servers
    {
        std::vector<server_ptr> all;
        std::map<data_center_id, std::vector<server_ptr>> byDataCenter;
        std::map<software_version, std::size_t> versions; ///< number of servers of each
    };
    /// Records that a server is published as ready for new requests, or no longer is.
    void onReady(const server_record &record, bool ready);
    /// Returns the servers of a service that may belong to a pool; null if there are none.
    [[nodiscard]] const std::vector<server_ptr> *findServerList(const pool_key &pool) const;

    std::unordered_map<service_id, service_servers> m_byService;
    removed_versions m_removedVersions;
    std::vector<ready_change> m_readyChanges; ///< since `takeReadyChanges`
    struct unpublished_signals
    {
        retained_signals signals;
        steady_time expiresAt; ///< discarded at this time
    };
    std::map<server_start, unpublished_signals> m_unpublished; ///< not published at present
    std::set<server_start> m_announcedLeaving; ///< published starts and those in `m_unpublished`
    std::map<data_center_id, region_id> m_regions;
    bool m_severalRegions = false;
    std::unordered_map<service_id, cold_start_settings> m_coldStarts;
    std::set<data_center_id> m_unreachable;
    std::set<data_center_id> m_evacuated;
    backend_server_id m_lastReturned; ///< last result of `nextServerIn`
    backend_server_id m_lastUsable; ///< last result of `nextUsableServer`
    std::size_t m_diverseTurn = 0; ///< increases with each call of `diverseServers`
    backoff_jitter m_backoffJitter;
    std::function<void(const data_center_id &)> m_onDataCenterAnswered;
    std::function<void(const data_center_id &)> m_onSent;
    std::function<void(const service_id &)> m_onChange;
    std::function<void(const server &, bool avoided)> m_onAvoidanceChanged;
    std::function<void(const server &, std::optional<double> before)> m_onRateLimitChanged;
    std::function<void(const server &)> m_onLeavingAnnounced;
    std::set<backend_server_id> m_brittle; ///< published servers that are known to be brittle
    std::function<void(const brittle_server &)> m_onBrittleReported;
    std::function<void(const server &, milliseconds time)> m_onBackoff;
};

} // namespace orchidlead::gateway
