#include "gateway/admission/stage_reservations.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// How long a reservation is kept after its pieces were due: two to three calls, as estimates of the
// stages before are off by about that much. The requests behind it wait for nothing meanwhile if
// its sender failed.
constexpr milliseconds LapseTime{500};
// Maximum number of reservations of a pool. At 230 pieces per second and reservations of up to 2 s,
// a pool has fewer than 500. The limit bounds the time of a decision.
constexpr std::size_t MaxReservations = 4096;

using fractional_ms = std::chrono::duration<double, std::milli>;

fractional_ms workOf(std::uint32_t pieces, std::uint64_t resultBytes, const pool_estimate &pool)
{
    const double serverTime = pieces / pool.piecesPerSecond;
    const double roomTime = pool.bytesPerSecond > 0
        ? static_cast<double>(resultBytes) * pieces / pool.bytesPerSecond
        : 0.0;
    return std::chrono::duration<double>(std::max(serverTime, roomTime));
}

milliseconds roundUp(fractional_ms time)
{
    return std::chrono::ceil<milliseconds>(time);
}

} // namespace

// Plays the pool's queue ahead of the wanted pieces: first the waiting pieces, then each
// reservation from its expected arrival on. Reserved work that arrives after the wanted pieces have
// begun doesn't delay them. The grant must not delay requests of the same rank beyond their
// `latestStart` either; those of less urgent ranks give way.
reservation_answer stage_reservations::evaluateStage(const reserved_stage &wanted,
                                                     const stage_rank &rank,
                                                     const pool_estimate &pool) const
{
    reservation_answer answer;
    answer.waitingAhead = static_cast<std::uint32_t>(pool.waiting);
    if (pool.piecesPerSecond <= 0) { // the pieces end with the pool's reason
        answer.decided = false;
        return answer;
    }
    const auto now = m_clock.now();
    const fractional_ms startsIn = wanted.startsIn;
    fractional_ms idleAt = pool.wait; // when the work that is ahead is done
    std::size_t next = 0;
    for (; next < m_reservations.size(); ++next) {
        const auto &each = m_reservations[next];
        if (each.rank > rank)
            continue;
        const fractional_ms due = each.due - now;
        if (std::max(idleAt, startsIn) < due)
            break;
        idleAt = std::max(idleAt, due) + workOf(each.pieces, each.resultBytes, pool);
        answer.reservedAhead += each.pieces;
    }
    auto begin = std::max(idleAt, startsIn);
    if (begin > startsIn)
        begin += MarginCalls * fractional_ms(pool.callTime);
    auto excess = begin - fractional_ms(wanted.latestStart);
    fractional_ms without = idleAt;
    fractional_ms with =
        std::max(idleAt, startsIn) + workOf(wanted.pieces, wanted.resultBytes, pool);
    for (; next < m_reservations.size() && with > without; ++next) {
        const auto &each = m_reservations[next];
        if (each.rank > rank)
            continue;
        const fractional_ms due = each.due - now;
        const fractional_ms latest = each.latestStart - now;
        without = std::max(without, due);
        with = std::max(with, due);
        const bool delayed = without <= latest && with > latest;
        if (delayed && each.rank == rank)
            excess = std::max(excess, with - latest);
        without += workOf(each.pieces, each.resultBytes, pool);
        with += workOf(each.pieces, each.resultBytes, pool);
    }
    answer.granted = excess <= fractional_ms(0);
    answer.wait = roundUp(begin - startsIn);
    answer.retryAfter = std::max(milliseconds{0}, roundUp(excess));
    return answer;
}

reservation_answer stage_reservations::evaluate(const reservation_query &query,
                                                const std::vector<pool_estimate> &pool)
{
    dropLapsed();
    reservation_answer answer;
    answer.granted = m_reservations.size() + query.stages.size() <= MaxReservations;
    for (std::size_t i = 0; i < query.stages.size() && i < pool.size(); ++i) {
        const auto stage = evaluateStage(query.stages[i], query.rank, pool[i]);
        answer.granted = answer.granted && stage.granted;
        answer.decided = answer.decided && stage.decided;
        answer.wait = std::max(answer.wait, stage.wait);
        answer.retryAfter = std::max(answer.retryAfter, stage.retryAfter);
        answer.waitingAhead = std::max(answer.waitingAhead, stage.waitingAhead);
        answer.reservedAhead = std::max(answer.reservedAhead, stage.reservedAhead);
    }
    return answer;
}

void stage_reservations::reserve(reservation_sender sender, const reservation_query &query)
{
    const auto now = m_clock.now();
    for (const auto &each : query.stages) {
        if (m_reservations.size() >= MaxReservations)
            return;
        reservation added{sender,
                          query.id,
                          query.attempt,
                          each.stage,
                          each.pieces,
                          each.resultBytes,
                          query.rank,
                          now + each.startsIn,
                          now + each.latestStart};
        const auto at = std::ranges::upper_bound(m_reservations, added.due, {}, &reservation::due);
        m_reservations.insert(at, std::move(added));
    }
}

bool stage_reservations::onPieceArrived(const std::string &attempt, std::uint32_t stage)
{
    dropLapsed();
    const auto found = std::ranges::find_if(m_reservations, [&](const reservation &each) {
        return each.stage == stage && each.attempt == attempt;
    });
    if (found == m_reservations.end())
        return false;
    if (found->pieces <= 1)
        m_reservations.erase(found);
    else
        --found->pieces;
    return true;
}

std::uint32_t stage_reservations::release(reservation_sender sender, reservation_id id,
                                          std::optional<std::uint32_t> stage)
{
    std::uint32_t pieces = 0;
    std::erase_if(m_reservations, [&](const reservation &each) {
        const bool isReleased =
            each.sender == sender && each.id == id && each.stage == stage.value_or(each.stage);
        pieces += isReleased ? each.pieces : 0;
        return isReleased;
    });
    return pieces;
}

void stage_reservations::releaseAll(reservation_sender sender)
{
    std::erase_if(m_reservations, [&](const reservation &each) { return each.sender == sender; });
}

std::size_t stage_reservations::reservedPieces()
{
    dropLapsed();
    std::size_t pieces = 0;
    for (const auto &each : m_reservations)
        pieces += each.pieces;
    return pieces;
}

void stage_reservations::dropLapsed()
{
    const auto limit = m_clock.now() - LapseTime;
    const auto firstKept = std::ranges::find_if(
        m_reservations, [&](const reservation &each) { return each.due >= limit; });
    m_reservations.erase(m_reservations.begin(), firstKept);
}

} // namespace orchidlead::gateway
