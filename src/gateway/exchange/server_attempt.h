#pragma once

#include "gateway/codec.h"
#include "gateway/exchange/abandon_cause.h"
#include "gateway/exchange/event_splitter.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/placement/request_placer.h"
#include "gateway/servers/server_directory.h"
#include "gateway/servers/server_transport.h"
#include "http/head.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace orchidlead::gateway {

/// How the answer of an attempt is forwarded.
enum class forwarding_mode : std::uint8_t {
    Nothing, ///< no head yet, or one that is not forwarded
    Buffered, ///< held until complete
    Bytes, ///< as they arrive
    Events, ///< complete events, as they arrive
};

/// The state of one attempt of a request at a server.
struct server_attempt
{
    std::uint64_t id = 0; ///< unique in its request; 0: not sent
    server_ptr server;
    server_transport::call_id call = 0; ///< 0: none
    placement_id placement = 0; ///< of this attempt, or of its admission
    bool sent = false; ///< bytes of the request were sent
    std::size_t triedServers = 0; ///< of its request when the server was found to be silent
    bool readingPaused = false; ///< its bytes aren't read, since the client reads slowly
    steady_time startedAt{};
    steady_time lastBytesAt{}; ///< of the answer; before these, when the request was sent
    std::optional<steady_time> answerStartedAt;
    std::optional<abandon_cause> abandonedFor; ///< if this node has stopped waiting for it
    bool partsReported = false; ///< `reportPartsServed` was called for the answer
    forwarding_mode forwarding = forwarding_mode::Nothing;
    http::response_head answer;
    response_metadata metadata;
    std::string bufferedAnswer;
    std::size_t discardedBytes = 0; ///< of an answer that is not forwarded
    event_splitter splitter{MaxEventBytes};
};

} // namespace orchidlead::gateway
