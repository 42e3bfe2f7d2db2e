#pragma once

#include "gateway/admission/customer_shares.h"
#include "gateway/admission/refusal_cause.h"
#include "gateway/admission/retry_turns.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <optional>

namespace orchidlead::gateway {

/// A request about which a pool decides.
struct overload_query
{
    request_digest request;
    customer_id customer;
    stage_rank rank;
    pool_time cost{0};
    milliseconds wait{0}; ///< until its pieces would begin behind all that was granted before
    milliseconds latestStart{0}; ///< time until they must begin
    milliseconds maxRetryAfter = milliseconds::max(); ///< longest one that the client follows
};

struct overload_answer
{
    refusal_cause cause = refusal_cause::None;
    milliseconds retryAfter{0}; ///< of a refused request
    bool turnHeld = false; ///< capacity is reserved for a refused request at that time
    std::optional<used_turn> usedTurn; ///< of a granted request

    [[nodiscard]] bool granted() const { return cause == refusal_cause::None; }
};

/// Decides which requests get the capacity of an overloaded pool, by the shares of customers and
/// the turns of refused requests. Does no I/O.
class overload_order
{
public:
    struct options
    {
        bool customerShares = true;
        bool retryTurns = true;

        [[nodiscard]] bool any() const { return customerShares || retryTurns; }
    };

    overload_order(const clock_source &clock, options enabled,
                   customer_shares::weight_function weightOf = {});

    [[nodiscard]] overload_answer decide(const overload_query &query);
    /// Takes back a grant, or the part of it whose pieces will not arrive.
    void onReleased(const customer_id &customer, const stage_rank &rank, pool_time cost);
    /// Gives back the turn that a grant used.
    void restoreTurn(const used_turn &turn) { m_turns.restore(turn); }
    void removeLapsed() { m_turns.removeLapsed(); }

    [[nodiscard]] const customer_shares &shares() const { return m_shares; }
    [[nodiscard]] const retry_turns &turns() const { return m_turns; }

private:
    [[nodiscard]] milliseconds reservedTime(const overload_query &query) const;
    [[nodiscard]] refusal_cause check(const overload_query &query);
    [[nodiscard]] overload_answer refuse(const overload_query &query, refusal_cause cause);

    const clock_source &m_clock;
    options m_enabled;
    customer_shares m_shares;
    retry_turns m_turns;
};

} // namespace orchidlead::gateway
