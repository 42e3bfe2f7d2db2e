#pragma once

#include "core/configuration/pipeline.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <optional>
#include <string>

namespace orchidlead {

/// A caller's request. Its syntax was checked, but not yet its agreement with the configuration.
struct caller_request
{
    customer_id customer;
    pipeline_id pipeline;
    payload input; ///< JSON value, as the caller wrote it
    payload body; ///< the whole request, for forwarding to another node; only if `hasTicketOrKey`
    std::optional<milliseconds> deadline; ///< since the request was read; default: the pipeline's
    std::optional<bool> repeatable; ///< false: at most once, even if the stages are repeatable
    std::optional<std::string> ticket;
    std::optional<std::string> idempotencyKey;
    bool stream = false;
    vm_id forwardedBy; ///< the forwarding node; empty if received from a caller

    /// Whether the request has an identifier by which copies of it are detected.
    [[nodiscard]] bool hasTicketOrKey() const { return ticket || idempotencyKey; }
};

} // namespace orchidlead
