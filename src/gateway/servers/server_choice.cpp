#include "gateway/servers/server_choice.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace orchidlead::gateway {

namespace {

// A load report older than this is ignored: requests take less time than this.
constexpr milliseconds LoadReportLifetime{400};
// Cost of sending to another data centre, in outstanding requests at a server.
constexpr double OtherDataCenterCost = 0.5;
// Additional cost of sending to another region, in the same unit: a round trip there takes about 40
// ms, longer than a request waits behind one that is running.
constexpr double OtherRegionCost = 2.0;
// A response younger than this shows that a server is running.
constexpr milliseconds RecentAnswerWindow{2000};
// Cost, for a retry, of a server without a recent response: the same as of a server whose slots are
// all taken. A server that has terminated looks idle until the published list is updated.
constexpr double NoRecentAnswerCost = 1.0;
// Cost of an avoided server: any other server is preferred.
constexpr double AvoidedCost = 1e6;

/// Returns whether this node recently got a response of the server.
bool answeredRecently(const server &backend, steady_time now)
{
    return backend.lastAnswerAt && now - *backend.lastAnswerAt < RecentAnswerWindow;
}

double costOf(const server &backend, const server_query &query, const choice_context &context)
{
    const auto now = context.now;
    double cost = backend.outstanding;
    if (backend.load && now - backend.loadReportedAt < LoadReportLifetime) {
        const double reported = backend.load->running + backend.load->waiting;
        cost = std::max(cost, reported);
    }
    cost /= std::max(1U, backend.record.slots);
    if (!query.preferredDataCenter.empty()
        && backend.record.dataCenter != query.preferredDataCenter)
        cost += OtherDataCenterCost / std::max(1U, backend.record.slots);
    if (context.severalRegions && !query.preferredDataCenter.empty()
        && backend.region != context.preferredRegion)
        cost += OtherRegionCost / std::max(1U, backend.record.slots);
    if (!query.exclude.empty() && !answeredRecently(backend, now))
        cost += NoRecentAnswerCost;
    if (backend.avoidUntil > now)
        cost += AvoidedCost;
    return cost;
}

// With many nodes and little traffic, most servers have equal cost most of the time. If all nodes
// took the first of them, it would get the requests of all nodes. Each node therefore alternates
// between its own two servers by rendezvous hash, which spreads the nodes over all servers and
// reuses connections.
server_ptr chooseAmongEqual(const std::vector<server_ptr> &equalServers, const vm_id &self)
{
    struct ranked
    {
        server_ptr server;
        std::uint64_t weight = 0;
    };
    ranked first;
    ranked second;
    for (const auto &each : equalServers) {
        ranked next{each, rendezvousWeight(self.value, each->record.id.value)};
        if (!first.server || next.weight > first.weight)
            std::swap(first, next);
        if (!second.server || next.weight > second.weight)
            second = std::move(next);
    }
    const bool useSecond = second.server && second.server->sentAt < first.server->sentAt;
    return useSecond ? second.server : first.server;
}

} // namespace

server_ptr chooseServer(const std::vector<server_ptr> &usable, const server_query &query,
                        const choice_context &context)
{
    std::vector<server_ptr> best;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto &each : usable) {
        if (std::ranges::find(query.exclude, each->record.id) != query.exclude.end())
            continue;
        if (each->effectiveRateLimit(context.now) || !each->accepts(context.now)
            || !each->hasVersion(query.version))
            continue;
        const double cost = costOf(*each, query, context);
        if (cost > bestCost)
            continue;
        if (cost < bestCost)
            best.clear();
        bestCost = cost;
        best.push_back(each);
    }
    return chooseAmongEqual(best, context.self);
}

} // namespace orchidlead::gateway
