#pragma once

#include "gateway/stages/decaying_rate.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <unordered_map>

namespace orchidlead::gateway {

/// Cost of a request: the time for which its pieces would occupy the whole pool, either all server
/// time or all result storage, whichever of the two is scarcer.
using pool_time = std::chrono::duration<double>;

/// Divides the capacity of a pool among the customers of each rank by max-min fair sharing over
/// about a second. Does no I/O.
///
/// The capacity of a rank is what it was granted in that time. A customer whose demand is below its
/// share gets all of it; the others get equal shares of the remainder, multiplied by their weights.
class customer_shares
{
public:
    /// Customers kept at most, counted once per rank; those with the least recent request are
    /// removed first. One takes about 250 bytes. Several times the number of customers that send
    /// requests to one pool within seconds.
    static constexpr std::size_t MaxCustomers = 4096;
    static constexpr double NoLimit = std::numeric_limits<double>::infinity();

    /// Returns the weight of a customer, greater than 0.
    using weight_function = std::function<double(const customer_id &)>;

    /// If `weightOf` is empty, all weights are 1.
    explicit customer_shares(const clock_source &clock, weight_function weightOf = {});

    /// Records what a customer asks for; to be called once per request, before its decision.
    void onRequested(const customer_id &customer, const stage_rank &rank, pool_time cost);
    void onGranted(const customer_id &customer, const stage_rank &rank, pool_time cost);
    /// Takes back a grant that was not used.
    void onReleased(const customer_id &customer, const stage_rank &rank, pool_time cost);
    /// Records a request that was refused as it couldn't be in time; not one refused because of its
    /// customer's share.
    void onRefused(const stage_rank &rank);

    /// Returns whether the customer was granted more than its share while the pool refused requests
    /// of this rank.
    [[nodiscard]] bool isOverShare(const customer_id &customer, const stage_rank &rank);
    /// Returns the pool time per second that a customer may have, or `NoLimit` if all customers of
    /// the rank get what they request.
    [[nodiscard]] double shareOf(const customer_id &customer, const stage_rank &rank);
    /// Returns the time after which the customer is no longer over its share if it is granted
    /// nothing until then.
    [[nodiscard]] std::chrono::duration<double> timeOverShare(const customer_id &customer,
                                                              const stage_rank &rank);
    /// Returns what was granted to a customer in all ranks, as pool time per second.
    [[nodiscard]] std::map<customer_id, double> grantedByCustomer() const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry
    {
        stage_rank rank;
        customer_id customer;
        double weight = 1.0;
        decaying_rate requested;
        decaying_rate granted;
    };
    using entry_list = std::list<entry>;
    struct rank_state
    {
        std::unordered_map<customer_id, entry_list::iterator> customers;
        steady_time refusedAt{};
        bool wasRefused = false;
        double level = NoLimit; ///< share of a customer with weight 1
        steady_time levelAt{}; ///< when `level` was computed
    };

    [[nodiscard]] entry &touch(const customer_id &customer, const stage_rank &rank);
    [[nodiscard]] const entry *find(const customer_id &customer, const stage_rank &rank) const;
    void removeLeastRecent();
    [[nodiscard]] double level(const stage_rank &rank);
    [[nodiscard]] double computeLevel(const rank_state &state) const;

    const clock_source &m_clock;
    weight_function m_weightOf;
    entry_list m_entries; ///< the most recent request first
    std::map<stage_rank, rank_state> m_ranks;
};

} // namespace orchidlead::gateway
