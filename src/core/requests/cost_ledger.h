#pragma once

#include "core/configuration/pipeline.h"
#include "core/requests/engine_stats.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orchidlead {

/// Cost of one ended attempt.
struct attempt_cost
{
    /// As reported by the server, or else the duration of the attempt.
    std::chrono::microseconds busy{0};
    std::uint64_t tokens = 0;
    bool used = false; ///< the attempt's output was used
};

/// Accounts for busy time and tokens, including wasted work, by pipeline stage and by customer, and
/// for outcomes by customer. Customers beyond the limit share one entry without an id; pipeline
/// stages beyond the limit are not counted.
class cost_ledger
{
public:
    explicit cost_ledger(std::size_t maxCustomers)
        : m_maxCustomers(maxCustomers)
    { }

    void recordCost(const pipeline_plan &plan, std::uint32_t stage, const attempt_cost &cost);
    void submitted(const customer_id &customer);
    void ended(const customer_id &customer, outcome result, bool attained);

    [[nodiscard]] const outcome_counts &total() const { return m_total; }
    [[nodiscard]] std::vector<pipeline_stage_stats> stages() const;
    [[nodiscard]] std::vector<customer_stats> customers() const;

private:
    static constexpr std::size_t MaxStages = 1'024;
    using stage_key = std::pair<pipeline_id, stage_id>;

    struct cost_total
    {
        std::uint64_t attempts = 0;
        std::chrono::microseconds busy{0};
        std::chrono::microseconds lostBusy{0};
        std::uint64_t tokens = 0;

        void add(const attempt_cost &cost);
        [[nodiscard]] stage_cost toStats() const;
    };

    struct customer_entry
    {
        outcome_counts outcomes;
        cost_total cost;
    };

    customer_entry &entry(const customer_id &customer);

    std::size_t m_maxCustomers;
    outcome_counts m_total;
    std::map<stage_key, cost_total> m_stages;
    std::unordered_map<customer_id, customer_entry> m_customers;
    customer_entry m_otherCustomers;
};

} // namespace orchidlead
