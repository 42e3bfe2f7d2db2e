#pragma once

#include "gateway/servers/cold_start.h"
#include "gateway/servers/pool_key.h"
#include "gateway/servers/rate_bound.h"
#include "gateway/servers/residency.h"
#include "gateway/servers/server_signals.h"

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

/// Names one start of a backend server: it may start again under its id, and then knows and holds
/// nothing of before.
struct server_start
{
    backend_server_id id;
    std::optional<std::uint64_t> born; ///< Unix milliseconds; empty: it doesn't say

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const server_start &, const server_start &) = default;
};

/// A backend server as the platform publishes it.
struct server_record
{
    backend_server_id id;
    std::optional<std::uint64_t> born; ///< as in `server_start`
    service_id service;
    socket_address address;
    data_center_id dataCenter;
    std::uint32_t slots = 1;
    bool leaving = false; ///< gets no new work

    [[nodiscard]] server_start start() const { return {id, born}; }
    friend bool operator==(const server_record &, const server_record &) = default;
};

/// Writes a limit as operators read it: requests a second, or "none".
[[nodiscard]] std::string rateLimitText(const std::optional<double> &perSecond);

/// What a start of a server said of itself, and what holds until it says otherwise.
struct kept_signals
{
    std::optional<double> rateLimit; ///< as in `told_rate_limit`
    steady_time rateLimitAt{}; ///< when an answer last said so, or that there is none
    bool saidLeaving = false; ///< holds for good, whatever is published
    steady_time backoffUntil{}; ///< it wants nothing of this node until then
    bool proving = false; ///< it has taken no request since
    steady_time probeUntil{}; ///< while it proves itself, one request goes there until then
};

/// One start of a server with what this node knows of it.
struct server : kept_signals
{
    server_record record;
    region_id region; ///< of its data centre; empty: not known
    bool gone = false; ///< no longer published, or its address answers for another server
    bool cutOff = false; ///< nothing is heard of its data centre
    bool evacuated = false; ///< operators have evacuated its data centre
    std::uint32_t outstanding = 0; ///< requests of this node
    std::optional<server_load> load;
    steady_time loadAt{}; ///< when the load was told
    steady_time sentAt{}; ///< when this node last sent it a request
    std::optional<steady_time> answeredAt; ///< when it last answered this node
    std::uint32_t failures = 0; ///< in a row
    std::uint32_t refusals = 0; ///< in a row, those of one moment counted once
    steady_time avoidUntil{}; ///< doubted until then
    cold_start coldStart; ///< as its service says
    steady_time coldUntil{}; ///< bears only few requests until then
    double slowness = 1.0; ///< time that its work takes against what is expected, averaged

    /// Whether it has just started, and crashes under more requests than its service says.
    [[nodiscard]] bool cold(steady_time now) const { return now < coldUntil; }
    /// How long it will be yet.
    [[nodiscard]] milliseconds coldLeft(steady_time now) const
    {
        return std::chrono::duration_cast<milliseconds>(
            std::max(coldUntil - now, steady_time::duration::zero()));
    }
    /// How many requests all nodes together may send it; empty: as many as it answers. Every path
    /// that chooses servers asks this, cold starts and limits alike.
    [[nodiscard]] std::optional<rate_bound> bound(steady_time now) const;
    /// Whether it is one of the servers of a pool.
    [[nodiscard]] bool isIn(const pool_key &pool) const;
    /// Whether it ends soon, as published or as its answers say.
    [[nodiscard]] bool leaves() const { return record.leaving || saidLeaving; }
    /// Whether it may get new work. Every path to a server asks this, at last as bytes are sent.
    [[nodiscard]] bool usable() const { return !gone && !cutOff && !evacuated && !leaves(); }
    /// From when on it takes requests of this node, as far as it asked for time.
    [[nodiscard]] steady_time takesFrom() const
    {
        return proving ? std::max(backoffUntil, probeUntil) : backoffUntil;
    }
    /// Whether this node may send it a request now. Asked like `usable()` by every path on which
    /// this node sends by itself; what it asked of one node doesn't bind the others.
    [[nodiscard]] bool takes(steady_time now) const { return usable() && now >= takesFrom(); }
};

using server_ptr = std::shared_ptr<server>;

/// Why no server of a service may get new work.
enum class server_absence : std::uint8_t {
    None, ///< there is one
    Gone, ///< none is published, reached, or stays
    Leaving, ///< those that there are end soon
    Evacuated, ///< those that there are lie in data centres that operators have evacuated
    OutOfRegion, ///< none can be reached in the regions where the work may be done
};

/// Draws by how much longer than asked for a server is left alone, in parts of the time.
using backoff_spread = std::function<double()>;

/// What a choice takes into account.
struct server_wish
{
    service_id service;
    std::vector<backend_server_id> exclude; ///< tried already; where there are some, others that
                                            ///< answered lately go first
    data_center_id near; ///< preferred
    residency allowed;
};

/// Knows the backend servers, and chooses among them.
///
/// A server that fails several times in a row is avoided for a while; where all are, the choice
/// falls on them all the same.
class server_directory
{
public:
    explicit server_directory(const clock_source &clock);

    /// Which node this is: between servers that cost the same each node prefers others.
    void setSelf(const vm_id &self) { m_self = self; }
    /// Which region each data centre belongs to; call before servers are put.
    void setRegions(std::map<data_center_id, region_id> regions);
    /// Whether there is more than one region.
    [[nodiscard]] bool severalRegions() const { return m_severalRegions; }
    /// The region of a data centre; empty where it isn't known.
    [[nodiscard]] region_id regionOf(const data_center_id &dataCenter) const;
    /// Adds a server, or takes a newer record of it. Nothing that was believed of an earlier start
    /// holds for a later one; a record of an earlier start is ignored. `coldFor`: as the server
    /// says; 0 says nothing new.
    void put(const server_record &record, milliseconds coldFor = {});
    /// What a service says of its servers' cold starts, those that are known included.
    void setColdStart(const service_id &service, const cold_start &start);
    void remove(const backend_server_id &id);
    [[nodiscard]] server_ptr find(const backend_server_id &id) const;
    /// All servers that are published, by id.
    [[nodiscard]] std::vector<server_ptr> all() const;
    /// Finds the server that has that address now.
    [[nodiscard]] server_ptr findAt(const socket_address &address) const;
    /// Servers of a service that may get new work.
    [[nodiscard]] std::vector<server_ptr> usable(const service_id &service,
                                                 const residency &allowed = {}) const;
    /// Those of them that are in a pool.
    [[nodiscard]] std::vector<server_ptr> usable(const pool_key &pool) const;
    [[nodiscard]] bool usableIn(const service_id &service, const data_center_id &dataCenter) const;
    /// Whether some of a service's usable servers are bounded: the requests of all nodes must then
    /// be placed in one place.
    [[nodiscard]] bool anyBounded(const service_id &service, const residency &allowed) const;
    /// Whether there are some, and each of them is.
    [[nodiscard]] bool allBounded(const service_id &service, const residency &allowed) const;
    /// How long all usable servers of a service want nothing of this node, until the first of them
    /// takes something again; empty: some take requests, or there are none.
    [[nodiscard]] std::optional<milliseconds> backoffOf(const service_id &service,
                                                        const residency &allowed) const;
    /// The same of a pool.
    [[nodiscard]] std::optional<milliseconds> backoffOf(const pool_key &pool) const;
    /// The same of servers that are usable.
    [[nodiscard]] std::optional<milliseconds>
    backoffOf(const std::vector<server_ptr> &servers) const;
    /// Servers of a service that nobody may choose for this node now: those that asked it for time,
    /// and those that refuse, as long as others are left.
    [[nodiscard]] std::vector<backend_server_id> passedOver(const service_id &service,
                                                            const residency &allowed) const;
    /// Why work that is bound to regions finds no server of a service.
    [[nodiscard]] server_absence absenceOf(const service_id &service,
                                           const residency &allowed) const;
    /// Why a pool has no server that may get new work.
    [[nodiscard]] server_absence absenceOf(const pool_key &pool) const;
    /// How often a server appeared, changed or left, with one for the start.
    [[nodiscard]] std::uint64_t changes() const { return m_changes; }

    /// Chooses the server for a request, none that is bounded; null where there is none.
    [[nodiscard]] server_ptr choose(const server_wish &wish) const;

    /// An answer to this node began.
    void onAnswerBegun(const server &which) const;
    void onAnswer(server &which);
    /// An answer that didn't come, was broken, or was an error.
    void onFailure(server &which);
    /// Spreads the ends of times that servers ask for: many nodes are asked at once. None by
    /// default.
    void setBackoffSpread(backoff_spread spread) { m_backoffSpread = std::move(spread); }
    /// A request's bytes go to the server now, and others may follow at once. Every path to a
    /// server calls this.
    void onSending(server &which);
    /// An answer of the server began, whatever its status. Every path that gets answers calls this.
    void onSignals(server &which, const server_signals &told);
    /// Another node heard that this start leaves; it may not be published here yet. Gives whether
    /// that is news.
    bool onLeavingElsewhere(const server_start &start);
    /// All starts that are known to leave by what their answers said, of late.
    [[nodiscard]] std::vector<server_start> startsThatLeave() const;
    /// What an answer says of its limit holds until the next one says otherwise.
    void onRateLimit(server &which, const told_rate_limit &told);
    /// The same of an answer that another node had, at `heardAt`.
    void onRateLimit(server &which, const told_rate_limit &told, steady_time heardAt);

    /// All servers of a data centre can or can't be reached from now on.
    void setCutOff(const data_center_id &dataCenter, bool cutOff);
    /// All servers of a data centre get nothing new from now on, or again. Those that do again are
    /// taken to be cold until they had the time to say so.
    void setEvacuated(const data_center_id &dataCenter, bool evacuated);
    /// Gives one server of a data centre after the other, published ones, whatever their state;
    /// null where there is none.
    [[nodiscard]] server_ptr anyIn(const data_center_id &dataCenter);

    /// Called when a server of a data centre answers, or has answered.
    void onHeard(std::function<void(const data_center_id &)> handler)
    {
        m_onHeard = std::move(handler);
    }
    /// Called when bytes of a request go to a server of a data centre.
    void onSent(std::function<void(const data_center_id &)> handler)
    {
        m_onSent = std::move(handler);
    }
    /// Called when a server begins to be avoided, and when it is trusted again.
    void onDoubt(std::function<void(const server &, bool avoided)> handler)
    {
        m_onDoubt = std::move(handler);
    }
    /// Called when a server names another limit than before, or none any more.
    void
    onRateLimitChanged(std::function<void(const server &, std::optional<double> before)> handler)
    {
        m_onRateLimitChanged = std::move(handler);
    }
    /// Called when an answer of a server first says that it leaves.
    void onLeavingSaid(std::function<void(const server &)> handler)
    {
        m_onLeavingSaid = std::move(handler);
    }
    /// Called when a server wants nothing of this node for longer than it had said.
    void onBackoff(std::function<void(const server &, milliseconds time)> handler)
    {
        m_onBackoff = std::move(handler);
    }
    /// Called when a server appears, changes, or leaves.
    void onChange(std::function<void(const service_id &)> handler)
    {
        m_onChange = std::move(handler);
    }

private:
    [[nodiscard]] double costOf(const server &which, const server_wish &wish) const;
    /// Whether this node had an answer of it lately.
    [[nodiscard]] bool answeredLately(const server &which) const;
    /// Chooses among servers that cost the same; null where there are none.
    [[nodiscard]] server_ptr preferred(const std::vector<server_ptr> &equals) const;
    void changed(const service_id &service);
    /// Why none of the servers of a service that count may get new work; `otherwise` where
    /// operators haven't evacuated one of them.
    template <class Counts>
    [[nodiscard]] server_absence absenceAmong(const service_id &service, server_absence otherwise,
                                              Counts counts) const;
    /// The server refused a request that it hasn't run.
    void onRefused(server &which);
    void onRetryAfter(server &which, milliseconds time);
    void keepSignals(const server_start &start, const kept_signals &signals);
    /// Whether what was heard of that start still counts.
    [[nodiscard]] bool remembers(const server_start &start) const;
    /// Changes all servers of a data centre.
    template <class Change>
    void changeIn(const data_center_id &dataCenter, Change change);

    const clock_source &m_clock;
    vm_id m_self;
    std::uint64_t m_changes = 1;
    std::map<backend_server_id, server_ptr> m_servers;
    struct service_servers
    {
        std::vector<server_ptr> all;
        std::map<data_center_id, std::vector<server_ptr>> byDataCenter;
    };
    /// Servers of a service that may be in a pool; null where there are none.
    [[nodiscard]] const std::vector<server_ptr> *listFor(const pool_key &pool) const;

    std::unordered_map<service_id, service_servers> m_byService;
    struct past_signals
    {
        kept_signals signals;
        steady_time until; ///< forgotten then
    };
    std::map<server_start, past_signals> m_past; ///< of starts that aren't published now
    std::set<server_start> m_saidLeaving; ///< published ones and those in `m_past`
    std::map<data_center_id, region_id> m_regions;
    bool m_severalRegions = false;
    std::unordered_map<service_id, cold_start> m_coldStarts;
    std::set<data_center_id> m_cutOff;
    std::set<data_center_id> m_evacuated;
    backend_server_id m_lastAsked; ///< that `anyIn` gave
    backoff_spread m_backoffSpread;
    std::function<void(const data_center_id &)> m_onHeard;
    std::function<void(const data_center_id &)> m_onSent;
    std::function<void(const service_id &)> m_onChange;
    std::function<void(const server &, bool avoided)> m_onDoubt;
    std::function<void(const server &, std::optional<double> before)> m_onRateLimitChanged;
    std::function<void(const server &)> m_onLeavingSaid;
    std::function<void(const server &, milliseconds time)> m_onBackoff;
};

} // namespace orchidlead::gateway
