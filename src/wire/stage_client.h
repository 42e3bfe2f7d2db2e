#pragma once

#include "core/requests/engine_types.h"
#include "net/http_client.h"
#include "wire/completion_wire.h"
#include "wire/json_stage_wire.h"
#include "wire/stage_wire.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::wire {

/// Event: an attempt ended without a usable answer.
struct attempt_failed
{
    attempt_key key;
    backend_server_id server;
    attempt_failure failure = attempt_failure::Broken;
    std::optional<milliseconds> retryAfter; ///< as the backend server asked for
    std::string detail; ///< for people
};

/// Event: a part of a streamed answer.
struct attempt_chunk
{
    attempt_key key;
    std::string text;
};

/// What the client reports, never from within `send`, `cancel` or `setReading`. Each attempt ends
/// with one of `onAnswer` and `onFailure`, unless it is cancelled first.
struct stage_client_events
{
    /// From here on bytes may have left.
    std::function<void(const attempt_key &)> onSent;
    std::function<void(attempt_answer)> onAnswer;
    std::function<void(attempt_chunk)> onChunk;
    std::function<void(attempt_failed)> onFailure;
    std::function<void(load_report)> onLoad;
};

/// Bounds and margins of calls to backend servers.
struct stage_client_options
{
    milliseconds connectTimeout{500};
    /// Cut off the remaining time on top of what the engine has cut off already.
    milliseconds hopMargin{0};
    wire_bounds bounds;
};

/// Carries out the engine's `send_attempt` and `cancel_attempt`.
///
/// A call is made on time or not at all: the remaining time is checked when the call is composed
/// and again immediately before its first byte. Calls that may not be repeated get a fresh
/// connection, and `NotSent` is reported only when no byte can have left.
template <stage_wire PoolWire, stage_wire EngineWire>
class basic_stage_client
{
public:
    using dispatch_check = std::function<bool()>;

    basic_stage_client(net::event_loop &loop, net::http_client &client, const clock_source &clock,
                       stage_client_events events, stage_client_options options = {});
    ~basic_stage_client();
    basic_stage_client(const basic_stage_client &) = delete;
    basic_stage_client &operator=(const basic_stage_client &) = delete;

    /// Starts an attempt. `mayDispatch` is asked together with the deadline immediately before the
    /// first byte; false ends the attempt with `NotSent`.
    void send(const send_attempt &attempt, dispatch_check mayDispatch = {});

    /// Closes the attempt's connection; nothing of it is reported any more.
    void cancel(const attempt_key &key);

    /// Stops or goes on reading the answers to a request's attempts, for backpressure.
    void setReading(const request_id &request, bool reading);

    /// Attempts that haven't ended.
    [[nodiscard]] std::size_t inFlight() const { return m_calls.size(); }

private:
    struct call_state;
    using call_ptr = std::shared_ptr<call_state>;

    [[nodiscard]] net::http_call composeCall(const send_attempt &attempt, const call_ptr &call);
    [[nodiscard]] net::call_events listen(const call_ptr &call);
    [[nodiscard]] bool mayStillSend(const call_ptr &call);
    void onHead(const call_ptr &call, int status, const net::header_list &headers);
    void onBody(const call_ptr &call, std::string_view bytes);
    void onEnd(const call_ptr &call, net::call_end end);
    void onDecodeError(const call_ptr &call, wire_error error);
    void finishAnswer(const call_ptr &call);
    void finishRefusal(const call_ptr &call);
    void reportLoad(const call_ptr &call, const wire_load &load);
    void fail(const call_ptr &call, attempt_failure failure, std::string detail);
    void failLater(const call_ptr &call, attempt_failure failure, std::string detail);
    void abandon(const call_ptr &call, attempt_failure failure, std::string detail);

    net::event_loop &m_loop;
    net::http_client &m_client;
    const clock_source &m_clock;
    stage_client_events m_events;
    stage_client_options m_options;
    std::map<attempt_key, call_ptr> m_calls;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

using stage_client = basic_stage_client<json_stage_wire, completion_wire>;

extern template class basic_stage_client<json_stage_wire, completion_wire>;

} // namespace orchidlead::wire
