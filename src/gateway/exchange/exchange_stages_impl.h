#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/log_event.h"

#include <algorithm>
#include <map>
#include <utility>

/// The part of an exchange that has its stages done.
namespace orchidlead::gateway {

template <gateway_codec Codec>
void exchange<Codec>::startStages()
{
    m_work = stage_work::create(*m_route, m_marks);
    if (!m_work) {
        answerOwn(status::BadRequest, request_outcome::PieceCounts);
        return;
    }
    if (const auto why = foreseenUnservable()) {
        refuse(*why);
        return;
    }
    m_home = chooseHome();
    for (const auto &stage : m_route->stages)
        m_stagePools.push_back(stagePool(stage.service, m_home));
    if (foreseenLate()) {
        refuse(request_outcome::QueueTooLong);
        return;
    }
    m_stageSince.resize(m_route->stages.size());
    passAdmission();
}

// Where all servers that may run it are bounded, the work of its stages would be for nothing if it
// then had no turn.
template <gateway_codec Codec>
void exchange<Codec>::passAdmission()
{
    auto wish = makeWish();
    if (!m_context.placer.needsAdmission(wish.pool)) {
        submitReadyPieces();
        return;
    }
    m_placement = m_context.placer.askAdmission(
        std::move(wish), [self = this->shared_from_this()](const admission &told) {
            if (!self->m_done)
                self->onAdmission(told);
        });
}

template <gateway_codec Codec>
void exchange<Codec>::onAdmission(const admission &told)
{
    m_placement = 0;
    m_admitted = told.granted;
    if (told.granted) {
        submitReadyPieces();
        return;
    }
    m_roomAfter = told.comeBack;
    refuse(request_outcome::ServersLimited);
}

// Where the engines keep what its prompt shares, unless requests wait there longer than here. Where
// one pool has the engines of all data centres it chooses by what each keeps.
template <gateway_codec Codec>
data_center_id exchange<Codec>::chooseHome()
{
    const auto &own = m_context.dataCenter;
    const auto &directory = m_context.directory;
    if (!m_residency.allows(directory.regionOf(own)) || !directory.usableIn(m_service, own))
        return chooseHomeAway();
    if (m_context.without.contains(policy::PromptHomes))
        return own;
    if (!m_route->prefixAffinity
        || m_context.placer.poolFor(m_service, own, m_residency).dataCenter.empty())
        return own;
    const auto home = homeOf(m_marks.prompt, nearEngines());
    if (!home || *home == own || *home == m_unreached)
        return own;
    for (std::size_t i = 0; i < m_route->stages.size(); ++i) {
        if (m_marks.pieceCounts[i] == 0)
            continue;
        const auto &service = m_route->stages[i].service;
        const auto there = stagePool(service, *home);
        const auto here = stagePool(service, own);
        const auto longer =
            m_context.times.waitOf(there, stageRank()) - m_context.times.waitOf(here, stageRank());
        if (longer > LongestDetour)
            return own;
    }
    return *home;
}

// Nodes whose own data centre was evacuated, or lost its servers, have a fourth of the traffic
// where there are four. In one other data centre it would crowd out those that belong there, so it
// goes to all of them, to each as it has engines.
template <gateway_codec Codec>
data_center_id exchange<Codec>::chooseHomeAway()
{
    const auto engines = nearEngines();
    if (engines.empty())
        return m_context.dataCenter;
    if (m_route->prefixAffinity && !m_context.without.contains(policy::PromptHomes)) {
        if (const auto home = homeOf(m_marks.prompt, engines))
            return *home;
    }
    const auto drawn =
        std::uniform_int_distribution<std::size_t>(0, engines.size() - 1)(m_context.random);
    return engines[drawn]->record.dataCenter;
}

// Engines of the own region go first: a prompt that is read again takes less time than the way to
// another region and back takes each of its stages.
template <gateway_codec Codec>
std::vector<server_ptr> exchange<Codec>::nearEngines() const
{
    auto engines = m_context.directory.usable(m_service, m_residency);
    const auto now = m_context.loop.now();
    const auto backsOff = [&](const server_ptr &each) { return !each->takes(now); };
    if (!std::ranges::all_of(engines, backsOff))
        std::erase_if(engines, backsOff);
    const auto region = m_context.directory.regionOf(m_context.dataCenter);
    const auto isFar = [&](const server_ptr &each) { return each->region != region; };
    if (m_context.directory.severalRegions() && !std::ranges::all_of(engines, isFar))
        std::erase_if(engines, isFar);
    return engines;
}

template <gateway_codec Codec>
pool_key exchange<Codec>::stagePool(const service_id &service, const data_center_id &near)
{
    return m_context.stages.poolFor(service, near, m_residency);
}

template <gateway_codec Codec>
data_center_id exchange<Codec>::usableNear(const data_center_id &dataCenter,
                                           const service_id &service)
{
    if (m_context.directory.usableIn(service, dataCenter))
        return dataCenter;
    if (!m_context.directory.usableIn(service, m_home))
        m_home = chooseHome();
    return m_home;
}

template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::whyAbsent(const service_id &service) const
{
    switch (m_context.directory.absenceOf(service, m_residency)) {
    case server_absence::Leaving:
        return request_outcome::ServersLeaving;
    case server_absence::Evacuated:
        return request_outcome::Evacuated;
    case server_absence::OutOfRegion:
        return request_outcome::OutOfRegion;
    case server_absence::Gone:
    case server_absence::None:
        break;
    }
    return std::nullopt;
}

template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::whyUnservable()
{
    if (const auto why = whyAbsent(m_service))
        return why;
    const auto wait = m_context.directory.backoffOf(m_service, m_residency);
    if (!wait)
        return std::nullopt;
    m_roomAfter = *wait;
    return request_outcome::ServersBackedOff;
}

// Stage servers ask the host of their pool for time, which told this node when it gave pieces up.
template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::whyUnservable(std::size_t stage)
{
    const auto &service = m_route->stages[stage].service;
    if (const auto why = whyAbsent(service))
        return why;
    const auto wait = m_context.stages.backoffOf(service, m_context.dataCenter, m_residency);
    if (!wait)
        return std::nullopt;
    m_roomAfter = *wait;
    return request_outcome::ServersBackedOff;
}

// Servers that are merely gone may be back in a moment, or others in their place.
template <gateway_codec Codec>
std::optional<request_outcome> exchange<Codec>::foreseenUnservable()
{
    auto why = whyUnservable();
    for (std::size_t i = 0; i < m_route->stages.size() && !why; ++i) {
        if (m_marks.pieceCounts[i] > 0)
            why = whyUnservable(i);
    }
    return why;
}

template <gateway_codec Codec>
request_outline exchange<Codec>::outline() const
{
    return {*m_configuration, *m_route, m_service, stageRank(), m_stagePools, m_marks.pieceCounts};
}

// Told before anything is spent on it; where servers aren't all busy it is served late instead.
template <gateway_codec Codec>
bool exchange<Codec>::foreseenLate() const
{
    const auto seen = m_context.times.outlookOf(outline());
    return seen.crowded && seen.toAnswer > m_route->objective;
}

template <gateway_codec Codec>
void exchange<Codec>::submitReadyPieces()
{
    if (m_work->done()) {
        onStagesDone();
        return;
    }
    const auto request = outline();
    auto stageTimes = m_context.times.stageTimes(request);
    m_afterStages = m_context.times.afterStages(request, stageTimes);
    if (m_context.without.contains(policy::LateLeafStages))
        std::ranges::fill(stageTimes, std::chrono::microseconds{0});
    std::map<std::uint32_t, std::size_t> submitted; // pieces by stage, for the log
    for (auto &each : m_work->takeReady(stageTimes)) {
        piece_job job;
        const auto stage = each.request.stage;
        const auto piece = each.request.piece;
        ++submitted[stage];
        m_stageSince[stage] = m_context.loop.now();
        job.rank = stageRank();
        job.aim = m_arrival + m_route->objective - m_afterStages[stage];
        job.deadline = m_end - m_afterStages[stage];
        job.inputBytes = each.inputBytes;
        job.resultBytes = m_route->stages[stage].resultBytes;
        job.request = std::move(each.request);
        job.request.digest = m_digest;
        const auto inputsIn =
            job.request.inputs.empty() ? m_home : whereResultLies(job.request.inputs.front());
        job.near = usableNear(inputsIn, each.service);
        job.allowed = m_residency;
        m_stagePools[stage] = stagePool(each.service, job.near);
        auto handler = [self = this->shared_from_this(), stage, piece](piece_report report) {
            self->onPiece(stage, piece, std::move(report));
        };
        m_pieces.push_back(
            m_context.stages.submit(each.service, std::move(job), std::move(handler)));
    }
    for (const auto &[stage, pieces] : submitted)
        logStage(stage, pieces);
}

template <gateway_codec Codec>
void exchange<Codec>::onPiece(std::uint32_t stage, std::uint32_t piece, piece_report report)
{
    const auto *closed = std::get_if<piece_failure>(&report.result);
    const bool backedOff = closed && *closed == piece_failure::ServersBackedOff;
    if (!backedOff && !m_context.without.contains(policy::ToldWaits))
        m_context.times.onWait(m_stagePools[stage], stageRank(), report.wait);
    if (m_done)
        return;
    if (auto *handle = std::get_if<std::string>(&report.result)) {
        if (m_work->onResult(stage, piece, std::move(*handle)))
            m_context.times.onStage(m_stagePools[stage], stageRank(),
                                    std::chrono::duration_cast<std::chrono::microseconds>(
                                        m_context.loop.now() - m_stageSince[stage]));
        m_context.stages.free(m_work->takeSpent());
        submitReadyPieces();
        return;
    }
    const auto failure = std::get<piece_failure>(report.result);
    if (isLogged())
        m_decisions.add(lineOf(log_event::PieceFailed)
                            .add("stage", stage)
                            .add("piece", piece)
                            .add("reason", toName(failure))
                            .add("at_ms", sinceArrival().count()));
    if (failure == piece_failure::InputGone && mayRestartStages()) {
        restartStages("input_gone");
        return;
    }
    if (backedOff)
        m_roomAfter = report.wait;
    giveUp(outcomeOf(failure));
}

// What was lost because it lay too long would only be late again.
template <gateway_codec Codec>
bool exchange<Codec>::mayRestartStages()
{
    const bool inTime = m_context.loop.now() < m_arrival + m_route->objective;
    return inTime && !std::exchange(m_stagesRestarted, true);
}

template <gateway_codec Codec>
bool exchange<Codec>::resultsLieIn(const data_center_id &dataCenter) const
{
    return std::ranges::any_of(m_work->allHandles(), [&](const std::string &each) {
        return whereResultLies(each) == dataCenter;
    });
}

template <gateway_codec Codec>
void exchange<Codec>::restartStages(std::string_view reason)
{
    if (isLogged())
        m_decisions.add(lineOf(log_event::StagesRestarted).add("reason", reason));
    leavePlacement();
    withdrawPieces();
    freeResults();
    m_needsStages = false;
    m_home = chooseHome();
    m_work->restart();
    submitReadyPieces();
}

template <gateway_codec Codec>
void exchange<Codec>::onStagesDone()
{
    m_pieces.clear();
    m_needsStages = false;
    if (isLogged())
        m_decisions.add(lineOf(log_event::StagesDone).add("at_ms", sinceArrival().count()));
    attempt();
}

template <gateway_codec Codec>
void exchange<Codec>::withdrawPieces()
{
    for (const auto token : std::exchange(m_pieces, {}))
        m_context.stages.withdraw(token);
}

template <gateway_codec Codec>
void exchange<Codec>::freeResults()
{
    if (!m_work || m_needsStages)
        return;
    m_context.stages.free(m_work->allHandles());
}

template <gateway_codec Codec>
data_center_id exchange<Codec>::whereResultLies(const std::string &handle) const
{
    const auto holder = parseSocketAddress(holderOf(handle));
    const auto server = holder ? m_context.directory.findAt(*holder) : nullptr;
    return server ? server->record.dataCenter : data_center_id{};
}

} // namespace orchidlead::gateway
