#pragma once

#include <cstdint>

/// Kinds of peer frames, for their codecs only.
namespace orchidlead::gateway {

/// Type of a frame; part of the wire format.
enum class frame_kind : std::uint8_t {
    SubmitPiece = 1,
    CancelPiece = 2,
    PieceOutcome = 3,
    Ping = 4,
    Pong = 5,
    PublicationRequest = 6,
    Publication = 7,
    FreeResults = 8,
    Place = 9,
    Placed = 10,
    PlacementProgress = 11,
    Follow = 12,
    ConfigurationRequest = 13,
    Configuration = 14,
    ListDigest = 15,
    ServerCrashes = 16,
    Quarantine = 17,
    TrialRequest = 18,
    TrialAnswer = 19,
    TrialEnd = 20,
    AdmissionRequest = 21,
    AdmissionAnswer = 22,
    RateLimits = 23,
    LeavingServers = 24,
    Compressed = 25, ///< wraps another frame
    LostDataCenter = 26,
    BrittleServers = 27,
    StreamOrigins = 28,
    StreamOriginQuery = 29,
    StreamOriginAnswer = 30,
    ReserveStage = 31,
    StageReserved = 32,
    ReleaseReservation = 33,
    PoolLoad = 34,
    BoardState = 35,
};

} // namespace orchidlead::gateway
