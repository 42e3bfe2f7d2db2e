#pragma once

#include "gateway/codec.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// What became of a client's request.
enum class request_outcome : std::uint8_t {
    Answered,
    Failed, ///< a server's own failure was passed on
    NoConfiguration, ///< this node knows none yet
    NoRoute,
    UnknownKey,
    PieceCounts, ///< don't fit the route's stages
    NoTime, ///< the client's patience was over when the request came
    NoServer,
    OutOfRegion, ///< no server can be reached in the regions where it may be worked on
    Evacuated, ///< operators have evacuated all data centres where it could be served
    ServersLeaving, ///< all servers that could have it end soon
    ServersBackedOff, ///< all that could have it asked this node, or the host of a stage, for time
    ServersLimited, ///< all that may be tried bear only so many requests, and have no room for it
    ServersFull, ///< all that may be tried refused it
    ServerFailed, ///< an answer didn't come, or was broken
    EndsServers, ///< servers ended under it or its repeats
    QueueTooLong, ///< what waits before it would make it late, so it was told at once
    StageLate, ///< its stages couldn't be done in time
    StageFailed,
    Timeout,
    ClientGone,
    Stopping, ///< the process ends before a server could have it
};

/// What a piece that can't be done makes of its request.
[[nodiscard]] constexpr request_outcome outcomeOf(piece_failure failure)
{
    switch (failure) {
    case piece_failure::Late:
        return request_outcome::StageLate;
    case piece_failure::Evacuated:
        return request_outcome::Evacuated;
    case piece_failure::ServersLeaving:
        return request_outcome::ServersLeaving;
    case piece_failure::ServersBackedOff:
        return request_outcome::ServersBackedOff;
    case piece_failure::InputGone:
    case piece_failure::NoRoom:
    case piece_failure::Error:
    case piece_failure::HostUnready:
    case piece_failure::Unreached:
        break;
    }
    return request_outcome::StageFailed;
}

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::request_outcome>{
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::Answered, "answered"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::Failed, "failed"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NoConfiguration, "no_configuration"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NoRoute, "no_route"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::UnknownKey, "unknown_key"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::PieceCounts, "piece_counts"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NoTime, "no_time"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NoServer, "no_server"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::OutOfRegion, "out_of_region"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::Evacuated, "evacuated"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersLeaving, "servers_leaving"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersBackedOff, "servers_backed_off"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersLimited, "servers_limited"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersFull, "servers_full"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServerFailed, "server_failed"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::EndsServers, "ends_servers"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::QueueTooLong, "queue_too_long"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::StageLate, "stage_late"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::StageFailed, "stage_failed"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::Timeout, "timeout"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ClientGone, "client_gone"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::Stopping, "stopping"},
};
