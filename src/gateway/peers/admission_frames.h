#pragma once

#include "gateway/admission/stage_reservations.h"
#include "gateway/servers/pool_key.h"

#include <cstdint>
#include <optional>

/// Frames about the admission of requests to stage pools.
namespace orchidlead::gateway {

/// Asks the receiver, which hosts the pool, to reserve places for the pieces of a request.
struct reserve_stage_frame
{
    pool_key pool;
    reservation_query query; ///< `query.id` is chosen by the sender
};

/// Answers a `reserve_stage_frame`.
struct stage_reserved_frame
{
    reservation_id id = 0; ///< chosen by the receiver
    reservation_answer answer;
};

/// Releases what is left of a reservation of the sender.
struct release_reservation_frame
{
    reservation_id id = 0; ///< chosen by the sender
    /// Whose pieces go to another pool; empty: all stages, as the request doesn't go on.
    std::optional<std::uint32_t> stage = std::nullopt;
};

} // namespace orchidlead::gateway
