#pragma once

#include "gateway/admission/customer_shares.h"
#include "gateway/admission/retry_turns.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// Why a pool refused a request.
enum class refusal_cause : std::uint8_t {
    None, ///< not refused
    Late, ///< its pieces can't begin in time
    OverShare, ///< its customer was granted more than its share
    Turn, ///< capacity is reserved for turns, or the request came before its own turn
};

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
    };

    overload_order(const clock_source &clock, options enabled,
                   customer_shares::weight_function weightOf = {});

    [[nodiscard]] overload_answer decide(const overload_query &query);
    /// Takes back a grant whose pieces will not arrive, as another pool refused the request.
    void onReleased(const customer_id &customer, const stage_rank &rank, pool_time cost);

    [[nodiscard]] const customer_shares &shares() const { return m_shares; }
    [[nodiscard]] const retry_turns &turns() const { return m_turns; }

private:
    [[nodiscard]] milliseconds reservedTime(const overload_query &query) const;
    [[nodiscard]] refusal_cause check(const overload_query &query, bool redeemed);
    [[nodiscard]] overload_answer refuse(const overload_query &query, refusal_cause cause,
                                         bool redeemed);

    const clock_source &m_clock;
    options m_enabled;
    customer_shares m_shares;
    retry_turns m_turns;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::refusal_cause>{
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::None, "none"},
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::Late, "late"},
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::OverShare, "over_share"},
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::Turn, "turn"},
};
