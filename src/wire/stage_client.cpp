#include "wire/stage_client.h"

#include "wire/attempt_header.h"
#include "wire/retry_after.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace orchidlead::wire {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr std::size_t MaxRefusalBytes = 4096;

bool saysNotRun(int status)
{
    return status == StatusTooManyRequests || status == StatusUnavailable;
}

bool saysLeaving(int status, std::string_view body)
{
    if (status != StatusUnavailable)
        return false;
    const auto parsed = parseJson(body);
    return parsed && stringMember(parsed.value(), "error") == "leaving";
}

attempt_failure failureOf(net::call_end end, bool sent)
{
    if (!sent)
        return attempt_failure::NotSent;
    switch (end) {
    case net::call_end::TimedOut:
        return attempt_failure::TimedOut;
    case net::call_end::TooLarge:
        return attempt_failure::BadAnswer;
    case net::call_end::Complete:
    case net::call_end::NotSent:
    case net::call_end::Broken:
        break;
    }
    return attempt_failure::Broken;
}

} // namespace

template <stage_wire PoolWire, stage_wire EngineWire>
struct basic_stage_client<PoolWire, EngineWire>::call_state
{
    using decoder = std::variant<typename PoolWire::decoder, typename EngineWire::decoder>;

    call_state(const send_attempt &attempt, dispatch_check check, const wire_bounds &bounds)
        : key(attempt.key)
        , server(attempt.server)
        , deadline(attempt.deadline)
        , mayDispatch(std::move(check))
        , reader(makeDecoder(attempt, bounds))
    { }

    static decoder makeDecoder(const send_attempt &attempt, const wire_bounds &bounds)
    {
        if (attempt.stage.kind == service_kind::Engine)
            return typename EngineWire::decoder{attempt, bounds};
        return typename PoolWire::decoder{attempt, bounds};
    }

    result<wire_progress, wire_error> feed(std::string_view bytes)
    {
        return std::visit([&](auto &each) { return each.feed(bytes); }, reader);
    }

    result<wire_answer, wire_error> finish()
    {
        return std::visit([](auto &each) { return each.finish(); }, reader);
    }

    attempt_key key;
    backend_server_id server;
    steady_time deadline;
    dispatch_check mayDispatch;
    decoder reader;
    net::call_id call = 0;
    bool sent = false; ///< bytes may have left
    bool ended = false; ///< its end was reported, or it was cancelled
    int status = 0;
    std::optional<milliseconds> retryAfter;
    std::string refusal; ///< start of the body of an answer other than 200
};

template <stage_wire PoolWire, stage_wire EngineWire>
basic_stage_client<PoolWire, EngineWire>::basic_stage_client(net::event_loop &loop,
                                                             net::http_client &client,
                                                             const clock_source &clock,
                                                             stage_client_events events,
                                                             stage_client_options options)
    : m_loop(loop)
    , m_client(client)
    , m_clock(clock)
    , m_events(std::move(events))
    , m_options(options)
{ }

template <stage_wire PoolWire, stage_wire EngineWire>
basic_stage_client<PoolWire, EngineWire>::~basic_stage_client()
{
    for (const auto &[key, call] : m_calls) {
        call->ended = true;
        m_client.cancel(call->call);
    }
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::send(const send_attempt &attempt,
                                                    dispatch_check mayDispatch)
{
    auto call = std::make_shared<call_state>(attempt, std::move(mayDispatch), m_options.bounds);
    const auto [at, inserted] = m_calls.emplace(attempt.key, call);
    if (!inserted)
        return; // the attempt is already in flight: it must not be sent twice
    if (attempt.deadline - m_clock.now() <= m_options.hopMargin) {
        failLater(call, attempt_failure::NotSent, "deadline passed before the call");
        return;
    }
    call->call = m_client.start(composeCall(attempt, call), listen(call));
}

template <stage_wire PoolWire, stage_wire EngineWire>
net::http_call basic_stage_client<PoolWire, EngineWire>::composeCall(const send_attempt &attempt,
                                                                     const call_ptr &call)
{
    auto remaining = std::chrono::duration_cast<milliseconds>(attempt.deadline - m_clock.now())
        - m_options.hopMargin;
    if (attempt.stage.timeout > milliseconds{0})
        remaining = std::min(remaining, attempt.stage.timeout);
    remaining = std::max(remaining, milliseconds{1});

    net::http_call http;
    http.address = attempt.address;
    http.path = attempt.stage.path;
    http.headers = {{"content-type", "application/json"},
                    {std::string{AttemptHeaderName}, formatAttemptKey(attempt.key)}};
    http.body = attempt.stage.kind == service_kind::Engine
        ? EngineWire::composeBody(attempt, remaining)
        : PoolWire::composeBody(attempt, remaining);
    http.connectTimeout = std::min(m_options.connectTimeout, remaining);
    http.timeout = remaining;
    http.maxResponseBytes = m_options.bounds.json.maxBytes;
    http.reuseConnection = attempt.stage.repeatable;
    http.mayStillSend = [this, call] { return mayStillSend(call); };
    return http;
}

template <stage_wire PoolWire, stage_wire EngineWire>
net::call_events basic_stage_client<PoolWire, EngineWire>::listen(const call_ptr &call)
{
    net::call_events events;
    events.onHead = [this, call](int status, const net::header_list &headers) {
        onHead(call, status, headers);
    };
    events.onBody = [this, call](std::string_view bytes) { onBody(call, bytes); };
    events.onEnd = [this, call](net::call_end end) { onEnd(call, end); };
    return events;
}

// The caller's check comes last, so that a permission that it takes (a ticket's one dispatch) is
// taken only when the bytes really go.
template <stage_wire PoolWire, stage_wire EngineWire>
bool basic_stage_client<PoolWire, EngineWire>::mayStillSend(const call_ptr &call)
{
    if (call->ended || call->deadline - m_clock.now() <= m_options.hopMargin)
        return false;
    if (call->mayDispatch && !call->mayDispatch())
        return false;
    call->sent = true;
    if (m_events.onSent)
        m_events.onSent(call->key);
    return true;
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::onHead(const call_ptr &call, int status,
                                                      const net::header_list &headers)
{
    call->status = status;
    call->retryAfter = parseRetryAfter(headers);
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::onBody(const call_ptr &call, std::string_view bytes)
{
    if (call->ended)
        return;
    if (call->status != StatusOk) {
        const std::size_t room = MaxRefusalBytes - call->refusal.size();
        call->refusal += bytes.substr(0, room);
        return;
    }
    auto progress = call->feed(bytes);
    if (!progress) {
        onDecodeError(call, progress.error());
        return;
    }
    for (auto &text : progress.value().chunks) {
        if (!call->ended && m_events.onChunk)
            m_events.onChunk({call->key, std::move(text)});
    }
    if (progress.value().whole && !call->ended)
        finishAnswer(call);
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::onEnd(const call_ptr &call, net::call_end end)
{
    if (call->ended)
        return;
    if (end != net::call_end::Complete) {
        failLater(call, failureOf(end, call->sent), std::string{toName(end)});
        return;
    }
    if (call->status == StatusOk)
        finishAnswer(call);
    else
        finishRefusal(call);
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::onDecodeError(const call_ptr &call, wire_error error)
{
    const auto failure =
        error == wire_error::Incomplete ? attempt_failure::Broken : attempt_failure::BadAnswer;
    abandon(call, failure, std::string{toName(error)});
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::finishAnswer(const call_ptr &call)
{
    auto decoded = call->finish();
    if (!decoded) {
        onDecodeError(call, decoded.error());
        return;
    }
    wire_answer &answer = decoded.value();
    call->ended = true;
    m_calls.erase(call->key);
    if (answer.load)
        reportLoad(call, *answer.load);
    if (!m_events.onAnswer)
        return;
    attempt_answer event;
    event.key = call->key;
    event.echoed = std::move(answer.echoed);
    event.output = std::make_shared<const std::string>(std::move(answer.output));
    event.tokens = answer.tokens;
    event.busy = answer.busy;
    m_events.onAnswer(std::move(event));
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::finishRefusal(const call_ptr &call)
{
    const std::string detail = "status " + std::to_string(call->status);
    if (!saysNotRun(call->status))
        fail(call, attempt_failure::ServerError, detail);
    else if (saysLeaving(call->status, call->refusal))
        fail(call, attempt_failure::Leaving, detail);
    else
        fail(call, attempt_failure::Refused, detail);
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::reportLoad(const call_ptr &call,
                                                          const wire_load &load)
{
    if (!m_events.onLoad)
        return;
    m_events.onLoad({call->server, load.running, load.queued, load.leaving});
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::fail(const call_ptr &call, attempt_failure failure,
                                                    std::string detail)
{
    if (call->ended)
        return;
    call->ended = true;
    m_calls.erase(call->key);
    if (m_events.onFailure)
        m_events.onFailure({call->key, call->server, failure, call->retryAfter, std::move(detail)});
}

// The engine must not hear of an end while it is still handing out the action that began the call.
template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::failLater(const call_ptr &call,
                                                         attempt_failure failure,
                                                         std::string detail)
{
    m_loop.post([this, call, failure, detail = std::move(detail),
                 alive = std::weak_ptr<int>{m_alive}]() mutable {
        if (!alive.expired())
            fail(call, failure, std::move(detail));
    });
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::abandon(const call_ptr &call,
                                                       attempt_failure failure, std::string detail)
{
    m_client.cancel(call->call);
    fail(call, failure, std::move(detail));
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::cancel(const attempt_key &key)
{
    const auto at = m_calls.find(key);
    if (at == m_calls.end())
        return;
    const call_ptr call = at->second;
    m_calls.erase(at);
    call->ended = true;
    m_client.cancel(call->call);
}

template <stage_wire PoolWire, stage_wire EngineWire>
void basic_stage_client<PoolWire, EngineWire>::setReading(const request_id &request, bool reading)
{
    const attempt_key first{request, 0, 0};
    for (auto at = m_calls.lower_bound(first); at != m_calls.end(); ++at) {
        if (at->first.request != request)
            break;
        m_client.setReading(at->second->call, reading);
    }
}

template class basic_stage_client<json_stage_wire, completion_wire>;

} // namespace orchidlead::wire
