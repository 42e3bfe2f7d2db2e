#pragma once

#include "core/pipeline.h"

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
    std::optional<milliseconds>
        deadline; ///< from when the request was read; absent: the pipeline's
    std::optional<bool> repeatable; ///< false: at most once, whatever the stages say
    std::optional<std::string> ticket;
    std::optional<std::string> idempotencyKey;
    bool stream = false;
};

} // namespace orchidlead
