#include "gateway/placement/placement_board.h"

#include <algorithm>
#include <limits>

namespace orchidlead::gateway {

namespace {

// Tokens read at a time between the tokens of running streams; a longer prompt makes streams pause.
// The engines served so far read 4096.
constexpr std::uint64_t ChunkTokens = 4096;
// What a running stream costs a new request, in prompt tokens: each step takes a little longer.
constexpr double StreamCost = 100.0;
// What each running stream counts for a token beyond the first chunk: it may pause too long.
constexpr double PauseCost = 0.12;
// Inputs that cross to another data centre, in tokens for a byte: the price of a megabyte there is
// about that of 260 tokens read again.
constexpr double CrossingCost = 260e-6;
// Any other server comes before one that is avoided.
constexpr double AvoidedCost = 1e9;
// Placements whose end was never told: longer than any request lasts.
constexpr std::chrono::seconds PlacementLifetime{60};
// Engines keep about as much as they publish, less what running requests take.
constexpr double KeptShare = 0.7;
// Where nothing is published.
constexpr std::uint64_t DefaultCapacity = 200'000;

} // namespace

placement_board::placement_board(const clock_source &clock, const server_directory &directory)
    : m_clock(clock)
    , m_directory(directory)
    , m_pace(clock)
{ }

void placement_board::setCapacity(const service_id &service, std::uint64_t tokens)
{
    m_capacities[service] = tokens;
}

// A part is of use only where all parts before it are kept, too.
std::uint64_t placement_board::missingTokens(const engine &state, const placement_wish &wish)
{
    std::uint64_t missing = 0;
    bool kept = true;
    for (const auto &part : wish.prompt) {
        kept = kept && state.parts.contains(part.id);
        if (!kept)
            missing += part.tokens;
    }
    return missing;
}

double placement_board::costOf(const server &which, const placement_wish &wish)
{
    const auto &state = m_engines[which.record.start()];
    const auto missing = missingTokens(state, wish);
    double cost = static_cast<double>(missing + state.reading) + StreamCost * state.streams;
    if (missing > ChunkTokens)
        cost += PauseCost * static_cast<double>(missing - ChunkTokens) * state.streams;
    if (!wish.near.empty() && which.record.dataCenter != wish.near)
        cost += CrossingCost * static_cast<double>(wish.nearBytes);
    if (which.avoidUntil > m_clock.now())
        cost += AvoidedCost;
    return cost;
}

std::vector<server_ptr> placement_board::untried(const placement_wish &wish) const
{
    auto servers = m_directory.usable(wish.pool);
    std::erase_if(servers, [&](const server_ptr &each) {
        return std::ranges::find(wish.exclude, each->record.id) != wish.exclude.end();
    });
    return servers;
}

std::vector<server_ptr> placement_board::candidates(const std::vector<server_ptr> &inPool,
                                                    const placement_wish &wish, double share) const
{
    auto free = inPool;
    std::erase_if(free, [&](const server_ptr &each) { return !m_pace.allows(*each, share); });
    const auto now = m_clock.now();
    if (std::ranges::any_of(free, [&](const auto &each) { return each->avoidUntil <= now; }))
        return free;
    auto everywhere = wish;
    everywhere.pool = {wish.pool.service};
    auto anywhere = untried(everywhere);
    std::erase_if(anywhere, [&](const server_ptr &each) {
        return !wish.allowed.allows(each->region) || !m_pace.allows(*each, 0.0);
    });
    return anywhere.empty() ? free : anywhere;
}

server_ptr placement_board::cheapest(const std::vector<server_ptr> &servers,
                                     const placement_wish &wish)
{
    server_ptr best;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto &each : servers) {
        const double cost = costOf(*each, wish);
        if (cost < bestCost) {
            bestCost = cost;
            best = each;
        }
    }
    return best;
}

placed_request placement_board::nextTurn(const std::vector<server_ptr> &inPool,
                                         const placement_wish &wish, double share) const
{
    placed_request turn;
    if (share <= 0)
        return turn;
    steady_time earliest = steady_time::max();
    for (const auto &each : inPool) {
        const auto at = m_pace.nextAt(*each, share);
        if (at < earliest) {
            earliest = at;
            turn.server = each;
        }
    }
    if (!turn.server)
        return turn;
    turn.wait = std::chrono::ceil<milliseconds>(earliest - m_clock.now());
    if (turn.wait > wish.patience)
        turn.server = nullptr;
    return turn;
}

std::optional<double> placement_board::rateOf(const placement_wish &wish, double share) const
{
    if (!m_directory.allBounded(wish.pool.service, wish.allowed))
        return std::nullopt;
    double perSecond = 0.0;
    for (const auto &each : m_directory.usable(wish.pool))
        perSecond += share * each->bound(m_clock.now()).value_or(effective_rate_limit{}).perSecond;
    return perSecond;
}

milliseconds placement_board::askAdmission(const placement_wish &wish, double perSecond)
{
    return m_admissions.try_emplace(wish.pool, m_clock).first->second.ask(wish.rank, perSecond);
}

admission placement_board::admit(const placement_wish &wish, double share)
{
    const auto perSecond = rateOf(wish, share);
    if (!perSecond)
        return {};
    if (share <= 0)
        return {false, milliseconds{0}, true};
    const auto comeBack = askAdmission(wish, *perSecond);
    return {comeBack == milliseconds{0}, comeBack, true};
}

placed_request placement_board::place(placement_id id, const placement_wish &wish, double share)
{
    forgetLapsed();
    const auto perSecond = rateOf(wish, share);
    placed_request placed;
    if (perSecond && share > 0 && !wish.admitted)
        placed.wait = askAdmission(wish, *perSecond);
    if (placed.wait == milliseconds{0}) {
        const auto inPool = untried(wish);
        placed.server = cheapest(candidates(inPool, wish, share), wish);
        if (!placed.server)
            placed = nextTurn(inPool, wish, share);
    }
    placed.allBounded = perSecond.has_value();
    if (placed.server) {
        m_pace.onSent(*placed.server, share);
        note(id, wish, *placed.server);
    }
    return placed;
}

void placement_board::note(placement_id id, const placement_wish &wish, const server &chosen)
{
    auto &state = m_engines[chosen.record.start()];
    const auto missing = missingTokens(state, wish);
    state.reading += missing;
    ++state.streams;
    m_placements[id] = {chosen.record.start(), missing, m_clock.now()};
    const auto known = m_capacities.find(wish.pool.service);
    keep(state, wish, known == m_capacities.end() ? DefaultCapacity : known->second);
}

// The least recently used parts yield, as they do in the engine.
void placement_board::keep(engine &state, const placement_wish &wish, std::uint64_t capacity)
{
    for (std::size_t i = 0; i + 1 < wish.prompt.size(); ++i) {
        const auto &part = wish.prompt[i];
        const auto [entry, isNew] = state.parts.try_emplace(part.id);
        entry->second = {part.tokens, m_clock.now()};
        if (isNew)
            state.keptTokens += part.tokens;
    }
    const auto bound = static_cast<std::uint64_t>(KeptShare * static_cast<double>(capacity));
    while (state.keptTokens > bound && !state.parts.empty()) {
        const auto oldest = std::ranges::min_element(
            state.parts, {}, [](const auto &entry) { return entry.second.used; });
        state.keptTokens -= oldest->second.tokens;
        state.parts.erase(oldest);
    }
}

void placement_board::onFirstAnswer(placement_id id)
{
    const auto found = m_placements.find(id);
    if (found == m_placements.end())
        return;
    auto &state = m_engines[found->second.server];
    state.reading -= std::min(state.reading, found->second.tokens);
    found->second.tokens = 0;
}

void placement_board::onEnd(placement_id id)
{
    onFirstAnswer(id);
    const auto found = m_placements.find(id);
    if (found == m_placements.end())
        return;
    auto &state = m_engines[found->second.server];
    state.streams -= std::min(state.streams, 1U);
    const auto server = found->second.server;
    m_placements.erase(found);
    const auto known = m_directory.find(server.id);
    if (state.streams == 0 && (!known || known->record.start() != server))
        m_engines.erase(server);
}

void placement_board::forgetLapsed()
{
    std::vector<placement_id> lapsed;
    for (const auto &[id, each] : m_placements) {
        if (m_clock.now() - each.began > PlacementLifetime)
            lapsed.push_back(id);
    }
    for (const auto id : lapsed)
        onEnd(id);
}

} // namespace orchidlead::gateway
