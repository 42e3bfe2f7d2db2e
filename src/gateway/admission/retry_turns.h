#pragma once

#include "gateway/admission/customer_shares.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/stages/decaying_rate.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace orchidlead::gateway {

/// A refused request that asks for a turn.
struct turn_query
{
    request_digest request;
    customer_id customer;
    stage_rank rank;
    pool_time cost{0};
    milliseconds wait{0}; ///< until there may be a place
    /// Pool time per second that the customer may have.
    double customerShare = customer_shares::NoLimit;
    /// Longest `Retry-After` that the client follows.
    milliseconds maxWait = milliseconds::max();
};

/// The answer to a refused request.
struct retry_turn
{
    milliseconds retryAfter{0}; ///< at most `retry_turns::MaxRetryAfter`
    bool held = false; ///< capacity is reserved for the request at that time
};

/// The turn of a refused request.
struct held_turn
{
    request_digest request;
    stage_rank rank;
    steady_time opensAt; ///< begin of its window
    steady_time at;
    pool_time cost;
};

/// A turn that ended as its request was granted.
struct used_turn
{
    held_turn turn;
    bool redeemed = false; ///< the request came within the window
};

/// Counts since the start.
struct turn_counts
{
    std::uint64_t given = 0;
    std::uint64_t redeemed = 0; ///< the request came within the window of its turn
    std::uint64_t lapsed = 0; ///< the request didn't come
    std::uint64_t evicted = 0; ///< removed for a newer turn

    turn_counts &operator+=(const turn_counts &other)
    {
        given += other.given;
        redeemed += other.redeemed;
        lapsed += other.lapsed;
        evicted += other.evicted;
        return *this;
    }
};

/// Turns of the pools of one service.
struct turn_summary
{
    std::size_t held = 0;
    turn_counts counts;
};

/// Gives refused requests a time at which to return, and reserves capacity for them then. Does no
/// I/O.
///
/// Turns of a rank are spread over time at half of the rate at which the pool serves the rank, and
/// turns of a customer at half of its share. The other half is left to new arrivals.
class retry_turns
{
public:
    /// Turns held at most; one takes about 300 bytes. More than a pool of 230 pieces per second
    /// serves in the longest retry time.
    static constexpr std::size_t MaxTurns = 4096;
    /// Upper bound for the retry time given to a client: capacity changes within seconds.
    static constexpr milliseconds MaxRetryAfter{5000};
    /// Lower bound for that time. A request that returns sooner finds the same queue.
    static constexpr milliseconds MinRetryAfter{50};
    /// A turn is redeemed this long before its time at the earliest, and not before half of the
    /// wait has passed, so that a return at once is never in time. Clients round their timers.
    static constexpr milliseconds MaxEarly{300};
    /// A turn is redeemed this long after its time at the latest. Clients add a random delay, and
    /// may have to connect again.
    static constexpr milliseconds MaxLate{1000};

    explicit retry_turns(const clock_source &clock);

    /// Records what the pool granted; a negative cost takes back a grant that was not used.
    void onGranted(const stage_rank &rank, pool_time cost);
    /// Gives a turn to a refused request. A request that has one whose time is ahead keeps it. If
    /// no turn is free that its client would follow, none is given, and `retryAfter` is the time
    /// until there may be one. A request that returned at its turn and is refused nevertheless gets
    /// a new turn ahead of others.
    [[nodiscard]] retry_turn grant(const turn_query &query);
    /// Returns whether a request has a turn whose window has not begun.
    [[nodiscard]] bool isEarly(const request_digest &request) const;
    /// Returns whether a request has a turn and the current time is in its window.
    [[nodiscard]] bool isInWindow(const request_digest &request) const;
    /// Ends the turn of a request that returned within its window and was granted, or refused after
    /// the time of its turn. Returns whether there was one.
    bool redeem(const request_digest &request);
    /// Ends the turn of a request that is granted, whether it came early or within its window.
    /// Returns the turn if there was one.
    std::optional<used_turn> take(const request_digest &request);
    /// Gives back a turn, with its time and its capacity, as the grant was not used. Not restored:
    /// a turn whose window has passed, that of a request with a newer one, and one for which there
    /// is no space, as the oldest turns are evicted first.
    void restore(const used_turn &used);
    /// Returns the cost of turns of this or a more urgent rank that fall due before a given time.
    [[nodiscard]] pool_time costDueBefore(const stage_rank &rank, steady_time before) const;
    /// Removes turns whose window has passed.
    void removeLapsed();

    [[nodiscard]] std::size_t size() const { return m_turns.size(); }
    [[nodiscard]] const turn_counts &counts() const { return m_counts; }

private:
    using turn_list = std::list<held_turn>;
    using due_key = std::pair<steady_time, request_digest>;
    using bucket = std::int64_t; ///< a period of the steady clock
    struct rank_state
    {
        decaying_rate served;
        std::map<bucket, double> reserved; ///< pool time of turns
        std::map<due_key, pool_time> due;
        std::unordered_map<customer_id, steady_time> nextOfCustomer; ///< earliest time of its turn
    };

    [[nodiscard]] double turnRate(const rank_state &state) const;
    [[nodiscard]] steady_time timeFor(rank_state &state, const turn_query &query,
                                      bool returned) const;
    [[nodiscard]] steady_time findTime(rank_state &state, steady_time earliest) const;
    void reserve(rank_state &state, const turn_query &query, steady_time at);
    void add(const turn_query &query, steady_time at);
    void insert(turn_list::const_iterator before, const held_turn &each);
    void remove(turn_list::iterator each);
    void forgetCustomers();

    const clock_source &m_clock;
    turn_list m_turns; ///< the oldest first
    std::unordered_map<request_digest, turn_list::iterator> m_byRequest;
    std::set<due_key> m_byTime;
    std::map<stage_rank, rank_state> m_ranks;
    steady_time m_customersForgottenAt{};
    turn_counts m_counts;
};

} // namespace orchidlead::gateway
