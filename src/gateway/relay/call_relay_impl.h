#pragma once

#include "gateway/answer_match.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/log_event.h"
#include "gateway/relay/call_relay.h"

#include <utility>

namespace orchidlead::gateway {

/// Most calls that are relayed at a time. Each may hold `MaxQueuedBytes` for a peer that reads
/// slowly, so all hold 32 MiB at most.
inline constexpr std::size_t MaxRelayedCalls = 128;
/// Most bytes of bodies that are held for relayed calls.
inline constexpr std::size_t MaxRelayedBodyBytes = 16U << 20U;
/// Largest body of a relayed call. The peer has already applied the published limit.
inline constexpr std::size_t MaxRelayedBody = 8U << 20U;
/// Largest head of a relayed call; the heads of clients are smaller, and this node adds fields.
inline constexpr std::size_t MaxRelayedHead = 256U << 10U;

template <gateway_codec Codec>
call_relay<Codec>::call_relay(http::io_loop &loop, server_transport &transport,
                              server_directory &directory, wire::log &log)
    : m_loop(loop)
    , m_transport(transport)
    , m_directory(directory)
    , m_log(log)
    , m_shared(std::make_shared<http::inbound_shared>())
{
    m_shared->limits.maxBodyBytes = MaxRelayedBody;
    m_shared->limits.maxHeadBytes = MaxRelayedHead;
    m_shared->limits.maxBufferedBytes = MaxRelayedBodyBytes;
    m_shared->onRequest = [this](const http::inbound_ptr &peer, http::request_head &&head,
                                 std::string &&body) {
        onRequest(peer, std::move(head), std::move(body));
    };
}

template <gateway_codec Codec>
call_relay<Codec>::~call_relay()
{
    m_shared->onRequest = {};
}

template <gateway_codec Codec>
std::optional<http::listen_error> call_relay<Codec>::start(const socket_address &at)
{
    auto made = http::listener::create(m_loop, at, m_shared);
    if (!made)
        return std::move(made).error();
    m_listener = std::move(made).value();
    return std::nullopt;
}

template <gateway_codec Codec>
void call_relay<Codec>::stop()
{
    m_stopping = true;
    m_shared->closing = true;
}

template <gateway_codec Codec>
void call_relay<Codec>::closeIdle(milliseconds minIdleTime)
{
    if (m_listener)
        m_listener->closeIdle(minIdleTime);
}

// A node that is being checked for a cut itself still tries: its connection shows the result. A
// later start under the same id may have another software version, or lack what the call depends
// on.
template <gateway_codec Codec>
std::optional<relay_result> call_relay<Codec>::refusalFor(const server_ptr &to,
                                                          const relay_order &order) const
{
    if (m_stopping)
        return relay_result::Stopping;
    if (m_transport.access() == server_access_state::CutOff)
        return relay_result::CutOff;
    if (m_shared->answering > MaxRelayedCalls)
        return relay_result::Busy;
    if (!to)
        return relay_result::Unreachable;
    const auto &known = to->record.startedAt;
    const bool restarted = order.startedAt && known && *known > *order.startedAt;
    if (restarted || !to->accepts(m_loop.now()))
        return relay_result::Ineligible;
    return std::nullopt;
}

template <gateway_codec Codec>
void call_relay<Codec>::onRequest(const http::inbound_ptr &peer, http::request_head &&head,
                                  std::string &&body)
{
    const auto relayed = std::make_shared<relayed_call>();
    relayed->peer = peer;
    relayed->arrivedAt = m_loop.now();
    auto order = takeOrder(head.fields);
    if (!order) {
        peer->respond(status::BadRequest, {}, {});
        return;
    }
    relayed->order = std::move(*order);
    relayed->attempt = Codec::readRequest(head).attempt;
    relayed->head = std::move(head);
    relayed->server = m_directory.find(relayed->order.server);
    if (const auto why = refusalFor(relayed->server, relayed->order)) {
        peer->respond(status::Unavailable, {toField(*why)}, {});
        logEnd(*relayed, toName(*why));
        return;
    }
    send(relayed, std::move(body));
}

template <gateway_codec Codec>
void call_relay<Codec>::send(const relayed_call_ptr &relayed, std::string &&body)
{
    ++m_relayed;
    http::outbound_call call;
    call.body = std::move(body);
    call.toHead = relayed->head.method == "HEAD";
    call.writeHead = [this, relayed] { return writeHead(*relayed); };
    call.ownerOf = [this, relayed](const http::response_head &head) {
        return ownerOf<Codec>(relayed->attempt, head, *relayed->server, m_directory);
    };
    call.onHead = [this, relayed](const http::response_head &head) { onHead(relayed, head); };
    call.onBody = [this, relayed](std::string_view bytes) { onBody(relayed, bytes); };
    call.onEnd = [this, relayed](http::call_end how) { onEnd(relayed, how); };
    if (relayed->server->outstanding++ == 0)
        m_directory.onFirstRequest(*relayed->server);
    relayed->call = m_transport.startDirect(
        {relayed->server, std::move(call), relayed->order.request, relayed->order.repeatable});
    m_open.insert(relayed);
    relayed->peer->onClientGone([this, relayed] {
        abandon(relayed);
        logEnd(*relayed, "peer_gone");
    });
}

template <gateway_codec Codec>
std::optional<std::string> call_relay<Codec>::writeHead(relayed_call &relayed) const
{
    const auto now = m_loop.now();
    auto fields = http::forwardedFields(relayed.head.fields);
    const auto held = std::chrono::ceil<milliseconds>(now - relayed.arrivedAt) + relayed.order.age;
    relayed.withheld = !relayed.server->accepts(now) || !Codec::reduceTimeout(fields, held);
    if (relayed.withheld)
        return std::nullopt;
    m_directory.onSending(*relayed.server);
    http::request_head out;
    out.method = relayed.head.method;
    out.target = relayed.head.target;
    out.fields = std::move(fields);
    if (const auto length = http::findField(relayed.head.fields, "content-length"))
        out.fields.push_back({"Content-Length", std::string(*length)});
    return http::formatHead(out);
}

template <gateway_codec Codec>
void call_relay<Codec>::onHead(const relayed_call_ptr &relayed, const http::response_head &head)
{
    m_directory.onResponseBegin(*relayed->server);
    m_directory.onBytes(*relayed->server);
    m_directory.onSignals(*relayed->server, Codec::readAnswer(head).server);
    http::response_head out;
    out.status = head.status;
    out.reason = head.reason;
    out.fields = http::forwardedFields(head.fields);
    [[maybe_unused]] const auto forged = takeResult(out.fields);
    [[maybe_unused]] const auto forgedMark = takeEndsWithConnection(out.fields);
    out.fields.push_back(toField(relay_result::Forwarded));
    if (!head.length && !head.chunked)
        out.fields.push_back(endsWithConnectionField());
    out.length = head.length;
    relayed->status = head.status;
    relayed->peer->begin(out);
}

template <gateway_codec Codec>
void call_relay<Codec>::onBody(const relayed_call_ptr &relayed, std::string_view bytes)
{
    m_directory.onBytes(*relayed->server);
    relayed->peer->write(bytes);
    if (relayed->peer->queuedBytes() <= MaxQueuedBytes)
        return;
    m_transport.setReading(relayed->call, false);
    relayed->peer->onDrained([this, relayed] { m_transport.setReading(relayed->call, true); });
}

template <gateway_codec Codec>
void call_relay<Codec>::onEnd(const relayed_call_ptr &relayed, http::call_end how)
{
    release(relayed);
    if (how == http::call_end::Complete) {
        m_directory.onAnswer(*relayed->server);
        relayed->peer->finish();
    } else if (how == http::call_end::NotSent) {
        auto why = relay_result::Unreachable;
        if (relayed->withheld)
            why = relay_result::Ineligible;
        else if (m_transport.access() != server_access_state::Reachable)
            why = relay_result::CutOff;
        else
            m_directory.onFailure(*relayed->server);
        relayed->peer->respond(status::Unavailable, {toField(why)}, {});
    } else {
        // The peer's connection ends like the server's, so that the peer sees that the call may
        // have run.
        m_directory.onFailure(*relayed->server);
        relayed->peer->abort();
    }
    logEnd(*relayed, toName(how));
}

template <gateway_codec Codec>
void call_relay<Codec>::abandon(const relayed_call_ptr &relayed)
{
    m_transport.abandon(relayed->call);
    release(relayed);
}

template <gateway_codec Codec>
void call_relay<Codec>::release(const relayed_call_ptr &relayed)
{
    m_open.erase(relayed);
    --relayed->server->outstanding;
    relayed->peer->onClientGone({});
}

template <gateway_codec Codec>
void call_relay<Codec>::onServersCutOff()
{
    const auto open = m_open;
    for (const auto &each : open) {
        if (!each->order.repeatable || !m_transport.isLost(each->call))
            continue;
        abandon(each);
        each->peer->abort();
        logEnd(*each, "lost");
    }
}

template <gateway_codec Codec>
void call_relay<Codec>::logEnd(const relayed_call &relayed, std::string_view how)
{
    if (relayed.order.request.empty() || !m_log.writes(wire::log_level::Info))
        return;
    auto line = m_log.line(wire::log_level::Info, toName(log_event::RelayedCallEnded));
    line.add("request", relayed.order.request).add("server", relayed.order.server.value);
    line.add("end", how).add("status", relayed.status);
    line.add("took_ms",
             std::chrono::duration_cast<milliseconds>(m_loop.now() - relayed.arrivedAt).count());
    m_log.write(wire::log_level::Info, std::move(line));
}

} // namespace orchidlead::gateway
