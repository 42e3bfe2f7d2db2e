#pragma once

#include "gateway/admission/stage_reservations.h"
#include "gateway/servers/pool_key.h"

#include <cstdint>
#include <functional>
#include <map>
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

    explicit stage_admission(const clock_source &clock)
        : m_clock(clock)
    { }

    void setEstimate(estimate_function estimate) { m_estimate = std::move(estimate); }

    /// Decides on a query, and reserves its places if they are granted.
    [[nodiscard]] reservation_answer onQuery(reservation_sender sender, const pool_key &pool,
                                             const reservation_query &query);
    /// Returns whether a piece that arrived at a pool had a reservation, and consumes it.
    bool onPieceArrived(const pool_key &pool, const std::string &attempt, std::uint32_t stage);
    void release(reservation_sender sender, reservation_id id);
    /// Releases all reservations of a sender, which ended.
    void releaseAll(reservation_sender sender);
    [[nodiscard]] std::map<service_id, admission_counts> counts();

private:
    [[nodiscard]] reservation_answer decide(stage_reservations &reservations, const pool_key &pool,
                                            const reservation_query &query);

    const clock_source &m_clock;
    estimate_function m_estimate;
    std::map<pool_key, stage_reservations> m_pools;
    std::map<service_id, admission_counts> m_counts; ///< without `held`
};

} // namespace orchidlead::gateway
