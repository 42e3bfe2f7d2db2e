#include "daemon/peer_link.h"

#include "daemon/answer_json.h"

#include <algorithm>
#include <utility>

namespace orchidlead::daemon {

namespace {

constexpr milliseconds ContentTimeout{1000};
constexpr milliseconds GateMessageTimeout{1000};

void reply(const std::shared_ptr<wire::forward_reply> &to, const final_answer &answer)
{
    to->answer({httpStatus(answer.outcome, answer.reason), writeAnswer(answer)});
}

} // namespace

peer_link::peer_link(net::event_loop &loop, net::http_client &client, const clock_source &clock,
                     vm_id self, const caller_bounds &bounds, peer_link_events events)
    : m_loop(loop)
    , m_clock(clock)
    , m_self(std::move(self))
    , m_bounds(bounds)
    , m_events(std::move(events))
    , m_client(loop, client, clock)
    , m_server(handlers())
{ }

result<void, net::net_error> peer_link::listen(const net::http_server_options &options)
{
    auto listener = net::http_server::create(
        m_loop, options, [this](net::http_request &&request, const net::response_ptr &response) {
            m_server.handle(std::move(request), response);
        });
    if (!listener)
        return failure(std::move(listener).error());
    m_listener = std::move(listener).value();
    return success();
}

wire::peer_handlers peer_link::handlers()
{
    wire::peer_handlers out;
    out.fetchConfiguration = [this](const wire::configuration_fetch &fetch) {
        return m_events.fetchConfiguration(fetch.version);
    };
    out.onAtMostOnceMessage = [this](const wire::gate_message &message) {
        m_events.onAtMostOnceMessage(message.from, message.bytes);
    };
    out.onForward = [this](const wire::forward_request &request,
                           const std::shared_ptr<wire::forward_reply> &to) {
        onForward(request, to);
    };
    return out;
}

// The peer waits for one whole answer, so that a stream asked for isn't one here.
void peer_link::onForward(const wire::forward_request &forwarded,
                          const std::shared_ptr<wire::forward_reply> &to)
{
    auto parsed = parseCallerRequest(forwarded.call, m_bounds);
    if (!parsed) {
        reply(to, refusal(parsed.error().reason, parsed.error().detail));
        return;
    }
    caller_request request = std::move(parsed).value();
    request.forwardedBy = forwarded.origin;
    request.stream = false;
    request.deadline = std::min(request.deadline.value_or(MaxDeadline), forwarded.remaining);
    m_events.onForwarded(std::move(request),
                         [to](const final_answer &answer) { reply(to, answer); });
}

void peer_link::forward(const forward_call &call)
{
    wire::forward_request request;
    request.origin = m_self;
    request.remaining = std::chrono::duration_cast<milliseconds>(call.deadline - m_clock.now());
    request.call = *call.body;
    m_client.forward(call.address, std::move(request), [this, id = call.request](const auto &end) {
        if (!end) {
            m_events.onForwardFailed(id, end.error().detail);
            return;
        }
        if (auto answer = readAnswer(end.value().body))
            m_events.onForwardAnswer(id, std::move(*answer));
        else
            m_events.onForwardFailed(id, "malformed answer");
    });
}

void peer_link::fetchConfiguration(const socket_address &peer, const fetch_from_peer &fetch)
{
    m_client.fetchConfiguration(
        peer, {fetch.stamp.version}, ContentTimeout, [this, vm = fetch.vm](auto end) {
            if (end)
                m_events.onContent(vm, end.value().version, std::move(end.value().content));
            else
                m_events.onContentFailed(vm);
        });
}

// The protocol of the at-most-once gate tolerates lost messages, so a failed call is ignored.
void peer_link::sendGateMessage(const socket_address &peer, const std::string &bytes)
{
    m_client.sendGateMessage(peer, {m_self, bytes}, GateMessageTimeout, [](const auto &) {});
}

} // namespace orchidlead::daemon
