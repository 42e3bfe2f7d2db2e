#include "wire/peer_client.h"

#include "wire/base64.h"

#include <algorithm>
#include <utility>

namespace orchidlead::wire {

namespace {

constexpr int StatusOk = 200;
constexpr milliseconds ConnectTimeout{500};
constexpr std::size_t MaxAnswerBytes = 64U << 20U;

peer_failure failureOf(net::call_end end, bool sent)
{
    if (!sent)
        return peer_failure::NotSent;
    switch (end) {
    case net::call_end::TimedOut:
        return peer_failure::TimedOut;
    case net::call_end::TooLarge:
        return peer_failure::BadAnswer;
    case net::call_end::Complete:
    case net::call_end::NotSent:
    case net::call_end::Broken:
        break;
    }
    return peer_failure::Broken;
}

peer_error badAnswer(std::string why)
{
    return {peer_failure::BadAnswer, std::move(why)};
}

result<configuration_content, peer_error> readConfiguration(const Json::Value &value)
{
    auto content = parseConfigurationContent(value);
    if (!content)
        return failure(badAnswer("expected version and content"));
    return std::move(*content);
}

result<gate_message_taken, peer_error> readGateMessageTaken(const Json::Value & /*value*/)
{
    return gate_message_taken{};
}

} // namespace

/// What one call has received.
struct peer_client::call_record : std::enable_shared_from_this<peer_client::call_record>
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool sent = false;
    net::call_id id = 0;
};

peer_client::peer_client(net::event_loop &loop, net::http_client &client, const clock_source &clock)
    : m_loop(loop)
    , m_client(client)
    , m_clock(clock)
{ }

peer_client::~peer_client()
{
    for (const auto call : m_open)
        m_client.cancel(call);
}

net::call_id peer_client::start(net::http_call call, peer_handler<raw_answer> onEnd)
{
    auto record = std::make_shared<call_record>();
    call.method = "POST";
    call.connectTimeout = std::min(ConnectTimeout, call.timeout);
    call.maxResponseBytes = MaxAnswerBytes;
    call.headers.push_back({"content-type", "application/json"});
    call.mayStillSend = [record, check = std::move(call.mayStillSend)] {
        record->sent = !check || check();
        return record->sent;
    };
    ++m_calls;
    m_bytesOut += call.body.size();

    net::call_events events;
    events.onHead = [record](int status, const net::header_list &headers) {
        record->status = status;
        record->contentType = net::findHeader(headers, "content-type").value_or("");
    };
    events.onBody = [record](std::string_view bytes) { record->body += bytes; };
    events.onEnd = [this, record, onEnd = std::move(onEnd)](net::call_end end) mutable {
        report(*record, end, std::move(onEnd));
    };
    record->id = m_client.start(std::move(call), std::move(events));
    m_open.insert(record->id);
    return record->id;
}

// The end may come from within `start`, so it is handed on by the loop.
void peer_client::report(call_record &record, net::call_end end, peer_handler<raw_answer> onEnd)
{
    m_bytesIn += record.body.size();
    result<raw_answer, peer_error> answer =
        raw_answer{record.status, std::move(record.contentType), std::move(record.body)};
    if (end != net::call_end::Complete)
        answer = failure(peer_error{failureOf(end, record.sent), std::string{toName(end)}});
    m_loop.post([this, recordPtr = record.shared_from_this(), onEnd = std::move(onEnd),
                 alive = std::weak_ptr<int>{m_alive}, answer = std::move(answer)]() mutable {
        if (!alive.expired() && m_open.erase(recordPtr->id) > 0)
            onEnd(std::move(answer));
    });
}

template <class Answer>
void peer_client::call(const socket_address &peer, std::string_view method,
                       const Json::Value &parameters, milliseconds timeout,
                       peer_handler<Answer> onEnd,
                       result<Answer, peer_error> (*read)(const Json::Value &))
{
    const rpc_id id = ++m_lastId;
    net::http_call http;
    http.address = peer;
    http.path = RpcPath;
    http.body = composeRpcCall(id, method, parameters);
    http.timeout = timeout;
    start(std::move(http),
          [id, read, onEnd = std::move(onEnd)](result<raw_answer, peer_error> raw) {
              if (!raw)
                  return onEnd(failure(std::move(raw).error()));
              if (raw.value().status != StatusOk)
                  return onEnd(failure(badAnswer("status " + std::to_string(raw.value().status))));
              const auto answer = parseRpcAnswer(id, raw.value().body);
              if (answer)
                  return onEnd(read(answer.value()));
              if (answer.error().code == 0)
                  return onEnd(failure(badAnswer(answer.error().message)));
              onEnd(failure(peer_error{peer_failure::Refused, answer.error().message}));
          });
}

void peer_client::fetchConfiguration(const socket_address &peer, const configuration_fetch &message,
                                     milliseconds timeout,
                                     peer_handler<configuration_content> onEnd)
{
    call(peer, FetchConfigurationMethod, toJson(message), timeout, std::move(onEnd),
         &readConfiguration);
}

void peer_client::sendGateMessage(const socket_address &peer, const gate_message &message,
                                  milliseconds timeout, peer_handler<gate_message_taken> onEnd)
{
    if (message.bytes.size() > MaxBase64Input) {
        m_loop.post([onEnd = std::move(onEnd)] {
            onEnd(failure(peer_error{peer_failure::NotSent, "message too large"}));
        });
        return;
    }
    call(peer, GateMessageMethod, toJson(message), timeout, std::move(onEnd),
         &readGateMessageTaken);
}

net::call_id peer_client::forward(const socket_address &peer, forward_request request,
                                  peer_handler<forward_answer> onEnd)
{
    net::http_call http;
    http.address = peer;
    http.path = std::string{ForwardPath} + "?" + composeForwardQuery(request);
    http.body = std::move(request.call);
    http.timeout = std::max(request.remaining, milliseconds{1});
    http.reuseConnection = false;
    http.mayStillSend = [this, deadline = m_clock.now() + request.remaining] {
        return m_clock.now() < deadline;
    };
    return start(std::move(http), [onEnd = std::move(onEnd)](result<raw_answer, peer_error> raw) {
        onEnd(readForwardAnswer(std::move(raw)));
    });
}

result<forward_answer, peer_error>
peer_client::readForwardAnswer(result<raw_answer, peer_error> raw)
{
    if (!raw)
        return failure(std::move(raw).error());
    raw_answer &answer = raw.value();
    if (answer.contentType != ForwardAnswerType)
        return failure(badAnswer("status " + std::to_string(answer.status)));
    return forward_answer{answer.status, std::move(answer.body)};
}

void peer_client::cancel(net::call_id call)
{
    if (m_open.erase(call) > 0)
        m_client.cancel(call);
}

} // namespace orchidlead::wire
