#include "gateway/placement/placement_board.h"

#include "gateway/placement/prompt_homes.h"

#include <algorithm>
#include <limits>
#include <utility>

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
// Least cost of moving the inputs of a request, in prompt tokens, for its home engine to be in
// their data centre: that of a running stream, reached at 0.4 MB. Results of later stages have 6 to
// 60 kB, those of first stages 3 MB.
constexpr double MinLocalHomeCost = RunningStreamCost;
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
// Cost of each token that an engine reads although another one keeps it, beside the time to read
// it: the results of the request wait meanwhile and occupy result storage, and the engine reads the
// prompts of others later. With 1.0, a request waits behind one other prompt of the same size at
// the engine that keeps its parts, but not behind two. With 0.5, three to seven times as many of
// the tokens that another engine kept were read again in a burst, and first tokens came later.
constexpr double RepeatedReadCost = 1.0;
// Fewest tokens for which a home engine is chosen. Fewer are read in about 30 ms, less than the
// wait for one engine in particular.
constexpr std::uint64_t MinHomeTokens = 1024;
// Slowest engine, in relation to the average of its service, that may be a home. With engines at
// 0.6 to 1.6 times the nominal time, homes at the slow ones made the time to the first token longer
// than by cost alone.
constexpr double MaxHomeTimeFactor = 1.25;
// Most requests without a first token at an engine that keeps shared parts for reading them again
// elsewhere to cost more than its time. An engine with more of them keeps a part whose rate needs
// several engines. With 3, engines with requests for several parts of moderate rates had more of
// them in a burst: three times as many of the tokens that another engine kept were read again.
constexpr std::uint32_t MaxUnreadAtKeeper = 6;
// Share of an engine's time that the requests with one shared part may take before another engine
// reads the part too; the rest is left to other parts and to bursts. In the load of a hot prompt,
// 0.12 and 0.25 led to more repeated tokens or later first tokens in a burst with crashes.
constexpr double MaxPartLoadPerEngine = 0.16;
// How long a board that knows no engine for a part is considered the cause: the parts of most
// prompts return within this time.
constexpr std::chrono::seconds NewBoardTime{10};

double transferCost(const placement_query &query)
{
    return TransferCostPerByte * static_cast<double>(query.transferBytes);
}

} // namespace

placement_board::placement_board(const clock_source &clock, const server_directory &directory,
                                 const disabled_policies &disabledPolicies)
    : m_clock(clock)
    , m_directory(directory)
    , m_learnsSpeeds(!disabledPolicies.contains(policy::ServerSpeeds))
    , m_usesHomes(!disabledPolicies.contains(policy::PromptHomesByHash))
    , m_usesCopies(m_usesHomes && !disabledPolicies.contains(policy::PromptCopiesByRate))
    , m_pacer(clock)
    , m_lostParts(clock)
    , m_partLoads(clock)
{ }

void placement_board::setCapacity(const service_id &service, std::uint64_t tokens)
{
    m_capacities[service] = tokens;
}

std::uint64_t placement_board::uncachedTokens(const engine &state, const placement_query &query)
{
    return tokensOf(query.prompt) - state.parts.keptTokens(query.prompt);
}

placement_board::engine &placement_board::engineOf(const server &backend)
{
    auto &state = m_engines[backend.record.start()];
    state.service = backend.record.service;
    return state;
}

double placement_board::costOf(const server &backend, const placement_query &query,
                               std::uint64_t keptElsewhere)
{
    const auto &state = engineOf(backend);
    const auto uncached = uncachedTokens(state, query);
    double cost =
        static_cast<double>(uncached + state.prefillTokens) + RunningStreamCost * state.streams;
    if (uncached > PrefillChunkTokens)
        cost += StreamPauseCostPerToken * static_cast<double>(uncached - PrefillChunkTokens)
            * state.streams;
    const auto kept = state.parts.keptTokens(sharedParts(query.prompt));
    if (kept < keptElsewhere)
        cost += RepeatedReadCost * static_cast<double>(keptElsewhere - kept);
    cost *= timeFactorOf(backend, state);
    if (!query.preferredDataCenter.empty()
        && backend.record.dataCenter != query.preferredDataCenter)
        cost += transferCost(query);
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

server_ptr placement_board::chooseEngine(const std::vector<server_ptr> &servers,
                                         const placement_query &query)
{
    if (!m_usesHomes)
        return cheapest(servers, query, 0);
    if (auto copy = copyFor(servers, query))
        return copy;
    const auto shared = tokensOf(sharedParts(query.prompt));
    const auto kept = mostKept(servers, query, std::numeric_limits<std::uint32_t>::max());
    // Where most of the shared parts is kept, the engine that keeps it is the better start.
    if (shared - kept >= MinHomeTokens && shared - kept > kept) {
        if (auto home = homeFor(servers, query))
            return home;
    }
    return cheapest(servers, query, mostKept(servers, query, MaxUnreadAtKeeper));
}

std::uint64_t placement_board::mostKept(const std::vector<server_ptr> &servers,
                                        const placement_query &query, std::uint32_t maxUnread)
{
    const auto shared = sharedParts(query.prompt);
    std::uint64_t most = 0;
    for (const auto &each : servers) {
        const auto &state = engineOf(*each);
        if (state.unread <= maxUnread)
            most = std::max(most, state.parts.keptTokens(shared));
    }
    return most;
}

// The request that has the part read again gets its first token later than those after it. It would
// have waited at the engines that keep the part, as none of them is idle. Requests aren't withheld
// from copies when the load decreases: the queues at the others cost more than the memory, and an
// engine evicts a copy that isn't used.
server_ptr placement_board::copyFor(const std::vector<server_ptr> &servers,
                                    const placement_query &query)
{
    const auto shared = sharedParts(query.prompt);
    const auto sharedTokens = tokensOf(shared);
    if (!m_usesCopies || sharedTokens < MinHomeTokens)
        return nullptr;
    const auto ownTokens = static_cast<std::uint32_t>(
        std::max<std::uint64_t>(1, tokensOf(query.prompt) - sharedTokens));
    const auto load = m_partLoads.onRequest(query.pool.service, shared.back().id,
                                            m_readTimes[query.pool.service].expected(ownTokens));
    std::vector<server_ptr> others;
    bool anyIdleKeeper = false;
    for (const auto &each : servers) {
        const auto &state = engineOf(*each);
        if (state.parts.keptTokens(shared) < sharedTokens)
            others.push_back(each);
        else
            anyIdleKeeper = anyIdleKeeper || state.unread == 0;
    }
    const auto keepers = servers.size() - others.size();
    if (keepers == 0 || anyIdleKeeper
        || load <= MaxPartLoadPerEngine * static_cast<double>(keepers))
        return nullptr;
    return homeFor(others, query);
}

// With one long prompt ahead, the time to the first token was a fifth longer in a burst than by
// cost alone.
server_ptr placement_board::homeFor(const std::vector<server_ptr> &servers,
                                    const placement_query &query)
{
    const auto order = homeOrder(sharedParts(query.prompt).back().id, nearInputs(servers, query));
    const auto found = std::ranges::find_if(
        order, [&](const server_ptr &each) { return mayBeHome(*each, query); });
    return found == order.end() ? nullptr : *found;
}

// A part whose requests have inputs in several data centres is read in one of them alone while its
// engine there isn't busy: the engine that keeps the part has the lower cost.
std::vector<server_ptr> placement_board::nearInputs(const std::vector<server_ptr> &servers,
                                                    const placement_query &query)
{
    if (query.preferredDataCenter.empty() || transferCost(query) < MinLocalHomeCost)
        return servers;
    auto local = servers;
    std::erase_if(local, [&](const server_ptr &each) {
        return each->record.dataCenter != query.preferredDataCenter;
    });
    return local.empty() ? servers : local;
}

bool placement_board::mayBeHome(const server &backend, const placement_query &query)
{
    const auto &state = engineOf(backend);
    const bool busy = state.longPrompts > 0 || state.streams >= backend.record.slots;
    const bool wouldEvict =
        state.parts.totalTokens() + tokensOf(sharedParts(query.prompt)) > keptLimit(state.service);
    return backend.avoidUntil <= m_clock.now() && !busy && !wouldEvict
        && timeFactorOf(backend, state) <= MaxHomeTimeFactor;
}

server_ptr placement_board::cheapest(const std::vector<server_ptr> &servers,
                                     const placement_query &query, std::uint64_t keptElsewhere)
{
    server_ptr best;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto &each : servers) {
        const double cost = costOf(*each, query, keptElsewhere);
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
    forgetGoneEngines();
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
        placed.server = chooseEngine(candidates(poolServers, query, share), query);
        if (!placed.server)
            placed = earliestAllowed(poolServers, query, share);
    }
    placed.allRateLimited = perSecond.has_value();
    if (placed.server) {
        m_pacer.onSent(*placed.server, share);
        m_firstPlacements.try_emplace(query.pool, m_clock.now());
        placed.repeated = findRepeated(*placed.server, query);
        recordPlacement(id, query, placed);
    }
    return placed;
}

void placement_board::recordPlacement(placement_id id, const placement_query &query,
                                      const placement_result &placed)
{
    const auto start = placed.server->record.start();
    auto &state = engineOf(*placed.server);
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
    ++state.unread;
    state.longPrompts += uncached > PrefillChunkTokens ? 1 : 0;
    keepParts(state, query);
}

std::uint64_t placement_board::keptLimit(const service_id &service) const
{
    const auto known = m_capacities.find(service);
    const auto capacity = known == m_capacities.end() ? DefaultCapacityTokens : known->second;
    return static_cast<std::uint64_t>(CacheShareOfCapacity * static_cast<double>(capacity));
}

void placement_board::keepParts(engine &state, const placement_query &query)
{
    const auto shared = sharedParts(query.prompt);
    for (const auto &each : shared)
        m_lostParts.remove(state.service, each.id);
    for (const auto &evicted : state.parts.keep(shared, keptLimit(state.service), m_clock.now()))
        m_lostParts.add(state.service, evicted, prefill_cause::Evicted);
}

void placement_board::learnParts(const service_id &service, const std::vector<placed_part> &parts)
{
    for (const auto &each : parts) {
        const auto known = m_directory.find(each.engine.id);
        if (!known || known->record.start() != each.engine || known->record.service != service
            || each.ago > recent_prompt_parts::Lifetime)
            continue;
        engineOf(*known).parts.keep({each.id, each.tokens}, m_clock.now() - each.ago);
    }
}

bool placement_board::isNew(const pool_key &pool) const
{
    const auto found = m_firstPlacements.find(pool);
    return found == m_firstPlacements.end() || m_clock.now() - found->second < NewBoardTime;
}

prefill_cause placement_board::causeOf(const server_start &holder,
                                       const placement_query &query) const
{
    const auto known = m_directory.find(holder.id);
    if (!known || known->record.start() != holder)
        return prefill_cause::EngineGone;
    const bool excluded = std::ranges::find(query.exclude, holder.id) != query.exclude.end();
    if (excluded || !known->usable() || known->avoidUntil > m_clock.now())
        return prefill_cause::Excluded;
    return prefill_cause::SpreadByLoad;
}

// Of several engines that keep the parts, the one whose load alone prevented its choice counts:
// the declaration order of the causes.
repeated_prefill placement_board::findRepeated(const server &chosen, const placement_query &query)
{
    const auto shared = sharedParts(query.prompt);
    const auto kept = engineOf(chosen).parts.keptTokens(shared);
    const auto total = tokensOf(shared);
    repeated_prefill repeated;
    repeated.unkeptTokens = static_cast<std::uint32_t>(total - kept);
    if (kept == total)
        return repeated;
    std::uint64_t most = kept;
    for (const auto &[start, each] : m_engines) {
        const auto there =
            each.service == chosen.record.service ? each.parts.keptTokens(shared) : 0;
        if (there <= kept || there < most)
            continue;
        const auto why = causeOf(start, query);
        repeated.cause = there > most || !repeated.cause ? why : std::min(*repeated.cause, why);
        most = there;
    }
    repeated.tokens = static_cast<std::uint32_t>(most - kept);
    if (repeated.cause)
        return repeated;
    for (const auto &each : shared) {
        const auto why = m_lostParts.causeOf(chosen.record.service, each.id);
        repeated.tokens += why ? each.tokens : 0;
        repeated.cause = why ? why : repeated.cause;
    }
    if (!repeated.cause && isNew(query.pool)) {
        repeated.cause = prefill_cause::NewBoard;
        repeated.tokens = repeated.unkeptTokens;
    }
    return repeated;
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
    state.longPrompts -= finished.tokens > PrefillChunkTokens ? std::min(state.longPrompts, 1U) : 0;
    finished.tokens = 0;
    if (!std::exchange(finished.isRead, true))
        state.unread -= std::min(state.unread, 1U);
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
        forget(server);
}

void placement_board::forget(const server_start &gone)
{
    const auto found = m_engines.find(gone);
    found->second.parts.forEach([&](const std::string &part) {
        m_lostParts.add(found->second.service, part, prefill_cause::EngineGone);
    });
    m_engines.erase(found);
}

void placement_board::forgetGoneEngines()
{
    if (std::exchange(m_knownChanges, m_directory.changes()) == m_directory.changes())
        return;
    std::vector<server_start> gone;
    for (const auto &[start, each] : m_engines) {
        const auto known = m_directory.find(start.id);
        if (each.streams == 0 && (!known || known->record.start() != start))
            gone.push_back(start);
    }
    for (const auto &each : gone)
        forget(each);
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
