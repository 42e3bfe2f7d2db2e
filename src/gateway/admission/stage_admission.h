#pragma once

#include "gateway/admission/overload_order.h"
#include "gateway/admission/stage_reservations.h"
#include "gateway/servers/pool_key.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Reservations of the pools of one service at this host.
struct admission_counts
{
    std::size_t held = 0; ///< pieces that are reserved and have not arrived
    std::uint64_t granted = 0; ///< queries since the start of the process
    std::uint64_t refused = 0;
};

/// Decides on the admission of requests to the pools that this node hosts.
class stage_admission
{
public:
    /// Returns the load of a pool for pieces of a rank with results of a size in bytes.
    using estimate_function =
        std::function<pool_estimate(const pool_key &, const stage_rank &, std::uint64_t)>;

    /// Handles a decision on a request of a customer.
    using decision_function =
        std::function<void(const service_id &, const customer_id &, pool_time cost, refusal_cause)>;

    explicit stage_admission(const clock_source &clock,
                             overload_order::options order = {.customerShares = false,
                                                              .retryTurns = false})
        : m_clock(clock)
        , m_orderOptions(order)
    { }

    void setEstimate(estimate_function estimate) { m_estimate = std::move(estimate); }
    void setDecisionHandler(decision_function handler) { m_onDecision = std::move(handler); }

    /// Decides on a query, and reserves its places if they are granted.
    [[nodiscard]] reservation_answer onQuery(reservation_sender sender, const pool_key &pool,
                                             const reservation_query &query);
    /// Returns whether a piece that arrived at a pool had a reservation, and consumes it.
    bool onPieceArrived(const pool_key &pool, const std::string &attempt, std::uint32_t stage);
    /// Releases what is left of a reservation, as its request doesn't go on.
    void release(reservation_sender sender, reservation_id id);
    /// Releases what is left of one stage of a reservation, as its pieces went to another pool.
    void releaseStage(reservation_sender sender, reservation_id id, std::uint32_t stage);
    /// Releases all reservations of a sender, which ended.
    void releaseAll(reservation_sender sender);
    [[nodiscard]] std::map<service_id, admission_counts> counts();
    /// Returns the retry turns by service.
    [[nodiscard]] std::map<service_id, turn_summary> turns();

private:
    /// A grant that may still be released because another pool refused the request.
    struct recent_grant
    {
        reservation_sender sender = nullptr;
        reservation_id id = 0;
        customer_id customer;
        stage_rank rank;
        std::uint32_t pieces = 0;
        pool_time cost{0};
        steady_time at;
        std::optional<used_turn> turn; ///< that the request redeemed
    };
    struct pool_state
    {
        pool_state(const clock_source &clock, overload_order::options options)
            : reservations(clock)
            , order(clock, options)
        { }

        stage_reservations reservations;
        overload_order order;
        std::deque<recent_grant> grants; ///< the oldest first
    };

    [[nodiscard]] reservation_answer decide(pool_state &state, const pool_key &pool,
                                            reservation_sender sender,
                                            const reservation_query &query);
    void recordGrant(pool_state &state, reservation_sender sender, const reservation_query &query,
                     pool_time cost, const std::optional<used_turn> &turn) const;
    void release(pool_state &state, reservation_sender sender, reservation_id id) const;
    /// Returns the grant of a reservation if it is recent enough to be taken back.
    [[nodiscard]] std::deque<recent_grant>::iterator
    findGrant(pool_state &state, reservation_sender sender, reservation_id id) const;
    /// Gives back to its customer the part of a grant whose pieces will not arrive.
    static void takeBack(pool_state &state, recent_grant &grant, std::uint32_t pieces);

    const clock_source &m_clock;
    estimate_function m_estimate;
    overload_order::options m_orderOptions;
    decision_function m_onDecision;
    std::map<pool_key, pool_state> m_pools;
    std::map<service_id, admission_counts> m_counts; ///< without `held`
};

} // namespace orchidlead::gateway
