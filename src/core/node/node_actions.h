#pragma once

#include "core/once/at_most_once.h"
#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <variant>
#include <vector>

namespace orchidlead {

/// Action: forward a caller's request to the node that decides about its ticket or key. Either
/// `node::onForwardAnswer` or `node::onForwardFailed` must follow.
struct forward_call
{
    request_id request;
    vm_id vm;
    socket_address address;
    payload body; ///< as the caller sent it
    steady_time deadline;
};

/// Action: send the answer of a request to its caller, and count it. Exactly one for each request.
struct end_request
{
    final_answer answer;
    customer_id customer;
    pipeline_id pipeline;
    milliseconds elapsed{0}; ///< since `node::submit`
};

/// An action of `node`, to be carried out by its caller.
using node_action = std::variant<send_attempt, cancel_attempt, end_request, deliver_chunk,
                                 log_decision, forward_call>;
using node_actions = std::vector<node_action>;

} // namespace orchidlead
