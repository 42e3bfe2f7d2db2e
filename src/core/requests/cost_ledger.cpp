#include "core/requests/cost_ledger.h"

#include <algorithm>

namespace orchidlead {

void cost_ledger::cost_total::add(const attempt_cost &cost)
{
    ++attempts;
    busy += cost.busy;
    tokens += cost.tokens;
    if (!cost.used)
        lostBusy += cost.busy;
}

stage_cost cost_ledger::cost_total::toStats() const
{
    using std::chrono::duration_cast;
    return {attempts, duration_cast<milliseconds>(busy), duration_cast<milliseconds>(lostBusy),
            tokens};
}

cost_ledger::customer_entry &cost_ledger::entry(const customer_id &customer)
{
    const auto it = m_customers.find(customer);
    if (it != m_customers.end())
        return it->second;
    if (m_customers.size() >= m_maxCustomers)
        return m_otherCustomers;
    return m_customers[customer];
}

void cost_ledger::recordCost(const pipeline_plan &plan, std::uint32_t stage,
                             const attempt_cost &cost)
{
    entry(plan.customer).cost.add(cost);
    const stage_key key{plan.id, plan.stages[stage].id};
    const auto it = m_stages.find(key);
    if (it != m_stages.end())
        it->second.add(cost);
    else if (m_stages.size() < MaxStages)
        m_stages[key].add(cost);
}

void cost_ledger::submitted(const customer_id &customer)
{
    ++m_total.submitted;
    ++entry(customer).outcomes.submitted;
}

void cost_ledger::ended(const customer_id &customer, outcome result, bool attained)
{
    const auto index = static_cast<std::size_t>(result);
    for (outcome_counts *counts : {&m_total, &entry(customer).outcomes}) {
        ++counts->ended[index];
        counts->attained += attained ? 1 : 0;
    }
}

std::vector<pipeline_stage_stats> cost_ledger::stages() const
{
    std::vector<pipeline_stage_stats> views;
    views.reserve(m_stages.size());
    for (const auto &[key, cost] : m_stages)
        views.push_back({key.first, key.second, cost.toStats()});
    return views;
}

std::vector<customer_stats> cost_ledger::customers() const
{
    std::vector<customer_stats> views;
    views.reserve(m_customers.size() + 1);
    for (const auto &[customer, counted] : m_customers)
        views.push_back({customer, counted.outcomes, counted.cost.toStats()});
    std::sort(views.begin(), views.end(), [](const customer_stats &a, const customer_stats &b) {
        return a.customer < b.customer;
    });
    if (m_otherCustomers.outcomes.submitted > 0)
        views.push_back(
            {customer_id{}, m_otherCustomers.outcomes, m_otherCustomers.cost.toStats()});
    return views;
}

} // namespace orchidlead
