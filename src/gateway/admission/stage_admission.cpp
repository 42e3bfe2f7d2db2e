#include "gateway/admission/stage_admission.h"

namespace orchidlead::gateway {

// All grounds for a refusal are joined here; each has what the query names: digest, customer, rank,
// pieces and bytes.
reservation_answer stage_admission::decide(stage_reservations &reservations, const pool_key &pool,
                                           const reservation_query &query)
{
    std::vector<pool_estimate> estimates;
    estimates.reserve(query.stages.size());
    for (const auto &each : query.stages)
        estimates.push_back(m_estimate(pool, query.rank, each.resultBytes));
    return reservations.evaluate(query, estimates);
}

reservation_answer stage_admission::onQuery(reservation_sender sender, const pool_key &pool,
                                            const reservation_query &query)
{
    auto &reservations = m_pools.try_emplace(pool, m_clock).first->second;
    const auto answer = decide(reservations, pool, query);
    auto &counts = m_counts[pool.service];
    ++(answer.granted ? counts.granted : counts.refused);
    if (answer.granted)
        reservations.reserve(sender, query);
    return answer;
}

bool stage_admission::onPieceArrived(const pool_key &pool, const std::string &attempt,
                                     std::uint32_t stage)
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.onPieceArrived(attempt, stage);
}

void stage_admission::release(reservation_sender sender, reservation_id id)
{
    for (auto &[pool, reservations] : m_pools)
        reservations.release(sender, id);
}

void stage_admission::releaseAll(reservation_sender sender)
{
    for (auto &[pool, reservations] : m_pools)
        reservations.releaseAll(sender);
}

std::map<service_id, admission_counts> stage_admission::counts()
{
    auto counts = m_counts;
    for (auto &[pool, reservations] : m_pools)
        counts[pool.service].held += reservations.reservedPieces();
    return counts;
}

} // namespace orchidlead::gateway
