#pragma once

#include "gateway/codec.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// The outcome of a client request.
enum class request_outcome : std::uint8_t {
    Answered,
    Failed, ///< an error answer of a server was forwarded
    NoConfiguration, ///< this node has not received one yet
    NoRoute,
    UnknownKey,
    InvalidPieceCounts, ///< the numbers of pieces do not match the route's stages
    DeadlineExpired, ///< the client's timeout had passed when the request arrived
    NoServer,
    NoServerInRegion, ///< no reachable server in the regions where the request may be processed
    Evacuated, ///< operators have evacuated all data centres that could serve the request
    NoServerOfVersion, ///< no server is left of the software version that began the stream
    OriginUnknown, ///< it isn't known which of several versions began the stream
    ServersLeaving, ///< all eligible servers are about to shut down
    ServersBackingOff, ///< all eligible servers asked this node or a stage's host to back off
    ServersLimited, ///< all servers that may be tried are at their rate limit
    ServersFull, ///< all servers that may be tried refused the request
    ServerFailed, ///< the answer was missing or broken
    CrashesServers, ///< servers crashed during the request or its repeats
    QueueTooLong, ///< refused at once, because queued requests ahead of it would make it late
    NotAdmitted, ///< the hosts of its stages refused to reserve places for its pieces
    StageLate, ///< the stages could not be completed in time
    StageFailed,
    Timeout,
    ClientGone,
    Stopping, ///< this process stops before the request can be answered
};

/// Returns the outcome of a request with a piece that failed.
[[nodiscard]] constexpr request_outcome outcomeOf(piece_failure failure)
{
    switch (failure) {
    case piece_failure::Late:
        return request_outcome::StageLate;
    case piece_failure::Evacuated:
        return request_outcome::Evacuated;
    case piece_failure::ServersLeaving:
    case piece_failure::NoServerOfVersion:
        return request_outcome::ServersLeaving;
    case piece_failure::ServersBackingOff:
        return request_outcome::ServersBackingOff;
    case piece_failure::InputGone:
    case piece_failure::NoRoom:
    case piece_failure::Error:
    case piece_failure::HostNotReady:
    case piece_failure::ServersUnreachable:
    case piece_failure::Redirected:
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
        orchidlead::gateway::request_outcome::InvalidPieceCounts, "piece_counts"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::DeadlineExpired, "no_time"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NoServer, "no_server"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NoServerInRegion, "out_of_region"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::Evacuated, "evacuated"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NoServerOfVersion, "no_server_of_version"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::OriginUnknown, "origin_unknown"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersLeaving, "servers_leaving"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersBackingOff, "servers_backed_off"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersLimited, "servers_limited"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServersFull, "servers_full"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::ServerFailed, "server_failed"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::CrashesServers, "ends_servers"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::QueueTooLong, "queue_too_long"},
    orchidlead::enum_name<orchidlead::gateway::request_outcome>{
        orchidlead::gateway::request_outcome::NotAdmitted, "not_admitted"},
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
