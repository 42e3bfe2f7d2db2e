#include "gateway/admission/stage_admission.h"

#include "gateway/admission/pool_share.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// A grant that is released after this time counts as used. A node has the answers of all hosts
// within tens of milliseconds, and what is released after that belongs to a request that ended.
constexpr milliseconds RecentGrantTime{500};

} // namespace

// All grounds for a refusal are joined here; each has what the query names: digest, customer, rank,
// pieces and bytes. A pool that gets no work now decides nothing: its pieces end with its reason.
reservation_answer stage_admission::decide(pool_state &state, const pool_key &pool,
                                           reservation_sender sender,
                                           const reservation_query &query)
{
    std::vector<pool_estimate> estimates;
    estimates.reserve(query.stages.size());
    for (const auto &each : query.stages)
        estimates.push_back(m_estimate(pool, query.rank, each.resultBytes));
    auto answer = state.reservations.evaluate(query, estimates);
    if (!answer.granted)
        answer.cause = refusal_cause::Late;
    // A result that never fits has an endless wait.
    answer.wait = std::min(answer.wait, MaxReservationTime);
    answer.retryAfter = std::min(answer.retryAfter, MaxReservationTime);
    const auto request = overloadQueryOf(query, estimates, answer);
    if (!request)
        return answer;
    std::optional<used_turn> turn;
    if (m_orderOptions.any()) {
        const auto ordered = state.order.decide(*request);
        answer.granted = ordered.granted();
        answer.cause = ordered.cause;
        answer.turnHeld = ordered.turnHeld;
        turn = ordered.usedTurn;
        if (!answer.granted)
            answer.retryAfter = ordered.retryAfter;
    }
    if (answer.granted)
        recordGrant(state, sender, query, request->cost, turn);
    if (m_onDecision)
        m_onDecision(pool.service, query.customer, request->cost, answer.cause);
    return answer;
}

void stage_admission::recordGrant(pool_state &state, reservation_sender sender,
                                  const reservation_query &query, pool_time cost,
                                  const std::optional<used_turn> &turn) const
{
    const auto now = m_clock.now();
    while (!state.grants.empty() && now - state.grants.front().at > RecentGrantTime)
        state.grants.pop_front();
    std::uint32_t pieces = 0;
    for (const auto &each : query.stages)
        pieces += each.pieces;
    state.grants.push_back({sender, query.id, query.customer, query.rank, pieces, cost, now, turn});
}

reservation_answer stage_admission::onQuery(reservation_sender sender, const pool_key &pool,
                                            const reservation_query &query)
{
    auto &state = m_pools.try_emplace(pool, m_clock, m_orderOptions).first->second;
    const auto answer = decide(state, pool, sender, query);
    if (!answer.decided)
        return answer;
    auto &counts = m_counts[pool.service];
    ++(answer.granted ? counts.granted : counts.refused);
    if (answer.granted)
        state.reservations.reserve(sender, query);
    return answer;
}

bool stage_admission::onPieceArrived(const pool_key &pool, const std::string &attempt,
                                     std::uint32_t stage)
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.reservations.onPieceArrived(attempt, stage);
}

void stage_admission::release(reservation_sender sender, reservation_id id)
{
    for (auto &[pool, state] : m_pools)
        release(state, sender, id);
}

void stage_admission::releaseStage(reservation_sender sender, reservation_id id,
                                   std::uint32_t stage)
{
    for (auto &[pool, state] : m_pools) {
        const auto left = state.reservations.release(sender, id, stage);
        const auto found = findGrant(state, sender, id);
        if (left == 0 || found == state.grants.end())
            continue;
        takeBack(state, *found, left);
        found->turn.reset(); // the request goes on
    }
}

std::deque<stage_admission::recent_grant>::iterator
stage_admission::findGrant(pool_state &state, reservation_sender sender, reservation_id id) const
{
    const auto found = std::ranges::find_if(state.grants, [&](const recent_grant &each) {
        return each.sender == sender && each.id == id;
    });
    const bool isRecent =
        found != state.grants.end() && m_clock.now() - found->at <= RecentGrantTime;
    return isRecent ? found : state.grants.end();
}

// Pieces that have not arrived took nothing of the pool, so their customer wasn't granted it.
void stage_admission::takeBack(pool_state &state, recent_grant &grant, std::uint32_t pieces)
{
    const auto back = std::min(pieces, grant.pieces);
    const auto cost = grant.cost * (static_cast<double>(back) / std::max(1U, grant.pieces));
    state.order.onReleased(grant.customer, grant.rank, cost);
    grant.pieces -= back;
    grant.cost -= cost;
}

// If no piece arrived, another pool refused the request, which returns: it keeps its turn here.
void stage_admission::release(pool_state &state, reservation_sender sender, reservation_id id) const
{
    const auto left = state.reservations.release(sender, id);
    const auto found = findGrant(state, sender, id);
    if (left == 0 || found == state.grants.end())
        return;
    takeBack(state, *found, left);
    if (found->turn && found->pieces == 0)
        state.order.restoreTurn(*found->turn);
    state.grants.erase(found);
}

void stage_admission::releaseAll(reservation_sender sender)
{
    for (auto &[pool, state] : m_pools) {
        std::vector<reservation_id> recent;
        for (const auto &each : state.grants) {
            if (each.sender == sender)
                recent.push_back(each.id);
        }
        for (const auto id : recent)
            release(state, sender, id);
        state.reservations.releaseAll(sender);
    }
}

std::map<service_id, admission_counts> stage_admission::counts()
{
    auto counts = m_counts;
    for (auto &[pool, state] : m_pools)
        counts[pool.service].held += state.reservations.reservedPieces();
    return counts;
}

std::map<service_id, turn_summary> stage_admission::turns()
{
    std::map<service_id, turn_summary> turns;
    for (auto &[pool, state] : m_pools) {
        state.order.removeLapsed();
        auto &sum = turns[pool.service];
        sum.held += state.order.turns().size();
        sum.counts += state.order.turns().counts();
    }
    return turns;
}

} // namespace orchidlead::gateway
