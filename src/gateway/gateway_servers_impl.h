#pragma once

#include "gateway/gateway.h"

#include <random>
#include <utility>

/// The part of `gateway` that handles events of servers and of this node's access to them.
namespace orchidlead::gateway {

/// Largest random extension of a server's backoff time, as a fraction of it. It keeps the nodes
/// that got the same backoff request at the same time from returning at once.
inline constexpr double MaxBackoffSpread = 0.25;

template <gateway_codec Codec>
void gateway<Codec>::setServerHandlers()
{
    m_transport.onAccessChanged([this](server_access_state state) { onServerAccess(state); });
    if (m_settings.listen.relay)
        m_transport.setRelays([this] {
            return m_peers.relayCandidates(
                m_settings.listen.relay->port,
                [this](const data_center_id &each) { return m_directory.regionOf(each); });
        });
    m_directory.onChange([this](const service_id &service) {
        m_stages.onServersChanged(service);
        m_router.onServersChanged(service);
        m_streamOrigins.onServersChanged(service);
    });
    m_directory.setBackoffJitter([this] {
        return std::uniform_real_distribution<double>(0.0, MaxBackoffSpread)(m_context.random);
    });
    m_directory.onDataCenterAnswered([this](const data_center_id &from) {
        m_peers.onTraffic(from);
        m_peers.onServerResponse(from);
    });
    m_directory.onSent([this](const data_center_id &to) { m_peers.onTraffic(to); });
    m_directory.onAvoidanceChanged(
        [this](const server &which, bool avoided) { onAvoidanceChanged(which, avoided); });
    m_directory.onRateLimitChanged([this](const server &which, std::optional<double> before) {
        m_placer.onRateLimitChanged();
        onRateLimitChanged(which, before);
    });
    m_directory.onBrittleReported([this](const brittle_server &reported) {
        onBrittleReported(reported, m_settings.vm);
        m_brittle.onReported(reported);
    });
    m_directory.onLeavingAnnounced([this](const server &which) {
        onLeavingAnnounced(which);
        m_leaving.onReported(which.record.start());
    });
    m_directory.onBackoffRequested(
        [this](const server &which, milliseconds time) { onBackoffRequested(which, time); });
}

template <gateway_codec Codec>
void gateway<Codec>::onAvoidanceChanged(const server &which, bool avoided)
{
    const auto event = avoided ? log_event::ServerAvoided : log_event::ServerTrusted;
    auto line = m_log.line(wire::log_level::Info, toName(event));
    line.add("server", which.record.id.value).add("service", which.record.service.value);
    line.add("failures", which.consecutiveFailures);
    m_log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void gateway<Codec>::onRateLimitChanged(const server &which, std::optional<double> before)
{
    auto line = m_log.line(wire::log_level::Info, toName(log_event::ServerLimitChanged));
    line.add("server", which.record.id.value).add("service", which.record.service.value);
    line.add("per_second", rateLimitText(which.rateLimit)).add("before", rateLimitText(before));
    line.add("outstanding", which.outstanding);
    m_log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void gateway<Codec>::onLeavingAnnounced(const server &which)
{
    const auto heard = m_loop.now() - m_state.lastContactAt();
    auto line = m_log.line(wire::log_level::Info, toName(log_event::ServerSaidLeaving));
    line.add("server", which.record.id.value).add("service", which.record.service.value);
    line.add("heard", "answer");
    line.add("published", which.record.leaving ? "leaving" : "ready");
    line.add("published_age_ms", std::chrono::duration_cast<milliseconds>(heard).count());
    line.add("outstanding", which.outstanding);
    m_log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void gateway<Codec>::onLeavingReported(const server_start &start, const vm_id &from)
{
    auto line = m_log.line(wire::log_level::Info, toName(log_event::ServerSaidLeaving));
    line.add("server", start.id.value).add("heard", "peer").add("from", from.value);
    m_log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void gateway<Codec>::onBrittleReported(const brittle_server &reported, const vm_id &from)
{
    auto line = m_log.line(wire::log_level::Info, toName(log_event::ServerSaidBrittle));
    line.add("server", reported.server.id.value);
    line.add("refusals_per_second", reported.refusalsPerSecond).add("from", from.value);
    m_log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void gateway<Codec>::onBackoffRequested(const server &which, milliseconds time)
{
    auto line = m_log.line(wire::log_level::Info, toName(log_event::ServerAskedForTime));
    line.add("server", which.record.id.value).add("service", which.record.service.value);
    line.add("for_ms", time.count()).add("outstanding", which.outstanding);
    m_log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void gateway<Codec>::probeServerIn(const data_center_id &dataCenter)
{
    const auto asked = m_directory.nextServerIn(dataCenter);
    if (!asked)
        return;
    m_transport.probe(asked->record, [this, dataCenter](http::connect_outcome outcome) {
        if (outcome == http::connect_outcome::Connected)
            m_peers.onServerResponse(dataCenter);
    });
}

template <gateway_codec Codec>
void gateway<Codec>::onConnectionBroken(const server &which,
                                        const std::vector<crash_subject> &subjects)
{
    const auto id = which.record.id;
    if (m_transport.access() == server_access_state::CutOff)
        return;
    if (!m_crashDetector.onConnectionBroken(id, subjects))
        return;
    m_transport.probe(which.record, [this, id](http::connect_outcome outcome) {
        if (const auto found = m_crashDetector.onProbeResult(id))
            onProbeResult(*found, outcome);
    });
}

// A server that this node alone can't reach has not ended. While a round of connections shows which
// of the two it is, the conclusion waits.
template <gateway_codec Codec>
void gateway<Codec>::onProbeResult(const server_crash &what, http::connect_outcome outcome)
{
    const bool refused = outcome == http::connect_outcome::Refused;
    if (refused && m_transport.access() == server_access_state::Checking) {
        m_unconfirmedCrashes.push_back(what);
        return;
    }
    const bool ended = refused && m_transport.access() == server_access_state::Reachable;
    logBrokenConnections(what, outcome, ended);
    if (ended)
        m_quarantine.onServerCrash(what);
}

template <gateway_codec Codec>
void gateway<Codec>::logBrokenConnections(const server_crash &what, http::connect_outcome outcome,
                                          bool serverEnded)
{
    const auto requests = std::ranges::count_if(
        what.subjects, [](const crash_subject &each) { return !each.isPart(); });
    auto line =
        m_log.line(wire::log_level::Info,
                   toName(serverEnded ? log_event::ServerEnded : log_event::ConnectionsLost));
    line.add("server", what.server.value).add("requests", requests);
    line.add("subjects", what.subjects.size());
    line.add("new_connection", toName(outcome));
    m_log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void gateway<Codec>::onServerAccess(server_access_state state)
{
    if (state == server_access_state::Checking)
        return;
    for (const auto &each : std::exchange(m_unconfirmedCrashes, {}))
        onProbeResult(each, http::connect_outcome::Refused);
    if (state != server_access_state::CutOff)
        return;
    m_stages.onServersCutOff();
    m_callRelay.onServersCutOff();
    const auto exchanges = m_exchanges;
    for (const auto &weak : exchanges) {
        if (const auto each = weak.lock())
            each->onServersCutOff();
    }
}

} // namespace orchidlead::gateway
