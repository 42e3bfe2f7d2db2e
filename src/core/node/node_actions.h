#pragma once

#include "core/once/at_most_once.h"
#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <variant>
#include <vector>

namespace orchidlead {

/// Action: hand a caller's request to the node that decides about its ticket or key. Ends with
/// `node::onForwardAnswer` or `node::onForwardFailed`.
struct forward_call
{
    request_id request;
    vm_id vm;
    socket_address address;
    payload body; ///< as the caller sent it
    steady_time deadline;
};

/// Action: tell the caller how its request ended, and count it. Exactly one for each request.
struct end_request
{
    final_answer answer;
    customer_id customer;
    pipeline_id pipeline;
    milliseconds elapsed{0}; ///< since it was read
};

/// What the request side of a node asks the shell to do.
using node_action = std::variant<send_attempt, cancel_attempt, end_request, deliver_chunk,
                                 log_decision, forward_call>;
using node_actions = std::vector<node_action>;

} // namespace orchidlead
