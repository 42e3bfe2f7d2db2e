#include "gateway/admission/overload_order.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// A request of a customer over its share, or one that comes before its turn, is granted
// nevertheless while the pool has less work ahead than this: with a shorter queue calls would have
// fewer pieces than fit, or servers would idle, before other requests arrive. A call of the slowest
// stage served so far takes 280 ms.
constexpr milliseconds MaxQueueOfYielding{250};
// Of the time until a request must begin, turns, and the work ahead of requests that yield, take
// this part at most. The rest is left to new arrivals, whatever the time is.
constexpr int ReservedDivisor = 2;

} // namespace

overload_order::overload_order(const clock_source &clock, options enabled,
                               customer_shares::weight_function weightOf)
    : m_clock(clock)
    , m_enabled(enabled)
    , m_shares(clock, std::move(weightOf))
    , m_turns(clock)
{ }

overload_answer overload_order::decide(const overload_query &query)
{
    m_shares.onRequested(query.customer, query.rank, query.cost);
    const auto cause = check(query);
    if (cause != refusal_cause::None)
        return refuse(query, cause);
    overload_answer granted;
    granted.usedTurn = m_turns.take(query.request);
    m_shares.onGranted(query.customer, query.rank, query.cost);
    m_turns.onGranted(query.rank, query.cost);
    return granted;
}

void overload_order::onReleased(const customer_id &customer, const stage_rank &rank, pool_time cost)
{
    m_shares.onReleased(customer, rank, cost);
    m_turns.onGranted(rank, -cost);
}

milliseconds overload_order::reservedTime(const overload_query &query) const
{
    if (!m_enabled.retryTurns)
        return milliseconds{0};
    const auto due = m_turns.costDueBefore(query.rank, m_clock.now() + query.latestStart);
    return std::min(std::chrono::ceil<milliseconds>(due), query.latestStart / ReservedDivisor);
}

// A turn within its window is a promise: neither the share of its customer nor other turns count.
refusal_cause overload_order::check(const overload_query &query)
{
    if (query.wait > query.latestStart)
        return refusal_cause::Late;
    if (m_turns.isInWindow(query.request))
        return refusal_cause::None;
    const bool queueIsShort =
        query.wait <= std::min(query.latestStart / ReservedDivisor, MaxQueueOfYielding);
    if (m_enabled.customerShares && !queueIsShort
        && m_shares.isOverShare(query.customer, query.rank))
        return refusal_cause::OverShare;
    if (query.wait + reservedTime(query) > query.latestStart
        || (m_turns.isEarly(query.request) && !queueIsShort))
        return refusal_cause::Turn;
    return refusal_cause::None;
}

overload_answer overload_order::refuse(const overload_query &query, refusal_cause cause)
{
    auto wait = std::max(milliseconds{0}, query.wait + reservedTime(query) - query.latestStart);
    if (cause != refusal_cause::OverShare)
        m_shares.onRefused(query.rank);
    turn_query turn;
    if (m_enabled.customerShares) {
        wait = std::max(
            wait,
            std::chrono::ceil<milliseconds>(m_shares.timeOverShare(query.customer, query.rank)));
        turn.customerShare = m_shares.shareOf(query.customer, query.rank);
    }
    if (!m_enabled.retryTurns)
        return {cause, std::clamp(wait, retry_turns::MinRetryAfter, retry_turns::MaxRetryAfter),
                false, std::nullopt};
    turn.request = query.request;
    turn.customer = query.customer;
    turn.rank = query.rank;
    turn.cost = query.cost;
    turn.wait = wait;
    turn.maxWait = query.maxRetryAfter;
    const auto given = m_turns.grant(turn);
    return {cause, given.retryAfter, given.held, std::nullopt};
}

} // namespace orchidlead::gateway
