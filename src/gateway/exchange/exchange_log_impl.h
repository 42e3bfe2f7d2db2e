#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/log_event.h"

#include <utility>

/// The part of `exchange` that logs decisions, the data they were based on, and the age of that
/// data.
namespace orchidlead::gateway {

template <gateway_codec Codec>
wire::log_line exchange<Codec>::lineOf(log_event kind) const
{
    auto line = m_context.log.line(wire::log_level::Info, toName(kind));
    line.add("request", m_metadata.attempt);
    return line;
}

template <gateway_codec Codec>
milliseconds exchange<Codec>::sinceArrival() const
{
    return std::chrono::duration_cast<milliseconds>(m_context.loop.now() - m_arrival);
}

template <gateway_codec Codec>
std::string_view exchange<Codec>::nameOf(attempt_result what)
{
    switch (what) {
    case attempt_result::NotSent:
        return "not_sent";
    case attempt_result::NotRun:
        return "not_run";
    case attempt_result::Unknown:
        return "unknown";
    case attempt_result::Failed:
        return "failed";
    }
    return {};
}

// Written at once, unlike the other lines of a request, so that the log of a killed process shows
// which requests it had.
template <gateway_codec Codec>
void exchange<Codec>::logAccepted()
{
    if (!logsDecisions())
        return;
    const auto sinceUpdate = m_context.loop.now() - m_context.published.lastContactAt();
    auto line = lineOf(log_event::RequestTaken);
    line.add("route", m_route->name).add("kind", toName(m_route->kind));
    if (m_customer)
        line.add("customer", m_customer->id.value);
    line.add("patience_ms", m_metadata.clientTimeout.value_or(milliseconds{0}).count());
    line.add("objective_ms", m_route->latencyObjective.count());
    line.add("configuration", m_configuration->version());
    line.add("published_age_ms", std::chrono::duration_cast<milliseconds>(sinceUpdate).count());
    if (m_metadata.continuesStream || !m_metadata.firstAttempt.empty())
        line.add("first_attempt", m_metadata.firstAttempt);
    if (m_metadata.lastEvent)
        line.add("last_event", *m_metadata.lastEvent);
    if (m_metadata.reservedFields > 0)
        line.add("forged_fields", m_metadata.reservedFields);
    m_context.log.write(wire::log_level::Info, std::move(line));
}

template <gateway_codec Codec>
void exchange<Codec>::logStage(std::uint32_t stage, std::size_t pieces)
{
    if (!logsDecisions())
        return;
    const auto &spec = m_route->stages[stage];
    const auto due = m_objectiveFrom + m_route->latencyObjective - m_timesAfterStages[stage];
    const auto softDeadlineLeft =
        std::chrono::duration_cast<milliseconds>(due - m_context.loop.now());
    auto line = lineOf(log_event::StageSubmitted);
    line.add("stage", stage).add("service", spec.service.value).add("pieces", pieces);
    line.add("host", m_context.stages.hostOf(m_stagePools[stage]).value);
    if (const auto version = m_stageVersions.of(spec.service))
        line.add("version", version->value);
    line.add("aim_left_ms", softDeadlineLeft.count()).add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

// One line for each pool whose host refused.
template <gateway_codec Codec>
void exchange<Codec>::logAdmissionRefused(const admission_result &result)
{
    if (!logsDecisions())
        return;
    for (const auto &each : result.pools) {
        if (!each.answer || each.answer->granted)
            continue;
        auto line = lineOf(log_event::AdmissionRefused);
        line.add("service", each.pool.service.value);
        if (!each.pool.dataCenter.empty())
            line.add("data_center", each.pool.dataCenter.value);
        line.add("host", m_context.stages.hostOf(each.pool).value);
        line.add("waiting_ahead", each.answer->waitingAhead);
        line.add("reserved_ahead", each.answer->reservedAhead);
        line.add("wait_ms", each.answer->wait.count());
        line.add("retry_after_ms", each.answer->retryAfter.count());
        line.add("cause", toName(each.answer->cause));
        if (each.answer->turnHeld)
            line.add("turn_held", "yes");
        line.add("at_ms", sinceArrival().count());
        m_decisions.add(std::move(line));
    }
}

template <gateway_codec Codec>
void exchange<Codec>::logSent()
{
    if (!logsDecisions())
        return;
    auto line = lineOf(log_event::AttemptSent);
    line.add("server", m_current.server->record.id.value).add("service", m_service.value);
    line.add("version", m_current.server->record.version.value);
    if (m_current.server->record.startedAt)
        line.add("started_at", *m_current.server->record.startedAt);
    line.add("usable", m_context.directory.usable(m_service).size());
    line.add("outstanding", m_current.server->outstanding)
        .add("failures", m_current.server->consecutiveFailures);
    if (m_current.server->load) {
        const auto age = m_context.loop.now() - m_current.server->loadReportedAt;
        line.add("running", m_current.server->load->running)
            .add("waiting", m_current.server->load->waiting);
        line.add("load_age_ms", std::chrono::duration_cast<milliseconds>(age).count());
    }
    if (m_current.server->announcedLeaving)
        line.add("said_leaving", "yes");
    const auto now = m_context.loop.now();
    if (now < m_current.server->backoffUntil)
        line.add(
            "backoff_left_ms",
            std::chrono::duration_cast<milliseconds>(m_current.server->backoffUntil - now).count());
    if (m_current.server->consecutiveRefusals > 0)
        line.add("refusals", m_current.server->consecutiveRefusals);
    line.add("left_ms", timeLeft().count()).add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

template <gateway_codec Codec>
void exchange<Codec>::logAttemptEnd(const server_attempt &ended, std::string_view how)
{
    if (!logsDecisions() || !ended.server)
        return;
    const auto now = m_context.loop.now();
    auto line = lineOf(log_event::AttemptEnded);
    line.add("server", ended.server->record.id.value).add("end", how);
    line.add("status", ended.answer.status);
    if (how == nameOf(attempt_result::Unknown))
        line.add("digest", toText(m_digest)).add("parts", sharedPartsText());
    if (ended.abandonedFor) {
        line.add("abandoned", toName(*ended.abandonedFor));
        line.add("idle_ms",
                 std::chrono::duration_cast<milliseconds>(now - ended.lastBytesAt).count());
    }
    if (ended.splitter.firstOfStream())
        line.add("first_event", *ended.splitter.firstOfStream());
    if (ended.splitter.lastEvent())
        line.add("last_event", *ended.splitter.lastEvent());
    if (ended.splitter.leftOut() > 0)
        line.add("left_out_events", ended.splitter.leftOut());
    if (ended.splitter.defect())
        line.add("defect", toName(*ended.splitter.defect()));
    line.add("took_ms", std::chrono::duration_cast<milliseconds>(now - ended.startedAt).count());
    line.add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

template <gateway_codec Codec>
void exchange<Codec>::logHeld(const server_attempt &held)
{
    if (!logsDecisions())
        return;
    const auto idle = m_context.loop.now() - held.lastBytesAt;
    auto line = lineOf(log_event::AttemptHeld);
    line.add("server", held.server->record.id.value).add("cause", toName(*held.abandonedFor));
    line.add("idle_ms", std::chrono::duration_cast<milliseconds>(idle).count());
    line.add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

template <gateway_codec Codec>
void exchange<Codec>::logResumed(std::string_view why)
{
    if (!logsDecisions())
        return;
    const auto idle = m_context.loop.now() - m_current.lastBytesAt;
    auto line = lineOf(log_event::AttemptResumed);
    line.add("server", m_current.server->record.id.value).add("reason", why);
    line.add("idle_ms", std::chrono::duration_cast<milliseconds>(idle).count());
    line.add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

template <gateway_codec Codec>
void exchange<Codec>::logHealthCheck(const server &checked, bool healthy)
{
    if (!logsDecisions())
        return;
    auto line = lineOf(log_event::ServerChecked);
    line.add("server", checked.record.id.value).add("healthy", healthy ? "yes" : "no");
    line.add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

template <gateway_codec Codec>
void exchange<Codec>::logServerStart(const server &asked, start_evidence shown)
{
    if (!logsDecisions())
        return;
    auto line = lineOf(log_event::ServerStartChecked);
    line.add("server", asked.record.id.value).add("start", toName(shown));
    line.add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

// The last part belongs to the request alone.
template <gateway_codec Codec>
std::string exchange<Codec>::sharedPartsText() const
{
    constexpr std::size_t MaxLoggedParts = 8;
    const auto &prompt = m_metadata.prompt;
    std::string text;
    for (std::size_t i = 0; i + 1 < prompt.size() && i < MaxLoggedParts; ++i)
        text += (i == 0 ? "" : ",") + prompt[i].id;
    return text;
}

template <gateway_codec Codec>
void exchange<Codec>::logRetryDenied(std::string_view why)
{
    if (logsDecisions())
        m_decisions.add(
            lineOf(log_event::RetryDenied).add("reason", why).add("attempts", m_attempts));
}

template <gateway_codec Codec>
void exchange<Codec>::logTrial(const request_digest &subject, bool granted)
{
    if (logsDecisions())
        m_decisions.add(lineOf(log_event::TrialAnswered)
                            .add("digest", toText(subject))
                            .add("granted", granted)
                            .add("at_ms", sinceArrival().count()));
}

template <gateway_codec Codec>
void exchange<Codec>::logStreamOrigin(const origin_lookup &found)
{
    if (!logsDecisions())
        return;
    auto line = lineOf(log_event::StreamOrigin);
    line.add("first_attempt", m_metadata.firstAttempt).add("source", toName(found.source));
    if (found.origin)
        line.add("service", found.origin->service.value)
            .add("version", found.origin->version.value);
    line.add("asked", found.asked).add("answered", found.answered);
    const auto listAge = m_context.loop.now() - m_context.published.lastContactAt();
    line.add("list_age_ms", std::chrono::duration_cast<milliseconds>(listAge).count());
    line.add("list_revision", found.listRevision).add("confirmed", found.confirmed);
    line.add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

// Logged only if a limit affected the placement or if parts of the prompt are read again. Otherwise
// the line about the attempt is enough.
template <gateway_codec Codec>
void exchange<Codec>::logPlaced(const placement_result &placed, const repeated_prefill &repeated)
{
    const bool limited = placed.allRateLimited || placed.wait != milliseconds{0};
    if (!logsDecisions() || (!limited && !repeated.cause))
        return;
    auto line = lineOf(log_event::TurnAnswered);
    line.add("service", m_service.value);
    line.add("server", placed.server ? placed.server->record.id.value : "none");
    line.add("wait_ms", placed.wait.count()).add("admitted", m_admitted);
    if (repeated.cause)
        line.add("read_again", repeated.tokens).add("read_again_cause", toName(*repeated.cause));
    line.add("slack_ms", slack().count()).add("at_ms", sinceArrival().count());
    m_decisions.add(std::move(line));
}

template <gateway_codec Codec>
bool exchange<Codec>::succeededInTime(request_outcome outcome) const
{
    const bool inTime =
        m_route && m_timeToFirstEvent.value_or(sinceArrival()) <= m_route->latencyObjective;
    return outcome == request_outcome::Answered && inTime && m_attempts <= 1 && !m_stagesRestarted;
}

template <gateway_codec Codec>
void exchange<Codec>::logEnd(request_outcome outcome)
{
    if (!logsDecisions())
        return;
    if (!succeededInTime(outcome) || m_context.logLimiter.tryAcquire(m_decisions.size()))
        m_decisions.write(m_context.log);
    auto line = lineOf(log_event::Request);
    line.add("outcome", toName(outcome));
    if (m_route)
        line.add("route", m_route->name);
    line.add("told", m_clientStatus)
        .add("status", m_current.answer.status)
        .add("attempts", m_attempts);
    line.add("ms", sinceArrival().count());
    if (outcome == request_outcome::CrashesServers)
        line.add("digest", toText(m_digest));
    if (m_timeToFirstEvent)
        line.add("first_event_ms", m_timeToFirstEvent->count());
    if (m_route)
        line.add("objective_ms", m_route->latencyObjective.count());
    if (m_current.server)
        line.add("server", m_current.server->record.id.value);
    m_context.log.write(wire::log_level::Info, std::move(line));
}

} // namespace orchidlead::gateway
