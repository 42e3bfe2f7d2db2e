#include "gateway/admission/customer_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

namespace {

// Shares are enforced for this long after a request of the rank was refused. It is the period over
// which requests and grants are counted.
constexpr std::chrono::duration<double> EnforcementTime = decaying_rate::TimeConstant;
// The share of a rank is computed again after this time, as this needs all customers of the rank.
// Counts that decay over a second change by 5 % meanwhile.
constexpr milliseconds LevelLifetime{50};
// A customer may exceed its share by this factor: the estimate is 5 % older than its counts.
constexpr double Tolerance = 1.05;

} // namespace

customer_shares::customer_shares(const clock_source &clock, weight_function weightOf)
    : m_clock(clock)
    , m_weightOf(std::move(weightOf))
{ }

void customer_shares::onRequested(const customer_id &customer, const stage_rank &rank,
                                  pool_time cost)
{
    touch(customer, rank).requested.onEvent(m_clock.now(), cost.count());
}

void customer_shares::onGranted(const customer_id &customer, const stage_rank &rank, pool_time cost)
{
    touch(customer, rank).granted.onEvent(m_clock.now(), cost.count());
}

// The request as well is taken back: the customer asks for the same again when it returns.
void customer_shares::onReleased(const customer_id &customer, const stage_rank &rank,
                                 pool_time cost)
{
    auto &each = touch(customer, rank);
    each.requested.onEvent(m_clock.now(), -cost.count());
    each.granted.onEvent(m_clock.now(), -cost.count());
}

void customer_shares::onRefused(const stage_rank &rank)
{
    auto &state = m_ranks[rank];
    if (!state.wasRefused || m_clock.now() - state.refusedAt > EnforcementTime)
        state.levelAt = {};
    state.wasRefused = true;
    state.refusedAt = m_clock.now();
}

bool customer_shares::isOverShare(const customer_id &customer, const stage_rank &rank)
{
    return timeOverShare(customer, rank).count() > 0;
}

double customer_shares::shareOf(const customer_id &customer, const stage_rank &rank)
{
    const auto *known = find(customer, rank);
    return level(rank) * (known ? known->weight : 1.0);
}

std::chrono::duration<double> customer_shares::timeOverShare(const customer_id &customer,
                                                             const stage_rank &rank)
{
    const auto *known = find(customer, rank);
    const double share = shareOf(customer, rank);
    if (!known || share <= 0)
        return {};
    const double granted = known->granted.perSecond(m_clock.now());
    if (granted <= share * Tolerance)
        return {};
    return decaying_rate::TimeConstant * std::log(granted / share);
}

std::map<customer_id, double> customer_shares::grantedByCustomer() const
{
    std::map<customer_id, double> granted;
    for (const auto &each : m_entries)
        granted[each.customer] += each.granted.perSecond(m_clock.now());
    return granted;
}

customer_shares::entry &customer_shares::touch(const customer_id &customer, const stage_rank &rank)
{
    auto &customers = m_ranks[rank].customers;
    if (const auto known = customers.find(customer); known != customers.end()) {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return m_entries.front();
    }
    if (m_entries.size() >= MaxCustomers)
        removeLeastRecent();
    const double weight = m_weightOf ? m_weightOf(customer) : 1.0;
    m_entries.push_front({rank, customer, weight, {}, {}});
    m_ranks[rank].customers[customer] = m_entries.begin();
    return m_entries.front();
}

const customer_shares::entry *customer_shares::find(const customer_id &customer,
                                                    const stage_rank &rank) const
{
    const auto state = m_ranks.find(rank);
    if (state == m_ranks.end())
        return nullptr;
    const auto known = state->second.customers.find(customer);
    return known == state->second.customers.end() ? nullptr : &*known->second;
}

void customer_shares::removeLeastRecent()
{
    const auto &last = m_entries.back();
    const auto state = m_ranks.find(last.rank);
    state->second.customers.erase(last.customer);
    if (state->second.customers.empty())
        m_ranks.erase(state);
    m_entries.pop_back();
}

double customer_shares::level(const stage_rank &rank)
{
    const auto found = m_ranks.find(rank);
    if (found == m_ranks.end())
        return NoLimit;
    auto &state = found->second;
    const auto now = m_clock.now();
    if (!state.wasRefused || now - state.refusedAt > EnforcementTime)
        return NoLimit;
    if (now - state.levelAt > LevelLifetime) {
        state.level = computeLevel(state);
        state.levelAt = now;
    }
    return state.level;
}

// Max-min fair sharing: what was granted to all customers of the rank is divided anew. In ascending
// order of demand per weight, a customer whose demand is below an equal share of the remainder
// takes its demand; all others get the same share per weight. If all demands are met, there is no
// limit. The sum of the grants is the capacity because no server idles for the sake of a share.
double customer_shares::computeLevel(const rank_state &state) const
{
    const auto now = m_clock.now();
    std::vector<std::pair<double, double>> demands; // per weight, weight
    double capacity = 0;
    double weights = 0;
    for (const auto &[customer, each] : state.customers) {
        demands.emplace_back(each->requested.perSecond(now) / each->weight, each->weight);
        capacity += each->granted.perSecond(now);
        weights += each->weight;
    }
    std::ranges::sort(demands);
    for (const auto &[demand, weight] : demands) {
        if (demand * weights > capacity)
            return capacity / weights;
        capacity -= demand * weight;
        weights -= weight;
    }
    return NoLimit;
}

} // namespace orchidlead::gateway
