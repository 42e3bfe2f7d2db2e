#include "gateway/placement/placement_board.h"

#include <algorithm>
#include <limits>

namespace orchidlead::gateway {

namespace {

// Prompt tokens that an engine reads in one step, between the tokens of running streams; a longer
// prompt makes the streams pause. The engines in use read 4096 tokens.
constexpr std::uint64_t PrefillChunkTokens = 4096;
// Cost of each running stream for a new request, in prompt tokens: each step takes a little longer.
constexpr double RunningStreamCost = 100.0;
// Cost of each running stream per prompt token beyond the first chunk: the stream may pause too
// long.
constexpr double StreamPauseCostPerToken = 0.12;
// Cost of moving inputs to another data centre, in prompt tokens per byte: moving a megabyte costs
// about as much as reading 260 tokens again.
constexpr double TransferCostPerByte = 260e-6;
// Any other server is preferred to an avoided one.
constexpr double AvoidedCost = 1e9;
// Placements whose end was never reported are dropped after this time, longer than any request
// takes.
constexpr std::chrono::seconds PlacementLifetime{60};
// Share of the published capacity that an engine can use for cached prompts; running requests take
// the rest.
constexpr double CacheShareOfCapacity = 0.7;
// Prompt tokens that an engine is assumed to hold if its service publishes no capacity.
constexpr std::uint64_t DefaultCapacityTokens = 200'000;
// Fewest prompt tokens until the first token from which the speed of an engine is learnt. With
// fewer, the time consists mainly of round trips.
constexpr std::uint64_t MinTokensToLearn = 512;

} // namespace

placement_board::placement_board(const clock_source &clock, const server_directory &directory,
                                 const disabled_policies &disabledPolicies)
    : m_clock(clock)
    , m_directory(directory)
    , m_learnsSpeeds(!disabledPolicies.contains(policy::ServerSpeeds))
    , m_pacer(clock)
{ }

void placement_board::setCapacity(const service_id &service, std::uint64_t tokens)
{
    m_capacities[service] = tokens;
}

// A cached part is usable only if all parts before it are cached as well.
std::uint64_t placement_board::uncachedTokens(const engine &state, const placement_query &query)
{
    std::uint64_t uncached = 0;
    bool cached = true;
    for (const auto &part : query.prompt) {
        cached = cached && state.parts.contains(part.id);
        if (!cached)
            uncached += part.tokens;
    }
    return uncached;
}

double placement_board::costOf(const server &backend, const placement_query &query)
{
    const auto &state = m_engines[backend.record.start()];
    const auto uncached = uncachedTokens(state, query);
    double cost =
        static_cast<double>(uncached + state.prefillTokens) + RunningStreamCost * state.streams;
    if (uncached > PrefillChunkTokens)
        cost += StreamPauseCostPerToken * static_cast<double>(uncached - PrefillChunkTokens)
            * state.streams;
    cost *= timeFactorOf(backend, state);
    if (!query.preferredDataCenter.empty()
        && backend.record.dataCenter != query.preferredDataCenter)
        cost += TransferCostPerByte * static_cast<double>(query.transferBytes);
    if (backend.avoidUntil > m_clock.now())
        cost += AvoidedCost;
    return cost;
}

std::vector<server_ptr> placement_board::untriedServers(const placement_query &query) const
{
    auto servers = m_directory.usable(query.pool);
    std::erase_if(servers, [&](const server_ptr &each) {
        return !each->hasVersion(query.version)
            || std::ranges::find(query.exclude, each->record.id) != query.exclude.end();
    });
    return servers;
}

// The requests of brittle servers are counted by the host of their pool. A server that has come
// back is not known to be brittle yet, so while others of its service are, it is bounded as they
// are, and gets a single request until it has answered.
void placement_board::removeFullServers(std::vector<server_ptr> &servers,
                                        const service_id &service) const
{
    if (!m_directory.anyBrittle(service))
        return;
    std::erase_if(servers, [&](const server_ptr &each) {
        const auto known = m_engines.find(each->record.start());
        const auto running = known == m_engines.end() ? 0U : known->second.streams;
        const bool isNew = !each->brittleRefusals || each->avoidUntil > m_clock.now();
        return running >= (isNew ? 1U : each->brittleConcurrency());
    });
}

std::vector<server_ptr> placement_board::candidates(const std::vector<server_ptr> &poolServers,
                                                    const placement_query &query,
                                                    double share) const
{
    auto sendable = poolServers;
    std::erase_if(sendable, [&](const server_ptr &each) { return !m_pacer.allows(*each, share); });
    const auto now = m_clock.now();
    if (std::ranges::any_of(sendable, [&](const auto &each) { return each->avoidUntil <= now; }))
        return sendable;
    auto serviceWide = query;
    serviceWide.pool = {query.pool.service};
    auto otherServers = untriedServers(serviceWide);
    std::erase_if(otherServers, [&](const server_ptr &each) {
        return !query.allowed.allows(each->region) || !m_pacer.allows(*each, 0.0)
            || each->brittleRefusals; // counted by the host of another pool
    });
    return otherServers.empty() ? sendable : otherServers;
}

server_ptr placement_board::cheapest(const std::vector<server_ptr> &servers,
                                     const placement_query &query)
{
    server_ptr best;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto &each : servers) {
        const double cost = costOf(*each, query);
        if (cost < bestCost) {
            bestCost = cost;
            best = each;
        }
    }
    return best;
}

placement_result placement_board::earliestAllowed(const std::vector<server_ptr> &poolServers,
                                                  const placement_query &query, double share) const
{
    placement_result candidate;
    if (share <= 0)
        return candidate;
    steady_time earliest = steady_time::max();
    for (const auto &each : poolServers) {
        const auto at = m_pacer.nextAllowedAt(*each, share);
        if (at < earliest) {
            earliest = at;
            candidate.server = each;
        }
    }
    if (!candidate.server)
        return candidate;
    candidate.wait = std::chrono::ceil<milliseconds>(earliest - m_clock.now());
    if (candidate.wait > query.clientTimeout)
        candidate.server = nullptr;
    return candidate;
}

std::optional<double> placement_board::poolRateLimit(const placement_query &query,
                                                     double share) const
{
    if (!m_directory.allRateLimited(query.pool.service, query.allowed))
        return std::nullopt;
    double perSecond = 0.0;
    for (const auto &each : m_directory.usable(query.pool))
        perSecond += share
            * each->effectiveRateLimit(m_clock.now()).value_or(effective_rate_limit{}).perSecond;
    return perSecond;
}

milliseconds placement_board::tryPoolAdmission(const placement_query &query, double perSecond)
{
    return m_admissions.try_emplace(query.pool, m_clock)
        .first->second.tryAdmit(query.rank, perSecond);
}

admission placement_board::admit(const placement_query &query, double share)
{
    const auto perSecond = poolRateLimit(query, share);
    if (!perSecond)
        return {};
    if (share <= 0)
        return {false, milliseconds{0}, true};
    const auto retryDelay = tryPoolAdmission(query, *perSecond);
    return {retryDelay == milliseconds{0}, retryDelay, true};
}

placement_result placement_board::place(placement_id id, const placement_query &query, double share)
{
    expirePlacements();
    const auto perSecond = poolRateLimit(query, share);
    placement_result placed;
    if (perSecond && share > 0 && !query.admitted)
        placed.wait = tryPoolAdmission(query, *perSecond);
    if (placed.wait == milliseconds{0}) {
        auto poolServers = untriedServers(query);
        const bool anyUntried = !poolServers.empty();
        removeFullServers(poolServers, query.pool.service);
        if (anyUntried && poolServers.empty())
            return {nullptr, milliseconds{0}, true};
        placed.server = cheapest(candidates(poolServers, query, share), query);
        if (!placed.server)
            placed = earliestAllowed(poolServers, query, share);
    }
    placed.allRateLimited = perSecond.has_value();
    if (placed.server) {
        m_pacer.onSent(*placed.server, share);
        recordPlacement(id, query, placed);
    }
    return placed;
}

void placement_board::recordPlacement(placement_id id, const placement_query &query,
                                      const placement_result &placed)
{
    const auto start = placed.server->record.start();
    auto &state = m_engines[start];
    const auto uncached = uncachedTokens(state, query);
    const auto now = m_clock.now();
    m_placements[id] = {.server = start,
                        .tokens = uncached,
                        .startedAt = now,
                        .service = placed.server->record.service,
                        .tokensToFirstToken = state.prefillTokens + uncached,
                        .sentAt = now + placed.wait};
    state.prefillTokens += uncached;
    ++state.streams;
    const auto known = m_capacities.find(query.pool.service);
    cacheParts(state, query, known == m_capacities.end() ? DefaultCapacityTokens : known->second);
}

// Evicts the least recently used parts, as the engine does.
void placement_board::cacheParts(engine &state, const placement_query &query,
                                 std::uint64_t capacity)
{
    for (std::size_t i = 0; i + 1 < query.prompt.size(); ++i) {
        const auto &part = query.prompt[i];
        const auto [entry, isNew] = state.parts.try_emplace(part.id);
        entry->second = {part.tokens, m_clock.now()};
        if (isNew)
            state.cachedTokens += part.tokens;
    }
    const auto limit =
        static_cast<std::uint64_t>(CacheShareOfCapacity * static_cast<double>(capacity));
    while (state.cachedTokens > limit && !state.parts.empty()) {
        const auto oldest = std::ranges::min_element(
            state.parts, {}, [](const auto &entry) { return entry.second.lastUsed; });
        state.cachedTokens -= oldest->second.tokens;
        state.parts.erase(oldest);
    }
}

void placement_board::onFirstToken(placement_id id)
{
    const auto found = m_placements.find(id);
    if (found == m_placements.end())
        return;
    auto &state = m_engines[found->second.server];
    if (m_learnsSpeeds)
        learnSpeed(found->second, state);
    markRead(found->second, state);
}

void placement_board::markRead(placement &finished, engine &state)
{
    state.prefillTokens -= std::min(state.prefillTokens, finished.tokens);
    finished.tokens = 0;
}

// The expected time is that of an average engine of the service, so that the speeds are relative to
// it whatever its model.
void placement_board::learnSpeed(const placement &finished, engine &state)
{
    const auto now = m_clock.now();
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(now - finished.sentAt);
    if (finished.tokens == 0 || finished.tokensToFirstToken < MinTokensToLearn
        || took <= std::chrono::microseconds{0})
        return;
    const auto tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        finished.tokensToFirstToken, std::numeric_limits<std::uint32_t>::max()));
    auto &readTime = m_readTimes[finished.service];
    const auto expected = readTime.expected(tokens);
    readTime.onFirstAnswer(tokens, took);
    state.speed.onCall(static_cast<double>(took.count()) / static_cast<double>(expected.count()),
                       now);
}

// Reports describe the machine at present, learnt speeds the engine over some seconds.
double placement_board::timeFactorOf(const server &backend, const engine &state) const
{
    if (!m_learnsSpeeds)
        return 1.0;
    const auto now = m_clock.now();
    return state.speed.timeFactor(now) * reportedTimeFactor(backend.reportedTime, now);
}

void placement_board::onEnd(placement_id id)
{
    const auto found = m_placements.find(id);
    if (found == m_placements.end())
        return;
    auto &state = m_engines[found->second.server];
    markRead(found->second, state);
    state.streams -= std::min(state.streams, 1U);
    const auto server = found->second.server;
    m_placements.erase(found);
    const auto known = m_directory.find(server.id);
    if (state.streams == 0 && (!known || known->record.start() != server))
        m_engines.erase(server);
}

void placement_board::expirePlacements()
{
    std::vector<placement_id> expired;
    for (const auto &[id, each] : m_placements) {
        if (m_clock.now() - each.startedAt > PlacementLifetime)
            expired.push_back(id);
    }
    for (const auto id : expired)
        onEnd(id);
}

} // namespace orchidlead::gateway
