#pragma once

#include "core/configuration/pipeline.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/outcome.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between the request engine, which makes decisions, and the I/O layer, which executes
/// them.
namespace orchidlead {

/// A request that has passed the caller API and the at-most-once check.
struct pipeline_request
{
    request_id id;
    std::shared_ptr<const pipeline_plan> plan;
    payload input; ///< JSON value, as text
    steady_time deadline;
    bool stream = false; ///< deliver the last stage's tokens as they arrive
};

/// The output of an earlier stage as input of a later one.
struct stage_input
{
    stage_id stage;
    payload output; ///< JSON value, as text
};

/// Action: send one attempt to a backend server.
struct send_attempt
{
    attempt_key key;
    stage_plan stage;
    customer_id customer;
    orchidlead::priority priority = priority::Normal;
    backend_server_id server;
    socket_address address;
    payload input;
    std::vector<stage_input> previous;
    steady_time deadline; ///< checked again by the I/O layer immediately before sending
    bool stream = false;
};

/// Action: cancel an attempt. Later events of the attempt are ignored.
struct cancel_attempt
{
    attempt_key key;
    backend_server_id server;
};

/// How one stage of a request ran. Part of the caller's answer and of `orchidctl trace`.
struct stage_report
{
    stage_id stage;
    backend_server_id server; ///< of the attempt whose answer was used, or of the last attempt
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
    milliseconds queued{0};
    milliseconds elapsed{0};
    milliseconds busy{0}; ///< backend server time of all attempts
    std::uint64_t tokens = 0;
    bool finished = false;
};

/// The end of a request.
struct final_answer
{
    request_id request;
    orchidlead::outcome outcome = outcome::NotRun;
    refusal_reason reason = refusal_reason::None;
    std::string detail; ///< human-readable
    payload output; ///< JSON value; only with `Answered`
    std::optional<milliseconds> retryAfter;
    std::vector<stage_report> stages;
};

/// Action: deliver the final answer to the caller. Exactly one for each request.
struct deliver_answer
{
    final_answer answer;
};

/// Action: deliver a chunk of a streamed answer to the caller.
struct deliver_chunk
{
    request_id request;
    std::string text;
};

enum class decision_kind { Admit, Refuse, Route, Retry, Hedge, Cancel, Drop, Eject, Restore };

template <>
inline constexpr std::array enumNames<decision_kind>{
    enum_name<decision_kind>{decision_kind::Admit, "admit"},
    enum_name<decision_kind>{decision_kind::Refuse, "refuse"},
    enum_name<decision_kind>{decision_kind::Route, "route"},
    enum_name<decision_kind>{decision_kind::Retry, "retry"},
    enum_name<decision_kind>{decision_kind::Hedge, "hedge"},
    enum_name<decision_kind>{decision_kind::Cancel, "cancel"},
    enum_name<decision_kind>{decision_kind::Drop, "drop"},
    enum_name<decision_kind>{decision_kind::Eject, "eject"},
    enum_name<decision_kind>{decision_kind::Restore, "restore"},
};

/// Action: write a line to the decision log.
struct log_decision
{
    decision_kind kind = decision_kind::Route;
    attempt_key key;
    customer_id customer;
    stage_id stage;
    std::vector<backend_server_id> candidates;
    backend_server_id chosen;
    std::string reason;
    milliseconds remaining{0};
};

using engine_action =
    std::variant<send_attempt, cancel_attempt, deliver_answer, deliver_chunk, log_decision>;

/// The actions that result from one event, in order.
using engine_actions = std::vector<engine_action>;

/// How an attempt ended without a usable answer.
enum class attempt_failure {
    NotSent, ///< no byte was sent: connection refused, or the check before sending failed
    Refused, ///< the backend server reported that the call was not run (HTTP 429 or 503)
    Leaving, ///< as `Refused`, and the server reported that it is leaving
    Broken, ///< bytes were sent, but no complete answer was received
    TimedOut,
    BadAnswer, ///< malformed, or belongs to another request
    ServerError, ///< any other HTTP 4xx or 5xx; the call may have run
};

template <>
inline constexpr std::array enumNames<attempt_failure>{
    enum_name<attempt_failure>{attempt_failure::NotSent, "not_sent"},
    enum_name<attempt_failure>{attempt_failure::Refused, "refused"},
    enum_name<attempt_failure>{attempt_failure::Leaving, "leaving"},
    enum_name<attempt_failure>{attempt_failure::Broken, "broken"},
    enum_name<attempt_failure>{attempt_failure::TimedOut, "timed_out"},
    enum_name<attempt_failure>{attempt_failure::BadAnswer, "bad_answer"},
    enum_name<attempt_failure>{attempt_failure::ServerError, "server_error"},
};

/// Event: the complete answer to an attempt arrived. `echoed` is the key stated in the answer.
struct attempt_answer
{
    attempt_key key;
    attempt_key echoed;
    payload output; ///< JSON value
    std::uint64_t tokens = 0;
    milliseconds busy{0}; ///< as reported by the backend server; 0 if not reported
};

/// Event: a load report of a backend server. It lags behind the actual load.
struct load_report
{
    backend_server_id server;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool leaving = false;
};

} // namespace orchidlead
