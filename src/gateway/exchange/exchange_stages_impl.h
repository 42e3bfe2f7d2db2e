#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/log_event.h"

#include <algorithm>
#include <map>
#include <utility>

/// The part of `exchange` that runs the stages of a request.
namespace orchidlead::gateway {

template <gateway_codec Codec>
void exchange<Codec>::startStages()
{
    m_stageProgress = stage_progress::create(*m_route, m_metadata);
    if (!m_stageProgress) {
        respondWithStatus(status::BadRequest, request_outcome::InvalidPieceCounts);
        return;
    }
    if (const auto why = anyUnservableReason()) {
        refuse(*why);
        return;
    }
    m_preferredDataCenter = choosePreferredDataCenter();
    for (const auto &stage : m_route->stages)
        m_stagePools.push_back(stagePool(stage.service, m_preferredDataCenter));
    if (!hostsKnowTurns() && isPredictedLate()) {
        refuse(request_outcome::QueueTooLong);
        return;
    }
    m_stageSubmittedAt.resize(m_route->stages.size());
    requestAdmission();
}

// If all servers for the request have a rate limit, the work of the stages would be wasted if no
// server had capacity for the request afterwards.
template <gateway_codec Codec>
void exchange<Codec>::requestAdmission()
{
    auto query = makeQuery();
    if (!m_context.placer.needsAdmission(query.pool)) {
        reserveStages();
        return;
    }
    m_current.placement = m_context.placer.askAdmission(
        std::move(query), [self = this->shared_from_this()](const admission &answer) {
            if (!self->m_done)
                self->onAdmission(answer);
        });
}

template <gateway_codec Codec>
void exchange<Codec>::onAdmission(const admission &answer)
{
    m_current.placement = 0;
    m_admitted = answer.granted;
    if (answer.granted) {
        reserveStages();
        return;
    }
    m_capacityDelay = answer.retryDelay;
    refuse(request_outcome::ServersLimited);
}

template <gateway_codec Codec>
void exchange<Codec>::reserveStages()
{
    auto query = makeAdmissionQuery();
    if (query.pools.empty()) {
        submitReadyPieces();
        return;
    }
    m_stageAdmission = m_context.admission.ask(
        std::move(query), [self = this->shared_from_this()](const admission_result &result) {
            if (!self->m_done)
                self->onStagesReserved(result);
        });
}

template <gateway_codec Codec>
admission_query exchange<Codec>::makeAdmissionQuery()
{
    admission_query query;
    if (m_context.disabledPolicies.contains(policy::WholeRequestAdmission))
        return query;
    query.attempt = m_metadata.attempt;
    query.digest = m_digest;
    if (m_customer)
        query.customer = m_customer->id;
    query.rank = stageRank();
    query.maxRetryAfter = maxRetryAfter();
    const auto objectiveLeft = std::chrono::duration_cast<std::chrono::microseconds>(
        m_objectiveFrom + m_route->latencyObjective - m_context.loop.now());
    const bool defersLeafStages = !m_context.disabledPolicies.contains(policy::LateLeafStages);
    for (auto &[pool, stages] :
         reservedStagesOf(outline(), m_context.latencyEstimator, objectiveLeft, defersLeafStages)) {
        const auto *service = m_configuration->findService(pool.service);
        unasked_allowance::demand wanted;
        for (const auto &each : stages)
            wanted.pieces += each.pieces;
        wanted.callTime =
            std::chrono::duration_cast<milliseconds>(latency_estimator::fullBatchCallTime(service));
        wanted.maxPiecesPerCall = service->stage->maxPiecesPerCall;
        if (!m_context.unaskedAllowance.tryUse(pool, query.rank, wanted))
            query.pools.push_back({pool, std::move(stages)});
    }
    return query;
}

// Only the hosts of the pools know whether a request has a turn, so the estimate of this node must
// not refuse it before them.
template <gateway_codec Codec>
bool exchange<Codec>::hostsKnowTurns() const
{
    return !m_context.disabledPolicies.contains(policy::WholeRequestAdmission)
        && !m_context.disabledPolicies.contains(policy::RetryTurns);
}

// A client follows a `Retry-After` of up to a third of the time that it has left.
template <gateway_codec Codec>
milliseconds exchange<Codec>::maxRetryAfter() const
{
    constexpr int FollowedPart = 3;
    const auto clientTimeout = m_metadata.clientTimeout.value_or(m_route->timeout);
    const auto left =
        std::chrono::duration_cast<milliseconds>(m_arrival + clientTimeout - m_context.loop.now());
    return std::clamp(left / FollowedPart, milliseconds{0}, retry_turns::MaxRetryAfter);
}

template <gateway_codec Codec>
void exchange<Codec>::onStagesReserved(const admission_result &result)
{
    for (const auto &each : result.pools) {
        if (!each.answer)
            continue;
        m_reservedPools.insert(each.pool);
        m_context.unaskedAllowance.onReportedWait(each.pool, stageRank(), each.answer->wait);
        if (!m_context.disabledPolicies.contains(policy::ReportedWaits))
            m_context.latencyEstimator.onReportedWait(each.pool, stageRank(), each.answer->wait);
    }
    const bool allAnswered =
        std::ranges::all_of(result.pools, [](const auto &each) { return each.answer.has_value(); });
    if (result.granted && !allAnswered && hostsKnowTurns() && isPredictedLate()) {
        releaseStages();
        failRequest(request_outcome::QueueTooLong);
        return;
    }
    if (result.granted) {
        submitReadyPieces();
        return;
    }
    logAdmissionRefused(result);
    m_stageAdmission = 0;
    m_capacityDelay = result.retryAfter;
    failRequest(request_outcome::NotAdmitted);
}

template <gateway_codec Codec>
void exchange<Codec>::releaseStages()
{
    m_context.admission.release(std::exchange(m_stageAdmission, 0));
    m_reservedPools.clear();
}

// Prefers the data centre whose engines cache the shared prefix of the prompt, unless the stages
// have longer queues there. If one pool has the engines of all data centres, the pool chooses by
// the cached prefixes.
template <gateway_codec Codec>
data_center_id exchange<Codec>::choosePreferredDataCenter()
{
    m_otherDataCenter.reset();
    const auto &own = m_context.dataCenter;
    const auto &directory = m_context.directory;
    if (!m_residency.allows(directory.regionOf(own)) || !directory.usableIn(m_service, own))
        return chooseRemoteDataCenter();
    if (m_context.disabledPolicies.contains(policy::PromptAffinity))
        return own;
    if (!m_route->prefixAffinity
        || m_context.placer.poolFor(m_service, own, m_residency).dataCenter.empty())
        return own;
    const auto preferred = preferredDataCenterOf(m_metadata.prompt, preferredEngines());
    if (!preferred || *preferred == own)
        return own;
    if (*preferred == m_unreachableDataCenter) {
        m_otherDataCenter = prefill_cause::Unreachable;
        return own;
    }
    for (std::size_t i = 0; i < m_route->stages.size(); ++i) {
        if (m_metadata.pieceCounts[i] == 0)
            continue;
        const auto &service = m_route->stages[i].service;
        const auto there = stagePool(service, *preferred);
        const auto here = stagePool(service, own);
        const auto longer = m_context.latencyEstimator.remainingWait(there, stageRank())
            - m_context.latencyEstimator.remainingWait(here, stageRank());
        if (longer > MaxExtraStageWait) {
            m_otherDataCenter = prefill_cause::LongerStageWait;
            return own;
        }
    }
    return *preferred;
}

// With four data centres, the nodes of an evacuated data centre, or of one that lost its servers,
// have a fourth of the traffic. In a single other data centre it would displace the local requests,
// so it is distributed over all of them in proportion to their engines.
template <gateway_codec Codec>
data_center_id exchange<Codec>::chooseRemoteDataCenter()
{
    const auto engines = preferredEngines();
    if (engines.empty())
        return m_context.dataCenter;
    if (m_route->prefixAffinity && !m_context.disabledPolicies.contains(policy::PromptAffinity)) {
        if (const auto preferred = preferredDataCenterOf(m_metadata.prompt, engines))
            return *preferred;
    }
    const auto drawn =
        std::uniform_int_distribution<std::size_t>(0, engines.size() - 1)(m_context.random);
    return engines[drawn]->record.dataCenter;
}

// Engines of the own region are preferred: repeating the prefill of a prompt takes less time than
// the round trips to another region for each stage.
template <gateway_codec Codec>
std::vector<server_ptr> exchange<Codec>::preferredEngines() const
{
    auto engines = usableServers();
    const auto now = m_context.loop.now();
    const auto backsOff = [&](const server_ptr &each) { return !each->accepts(now); };
    if (!std::ranges::all_of(engines, backsOff))
        std::erase_if(engines, backsOff);
    const auto region = m_context.directory.regionOf(m_context.dataCenter);
    const auto isFar = [&](const server_ptr &each) { return each->region != region; };
    if (m_context.directory.severalRegions() && !std::ranges::all_of(engines, isFar))
        std::erase_if(engines, isFar);
    return engines;
}

template <gateway_codec Codec>
std::vector<server_ptr> exchange<Codec>::usableServers() const
{
    auto servers = m_context.directory.usable(m_service, m_residency);
    std::erase_if(servers, [&](const server_ptr &each) { return !each->hasVersion(m_version); });
    return servers;
}

template <gateway_codec Codec>
pool_key exchange<Codec>::stagePool(const service_id &service,
                                    const data_center_id &preferredDataCenter)
{
    return m_context.stages.poolFor(service, preferredDataCenter, m_residency);
}

template <gateway_codec Codec>
data_center_id exchange<Codec>::usableDataCenter(const data_center_id &dataCenter,
                                                 const service_id &service)
{
    if (m_context.directory.usableIn(service, dataCenter))
        return dataCenter;
    if (!m_context.directory.usableIn(service, m_preferredDataCenter))
        m_preferredDataCenter = choosePreferredDataCenter();
    if (service == m_service)
        m_otherDataCenter = prefill_cause::NoEngineThere;
    return m_preferredDataCenter;
}

template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::absenceReason(const service_id &service) const
{
    switch (m_context.directory.unavailabilityOf(service, m_residency)) {
    case unavailability::Leaving:
        return request_outcome::ServersLeaving;
    case unavailability::Evacuated:
        return request_outcome::Evacuated;
    case unavailability::NoServerInRegion:
        return request_outcome::NoServerInRegion;
    case unavailability::NoneReachable:
    case unavailability::None:
        break;
    }
    return std::nullopt;
}

template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::unservableReason()
{
    if (const auto why = absenceReason(m_service))
        return why;
    const auto servers = usableServers();
    if (m_version && servers.empty())
        return request_outcome::NoServerOfVersion;
    const auto wait = m_context.directory.backoffOf(servers);
    if (!wait)
        return std::nullopt;
    m_capacityDelay = *wait;
    return request_outcome::ServersBackingOff;
}

// Stage servers ask the host of their pool to back off. The host reports that to this node when it
// fails pieces.
template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::unservableReason(std::size_t stage)
{
    const auto &service = m_route->stages[stage].service;
    if (const auto why = absenceReason(service))
        return why;
    const auto wait = m_context.stages.backoffOf(service, m_context.dataCenter, m_residency);
    if (!wait)
        return std::nullopt;
    m_capacityDelay = *wait;
    return request_outcome::ServersBackingOff;
}

// Absent servers without a known reason don't count, because they may return or be replaced soon.
template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::anyUnservableReason()
{
    auto why = unservableReason();
    for (std::size_t i = 0; i < m_route->stages.size() && !why; ++i) {
        if (m_metadata.pieceCounts[i] > 0)
            why = unservableReason(i);
    }
    return why;
}

template <gateway_codec Codec>
request_outline exchange<Codec>::outline() const
{
    return {*m_configuration,
            *m_route,
            m_service,
            stageRank(),
            m_stagePools,
            m_metadata.pieceCounts,
            m_metadata.promptTokens};
}

// Checked before any work is done. If the servers have no backlog, the request is served late
// instead of refused.
template <gateway_codec Codec>
bool exchange<Codec>::isPredictedLate() const
{
    const auto predicted = m_context.latencyEstimator.forecastOf(outline());
    return predicted.hasBacklog && predicted.timeToAnswer > m_route->latencyObjective;
}

template <gateway_codec Codec>
void exchange<Codec>::submitReadyPieces()
{
    if (m_stageProgress->done()) {
        onStagesDone();
        return;
    }
    const auto request = outline();
    auto stageTimes = m_context.latencyEstimator.stageTimes(request);
    m_timesAfterStages = m_context.latencyEstimator.timesAfterStages(request, stageTimes);
    if (m_context.disabledPolicies.contains(policy::LateLeafStages))
        std::ranges::fill(stageTimes, std::chrono::microseconds{0});
    std::map<std::uint32_t, std::vector<pool_key>> submitted; // of each piece, by stage
    std::map<std::uint32_t, std::optional<software_version>> versions; // by stage
    for (auto &each : m_stageProgress->takeReadyPieces(stageTimes)) {
        const auto stage = each.request.stage;
        if (!versions.contains(stage))
            versions[stage] = requiredStageVersion(stage);
        m_stageSubmittedAt[stage] = m_context.loop.now();
        submitted[stage].push_back(submitPiece(std::move(each), versions[stage]));
    }
    if (!submitted.empty())
        m_retryUnused = false;
    for (const auto &[stage, pools] : submitted) {
        m_stagePools[stage] = pools.back();
        m_context.admission.onStageSubmitted(m_stageAdmission, stage, pools);
        logStage(stage, pools.size());
    }
}

template <gateway_codec Codec>
pool_key exchange<Codec>::submitPiece(stage_progress::ready_piece ready,
                                      const std::optional<software_version> &version)
{
    piece_task job;
    const auto stage = ready.request.stage;
    const auto piece = ready.request.piece;
    job.rank = stageRank();
    job.softDeadline = m_objectiveFrom + m_route->latencyObjective - m_timesAfterStages[stage];
    job.deadline = m_deadline - m_timesAfterStages[stage];
    job.inputBytes = ready.inputBytes;
    job.resultBytes = m_route->stages[stage].resultBytes;
    job.mayBeHedged = m_route->repeatable();
    job.request = std::move(ready.request);
    job.request.digest = m_digest;
    const auto inputsIn = job.request.inputs.empty() ? m_preferredDataCenter
                                                     : resultLocation(job.request.inputs.front());
    job.preferredDataCenter = usableDataCenter(inputsIn, ready.service);
    job.allowed = m_residency;
    job.version = version;
    if (m_reservedPools.contains(m_stagePools[stage]))
        job.reservedPool = m_stagePools[stage];
    auto handler = [self = this->shared_from_this(), stage, piece](piece_report report) {
        self->onPiece(stage, piece, std::move(report));
    };
    m_pieces.push_back(m_context.stages.submit(ready.service, std::move(job), std::move(handler)));
    return m_context.stages.poolOf(m_pieces.back());
}

// A version without usable servers is given up only while no results of it are in use. With them,
// the pieces fail, and all stages are computed again.
template <gateway_codec Codec>
std::optional<software_version> exchange<Codec>::requiredStageVersion(std::uint32_t stage)
{
    const auto &service = m_route->stages[stage].service;
    const auto now = m_context.loop.now();
    const auto &directory = m_context.directory;
    const bool several = hadSeveralVersions(directory, service, now);
    const auto assigned = m_stageVersions.of(service);
    const auto isOfAssigned = [&](const server_ptr &each) { return each->hasVersion(assigned); };
    if (!assigned
        || (several
            && std::ranges::none_of(directory.usable(service, m_residency), isOfAssigned))) {
        const auto customer = m_customer ? m_customer->id : customer_id{};
        const auto &first =
            m_metadata.firstAttempt.empty() ? m_metadata.attempt : m_metadata.firstAttempt;
        m_stageVersions.assign(service,
                               assignStageVersion(directory, m_stagePools[stage],
                                                  streamDigestOf(customer, first), now));
    }
    return several ? m_stageVersions.of(service) : std::nullopt;
}

template <gateway_codec Codec>
void exchange<Codec>::onPiece(std::uint32_t stage, std::uint32_t piece, piece_report report)
{
    const auto *failed = std::get_if<piece_failure>(&report.result);
    const bool backedOff = failed && *failed == piece_failure::ServersBackingOff;
    const auto pool =
        report.pool.value_or(m_stagePools[stage]); // a redirected piece has another one
    if (!backedOff && !m_context.disabledPolicies.contains(policy::ReportedWaits))
        m_context.latencyEstimator.onReportedWait(pool, stageRank(), report.wait);
    if (!backedOff)
        m_context.unaskedAllowance.onReportedWait(pool, stageRank(), report.wait);
    if (m_done)
        return;
    if (auto *handle = std::get_if<std::string>(&report.result)) {
        if (!acceptStageVersion(stage, report)) {
            repeatPiece(stage, piece, *handle);
            return;
        }
        if (m_stageProgress->onResult(stage, piece, std::move(*handle)))
            m_context.latencyEstimator.onStage(
                pool, stageRank(),
                std::chrono::duration_cast<std::chrono::microseconds>(m_context.loop.now()
                                                                      - m_stageSubmittedAt[stage]));
        m_context.stages.freeResults(m_stageProgress->takeUnneededHandles());
        submitReadyPieces();
        return;
    }
    const auto failure = std::get<piece_failure>(report.result);
    if (logsDecisions())
        m_decisions.add(lineOf(log_event::PieceFailed)
                            .add("stage", stage)
                            .add("piece", piece)
                            .add("reason", toName(failure))
                            .add("at_ms", sinceArrival().count()));
    const bool mayRestart =
        failure == piece_failure::InputGone || failure == piece_failure::NoServerOfVersion;
    if (mayRestart && mayRestartStages()) {
        restartStages(toName(failure));
        return;
    }
    if (backedOff)
        m_capacityDelay = report.wait;
    failRequest(outcomeOf(failure));
}

// Without a version, the host of the pool knows only that of the request.
template <gateway_codec Codec>
bool exchange<Codec>::acceptStageVersion(std::uint32_t stage, const piece_report &report)
{
    const auto &service = m_route->stages[stage].service;
    const auto version = report.version ? report.version : m_stageVersions.of(service);
    return !version || m_stageVersions.accept(service, *version);
}

// The piece was submitted while this node knew a single version of the service, so it required
// none. Now it requires the one of the results in use.
template <gateway_codec Codec>
void exchange<Codec>::repeatPiece(std::uint32_t stage, std::uint32_t piece,
                                  const std::string &handle)
{
    const auto version = m_stageVersions.of(m_route->stages[stage].service);
    if (logsDecisions())
        m_decisions.add(lineOf(log_event::PieceFailed)
                            .add("stage", stage)
                            .add("piece", piece)
                            .add("reason", "other_version")
                            .add("at_ms", sinceArrival().count()));
    m_context.stages.freeResults({handle});
    submitPiece(m_stageProgress->makePiece(stage, piece), version);
}

// Results that expired because the request is late would only be late again.
template <gateway_codec Codec>
bool exchange<Codec>::mayRestartStages()
{
    const bool inTime = m_context.loop.now() < m_arrival + m_route->latencyObjective;
    return inTime && !std::exchange(m_stagesRestarted, true);
}

template <gateway_codec Codec>
bool exchange<Codec>::hasResultsIn(const data_center_id &dataCenter) const
{
    return std::ranges::any_of(m_stageProgress->allHandles(), [&](const std::string &each) {
        return resultLocation(each) == dataCenter;
    });
}

// A stream that has begun met its objective. Measured from its arrival its pieces would be dropped
// as late at once, and the client would lose the rest of an answer that was on time.
template <gateway_codec Codec>
void exchange<Codec>::restartStages(std::string_view reason)
{
    if (m_headSent)
        m_objectiveFrom = m_context.loop.now();
    if (logsDecisions())
        m_decisions.add(lineOf(log_event::StagesRestarted).add("reason", reason));
    endPlacement();
    releaseStages();
    cancelPieces();
    freeStageResults();
    m_needsStages = false;
    m_preferredDataCenter = choosePreferredDataCenter();
    const bool reserves = !m_context.disabledPolicies.contains(policy::WholeRequestAdmission);
    for (std::size_t i = 0; reserves && i < m_stagePools.size(); ++i)
        m_stagePools[i] = stagePool(m_route->stages[i].service, m_preferredDataCenter);
    m_stageProgress->restart();
    m_stageVersions.onRestart();
    reserveStages();
}

template <gateway_codec Codec>
void exchange<Codec>::onStagesDone()
{
    m_pieces.clear();
    m_needsStages = false;
    if (logsDecisions())
        m_decisions.add(lineOf(log_event::StagesDone).add("at_ms", sinceArrival().count()));
    attempt();
}

template <gateway_codec Codec>
void exchange<Codec>::cancelPieces()
{
    for (const auto token : std::exchange(m_pieces, {}))
        m_context.stages.withdraw(token);
}

template <gateway_codec Codec>
void exchange<Codec>::freeStageResults()
{
    if (!m_stageProgress || m_needsStages)
        return;
    m_context.stages.freeResults(m_stageProgress->allHandles());
}

template <gateway_codec Codec>
data_center_id exchange<Codec>::resultLocation(const std::string &handle) const
{
    const auto holder = parseSocketAddress(resultServerAddress(handle));
    const auto server = holder ? m_context.directory.findAt(*holder) : nullptr;
    return server ? server->record.dataCenter : data_center_id{};
}

} // namespace orchidlead::gateway
