#include "gateway/admission/retry_turns.h"

#include <algorithm>
#include <cmath>

namespace orchidlead::gateway {

namespace {

// Share of the rate of a rank, and of the share of a customer, that turns take at most. With more,
// requests that arrive after the beginning of a burst would find all capacity reserved and be
// refused although they came first; with less, returning requests would be refused again.
constexpr double TurnShare = 0.5;
// Turns of a rank that was granted less than this are given out as if it were granted this, in pool
// time per second. A new host has not granted anything yet, and a rank has this share of a pool at
// least.
constexpr double MinServedRate = 0.05;
// Turns are spread by periods of this length. A call takes 150 ms and more, so the order of
// requests within a shorter time has no effect.
constexpr milliseconds BucketTime{50};
// Capacity is reserved until this long after the time of a turn: a client's timer and a round trip.
// A request that comes later still redeems its turn, but servers don't idle for it.
constexpr milliseconds ReservedAfterDue{150};
// Customers without a turn ahead are removed this often, as this visits all of them.
constexpr milliseconds CustomersLifetime{1000};

std::int64_t bucketOf(steady_time time)
{
    return time.time_since_epoch() / BucketTime;
}

steady_time startOf(std::int64_t bucket)
{
    return steady_time{bucket * BucketTime};
}

} // namespace

retry_turns::retry_turns(const clock_source &clock)
    : m_clock(clock)
{ }

void retry_turns::onGranted(const stage_rank &rank, pool_time cost)
{
    m_ranks[rank].served.onEvent(m_clock.now(), cost.count());
}

retry_turn retry_turns::grant(const turn_query &query)
{
    removeLapsed();
    const auto now = m_clock.now();
    bool returned = false;
    if (const auto known = m_byRequest.find(query.request); known != m_byRequest.end()) {
        if (known->second->at > now)
            return {std::chrono::ceil<milliseconds>(known->second->at - now), true};
        returned = redeem(query.request);
    }
    auto &state = m_ranks[query.rank];
    const auto at = timeFor(state, query, returned);
    const auto retryAfter = std::chrono::ceil<milliseconds>(at - now);
    if (retryAfter > std::min(query.maxWait, MaxRetryAfter))
        return {std::min(retryAfter, MaxRetryAfter), false};
    reserve(state, query, at);
    add(query, at);
    return {retryAfter, true};
}

bool retry_turns::isEarly(const request_digest &request) const
{
    const auto known = m_byRequest.find(request);
    return known != m_byRequest.end() && m_clock.now() < known->second->opensAt;
}

bool retry_turns::isInWindow(const request_digest &request) const
{
    const auto known = m_byRequest.find(request);
    return known != m_byRequest.end() && m_clock.now() >= known->second->opensAt
        && m_clock.now() <= known->second->at + MaxLate;
}

bool retry_turns::redeem(const request_digest &request)
{
    if (!isInWindow(request))
        return false;
    ++m_counts.redeemed;
    remove(m_byRequest.at(request));
    return true;
}

std::optional<used_turn> retry_turns::take(const request_digest &request)
{
    const auto known = m_byRequest.find(request);
    if (known == m_byRequest.end())
        return std::nullopt;
    used_turn used{*known->second, isInWindow(request)};
    m_counts.redeemed += used.redeemed ? 1 : 0;
    remove(known->second);
    return used;
}

// The periods of a turn stay reserved when it is taken, so restoring it takes nothing of turns that
// were given since.
void retry_turns::restore(const used_turn &used)
{
    const auto &each = used.turn;
    if (m_byRequest.contains(each.request))
        return;
    m_counts.redeemed -= used.redeemed ? 1 : 0;
    if (each.at + MaxLate < m_clock.now()) {
        ++m_counts.lapsed;
        return;
    }
    if (m_turns.size() >= MaxTurns) {
        ++m_counts.evicted;
        return;
    }
    insert(m_turns.begin(), each);
}

// The rate of a rank falls when servers are lost or more urgent requests arrive; turns given out at
// the earlier rate then take no more than their share of the new one.
pool_time retry_turns::costDueBefore(const stage_rank &rank, steady_time before) const
{
    const auto since = m_clock.now() - ReservedAfterDue;
    pool_time total{0};
    for (const auto &[each, state] : m_ranks) {
        if (rank < each)
            break;
        pool_time cost{0};
        const auto begin = state.due.lower_bound({since, {}});
        const auto end = state.due.lower_bound({before, {}});
        for (auto it = begin; it != end; ++it)
            cost += it->second;
        const std::chrono::duration<double> span = std::max(before, since) - since;
        total += std::min(cost, pool_time{turnRate(state) * span.count()});
    }
    return total;
}

void retry_turns::removeLapsed()
{
    const auto now = m_clock.now();
    while (!m_byTime.empty() && m_byTime.begin()->first + MaxLate < now) {
        ++m_counts.lapsed;
        remove(m_byRequest.at(m_byTime.begin()->second));
    }
    if (now - m_customersForgottenAt > CustomersLifetime)
        forgetCustomers();
}

void retry_turns::forgetCustomers()
{
    m_customersForgottenAt = m_clock.now();
    for (auto &[rank, state] : m_ranks) {
        std::erase_if(state.nextOfCustomer,
                      [this](const auto &each) { return each.second < m_clock.now(); });
    }
}

double retry_turns::turnRate(const rank_state &state) const
{
    return TurnShare * std::max(state.served.perSecond(m_clock.now()), MinServedRate);
}

steady_time retry_turns::timeFor(rank_state &state, const turn_query &query, bool returned) const
{
    auto earliest = m_clock.now() + std::clamp(query.wait, MinRetryAfter, MaxRetryAfter);
    if (returned)
        return earliest;
    if (const auto next = state.nextOfCustomer.find(query.customer);
        next != state.nextOfCustomer.end())
        earliest = std::max(earliest, next->second);
    return findTime(state, earliest);
}

// Returns the first time from `earliest` on whose period is not fully reserved. A time within a
// period that is partly reserved is after what is reserved of it.
steady_time retry_turns::findTime(rank_state &state, steady_time earliest) const
{
    const double capacity = turnRate(state) * std::chrono::duration<double>(BucketTime).count();
    state.reserved.erase(state.reserved.begin(),
                         state.reserved.lower_bound(bucketOf(m_clock.now())));
    auto period = bucketOf(earliest);
    for (;; ++period) {
        const auto found = state.reserved.find(period);
        const double used = found == state.reserved.end() ? 0.0 : found->second;
        if (used < capacity) {
            const auto offset =
                std::chrono::duration_cast<steady_time::duration>(BucketTime * (used / capacity));
            return std::max(earliest, startOf(period) + offset);
        }
    }
}

// A turn that takes more than is left of its period takes the rest from the periods after it.
void retry_turns::reserve(rank_state &state, const turn_query &query, steady_time at)
{
    const double capacity = turnRate(state) * std::chrono::duration<double>(BucketTime).count();
    const auto last = bucketOf(m_clock.now() + MaxRetryAfter);
    double rest = query.cost.count();
    for (auto period = bucketOf(at); rest > 0 && period <= last; ++period) {
        auto &used = state.reserved[period];
        const double part = std::clamp(capacity - used, 0.0, rest);
        used += part;
        rest -= part;
    }
    if (query.customerShare < customer_shares::NoLimit && query.customerShare > 0) {
        // A share that has decayed to nearly nothing must not bar the customer for longer.
        const std::chrono::duration<double> span{
            std::min(query.cost.count() / (TurnShare * query.customerShare),
                     std::chrono::duration<double>(MaxRetryAfter).count())};
        state.nextOfCustomer[query.customer] =
            at + std::chrono::duration_cast<steady_time::duration>(span);
    }
}

void retry_turns::add(const turn_query &query, steady_time at)
{
    if (m_turns.size() >= MaxTurns) {
        ++m_counts.evicted;
        remove(m_turns.begin());
    }
    const auto wait = at - m_clock.now();
    const auto opensAt = at - std::min<steady_time::duration>(MaxEarly, wait / 2);
    insert(m_turns.end(), {query.request, query.rank, opensAt, at, query.cost});
    ++m_counts.given;
}

void retry_turns::insert(turn_list::const_iterator before, const held_turn &each)
{
    m_byRequest[each.request] = m_turns.insert(before, each);
    m_byTime.insert({each.at, each.request});
    m_ranks[each.rank].due[{each.at, each.request}] = each.cost;
}

void retry_turns::remove(turn_list::iterator each)
{
    m_byTime.erase({each->at, each->request});
    m_ranks[each->rank].due.erase({each->at, each->request});
    m_byRequest.erase(each->request);
    m_turns.erase(each);
}

} // namespace orchidlead::gateway
