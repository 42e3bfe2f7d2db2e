#pragma once

#include "gateway/admission/refusal_cause.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Longest time in a query for a reservation and its answer. Adding longer ones to the time of now
/// could overflow, so nodes reject them.
inline constexpr milliseconds MaxReservationTime{std::chrono::hours{1}};
/// Margin of pieces that wait, in full calls. The wait estimate of a pool includes neither the rest
/// of the calls in progress, half a call on average, nor pieces that come without a reservation.
inline constexpr double MarginCalls = 1.0;

/// Identifies a reservation to its sender.
using reservation_id = std::uint64_t;
/// Identifies the sender of reservations at their host: a link, or null for the host itself.
using reservation_sender = const void *;

/// The pieces of one stage for which a place is wanted.
struct reserved_stage
{
    std::uint32_t stage = 0;
    std::uint32_t pieces = 0;
    std::uint64_t resultBytes = 0; ///< approximate, of the result of one piece
    milliseconds startsIn{0}; ///< expected time until the pieces arrive
    milliseconds latestStart{0}; ///< time until the last moment at which they may begin
};

/// Asks whether the pieces that a request has for one pool can begin in time.
struct reservation_query
{
    reservation_id id = 0; ///< unique for its sender
    std::string attempt; ///< ID of the request's attempt, as in its pieces
    request_digest digest; ///< the same for each retry of the request
    customer_id customer; ///< empty: none
    stage_rank rank;
    std::vector<reserved_stage> stages; ///< several if one service runs several stages
    /// Longest `Retry-After` that the client follows.
    milliseconds maxRetryAfter{std::chrono::seconds{5}};
};

/// The load and the speed of a pool, as its reservations are decided by.
struct pool_estimate
{
    milliseconds wait{0}; ///< of a new piece of the rank, behind the waiting pieces
    std::size_t waiting = 0; ///< pieces in the pool's queue
    double piecesPerSecond = 0; ///< of the rank, in full calls; 0: the pool gets no work now
    double bytesPerSecond = 0; ///< of results that the servers have room for; 0: no limit
    milliseconds callTime{0}; ///< of a full call
};

/// Whether a place was reserved.
struct reservation_answer
{
    bool granted = true;
    /// Expected, of the pieces after their arrival; with the margin if anything is ahead, so that
    /// its receivers ask before they send more pieces.
    milliseconds wait{0};
    milliseconds retryAfter{0}; ///< if refused: when a repeat of the query would get a place
    std::uint32_t waitingAhead = 0; ///< pieces that waited in the pool's queue
    std::uint32_t reservedAhead = 0; ///< pieces that were reserved, had not arrived and go first
    refusal_cause cause = refusal_cause::None;
    bool turnHeld = false; ///< if refused: capacity is reserved for the request at `retryAfter`
    /// The host knows the load of the pool. If not, nothing is reserved and all other fields are
    /// without meaning; the sender decides by its own estimate.
    bool decided = true;
};

/// The places that requests have reserved in the queue of one pool for pieces that have not arrived
/// yet, and the decision on new ones.
///
/// A grant means that the pieces can begin by their `latestStart`, unless more urgent work comes.
/// Pieces consume their reservation when they arrive. A reservation lapses when its pieces are
/// overdue, so that nothing is held for a sender that failed.
class stage_reservations
{
public:
    explicit stage_reservations(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Returns whether the pieces can begin in time behind the pieces of the pool and what is
    /// reserved. `pool` has one estimate for each stage of the query, for results of its size.
    [[nodiscard]] reservation_answer evaluate(const reservation_query &query,
                                              const std::vector<pool_estimate> &pool);
    /// Reserves places. Does nothing if there are too many reservations.
    void reserve(reservation_sender sender, const reservation_query &query);
    /// Consumes the reservation of a piece that arrived; returns whether there was one.
    bool onPieceArrived(const std::string &attempt, std::uint32_t stage);
    /// Releases what is left of a reservation, or of one stage of it. Returns how many pieces that
    /// were.
    std::uint32_t release(reservation_sender sender, reservation_id id,
                          std::optional<std::uint32_t> stage = std::nullopt);
    /// Releases all reservations of a sender.
    void releaseAll(reservation_sender sender);
    /// Returns the number of pieces that are reserved and have not arrived.
    [[nodiscard]] std::size_t reservedPieces();

private:
    /// The pieces of one stage of a request.
    struct reservation
    {
        reservation_sender sender = nullptr;
        reservation_id id = 0;
        std::string attempt;
        std::uint32_t stage = 0;
        std::uint32_t pieces = 0; ///< that have not arrived
        std::uint64_t resultBytes = 0; ///< of one piece
        stage_rank rank;
        steady_time due; ///< expected arrival
        steady_time latestStart;
    };

    [[nodiscard]] reservation_answer evaluateStage(const reserved_stage &wanted,
                                                   const stage_rank &rank,
                                                   const pool_estimate &pool) const;
    void dropLapsed();

    const clock_source &m_clock;
    std::vector<reservation> m_reservations; ///< ordered by `due`
};

} // namespace orchidlead::gateway
