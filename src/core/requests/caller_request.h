#pragma once

#include "core/configuration/pipeline.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <optional>
#include <string>

namespace orchidlead {

/// What a caller asked for, checked in form but not yet against the configuration.
struct caller_request
{
    customer_id customer;
    pipeline_id pipeline;
    payload input; ///< JSON value, as the caller wrote it
    payload body; ///< the whole request, to be handed to another node; only where `named`
    std::optional<milliseconds> deadline; ///< from when it was read; absent: the pipeline's
    std::optional<bool> repeatable; ///< false: at most once, whatever the stages say
    std::optional<std::string> ticket;
    std::optional<std::string> idempotencyKey;
    bool stream = false;
    vm_id forwardedBy; ///< the node that handed it on; empty: it came from a caller

    /// Tells whether other copies of the request may be recognised as such.
    [[nodiscard]] bool named() const { return ticket || idempotencyKey; }
};

} // namespace orchidlead
