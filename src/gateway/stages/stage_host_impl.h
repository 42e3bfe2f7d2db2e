#pragma once

#include "gateway/log_event.h"
#include "gateway/servers/server_head.h"
#include "gateway/stages/stage_host.h"
#include "gateway/stages/stage_host_frees_impl.h"
#include "gateway/stages/stage_versions.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace orchidlead::gateway {

/// How often a node checks for a rate share while its share of a pool's limits is 0.
inline constexpr milliseconds NoShareRetryInterval{200};

/// How often a call is checked that has had no answer within its timeout.
inline constexpr milliseconds TimeoutCheckInterval{100};

template <gateway_codec Codec>
stage_host<Codec>::stage_host(http::io_loop &loop, server_transport &transport,
                              server_directory &directory, service_retry_budget &retryBudget,
                              wire::log &log, gateway_metrics &metrics)
    : m_loop(loop)
    , m_transport(transport)
    , m_directory(directory)
    , m_retryBudget(retryBudget)
    , m_log(log)
    , m_metrics(metrics)
    , m_pacer(loop.clock())
{ }

template <gateway_codec Codec>
void stage_host<Codec>::setConfiguration(const configuration_ptr &configuration)
{
    m_configuration = configuration;
    for (auto &[key, pool] : m_pools) {
        const auto *spec = configuration->findService(key.service);
        if (spec && spec->stage)
            pool->setCapacity(*spec->stage);
    }
}

template <gateway_codec Codec>
stage_pool &stage_host<Codec>::poolOf(const pool_key &key)
{
    auto &entry = m_pools[key];
    if (!entry) {
        entry = std::make_unique<stage_pool>(m_loop.clock(), key.service, m_retryBudget);
        entry->setWaitsForLocalServer(m_waitsForLocalServer);
        entry->setUsesResultRoom(m_usesResultRoom);
        entry->setHedgesCalls(m_hedgesCalls);
        entry->setMayRetry(m_mayRetry);
        const auto *spec = m_configuration ? m_configuration->findService(key.service) : nullptr;
        if (spec && spec->stage)
            entry->setCapacity(*spec->stage);
    }
    return *entry;
}

template <gateway_codec Codec>
piece_token stage_host<Codec>::submit(const pool_key &key, piece_task job, piece_handler handler)
{
    job.token = ++m_lastToken;
    const auto token = job.token;
    // A redirected piece was counted as a request when it arrived at the pool that redirected it.
    if (job.redirectedFrom.empty())
        m_retryBudget.onRequest(key.service);
    const bool arrivesReserved =
        m_admission && m_admission->onPieceArrived(key, job.request.attempt, job.request.stage);
    // The pool that redirected a piece had admitted it.
    job.reserved = arrivesReserved || !job.redirectedFrom.empty();
    m_pending.emplace(token,
                      pending_piece{key, job.rank, job.resultBytes, std::move(handler),
                                    job.request.attempt, job.request.stage, m_loop.now()});
    poolOf(key).submit(std::move(job));
    scheduleDispatch(key);
    return token;
}

template <gateway_codec Codec>
pool_estimate stage_host<Codec>::estimateFor(const pool_key &key, const stage_rank &rank,
                                             std::uint64_t resultBytes)
{
    const auto &pool = poolOf(key);
    const double servers = effectiveServerCount(key);
    return {pool.expectedWait(rank, servers, resultBytes), pool.waiting(),
            pool.piecesPerSecond(rank, servers), pool.resultBytesPerSecond(servers, resultBytes),
            std::chrono::duration_cast<milliseconds>(pool.fullCallTime())};
}

template <gateway_codec Codec>
void stage_host<Codec>::withdraw(piece_token token)
{
    const auto found = m_pending.find(token);
    if (found == m_pending.end())
        return;
    poolOf(found->second.key).withdraw(token);
    m_pending.erase(found);
}

// The dispatch is posted to the loop, so that all pieces of a request are submitted before a call
// is formed.
template <gateway_codec Codec>
void stage_host<Codec>::scheduleDispatch(const pool_key &key)
{
    if (std::exchange(m_dispatchScheduled[key], true))
        return;
    m_loop.post([this, key] {
        m_dispatchScheduled[key] = false;
        dispatch(key);
    });
}

template <gateway_codec Codec>
void stage_host<Codec>::onServersChanged(const service_id &service)
{
    const auto exists = [this](const server_start &start) {
        const auto known = m_directory.find(start.id);
        return known && known->record.start() == start;
    };
    for (const auto &[key, pool] : m_pools) {
        if (key.service != service)
            continue;
        pool->forgetServers(exists);
        scheduleDispatch(key);
    }
}

template <gateway_codec Codec>
double stage_host<Codec>::rateShareOf(const pool_key &key) const
{
    return m_rateShare ? m_rateShare(key) : 0.0;
}

template <gateway_codec Codec>
double stage_host<Codec>::rateShareOf(const server &poolServer) const
{
    const auto found = std::ranges::find_if(
        m_pools, [&](const auto &entry) { return poolServer.isIn(entry.first); });
    return found == m_pools.end() ? 0.0 : rateShareOf(found->first);
}

template <gateway_codec Codec>
std::optional<steady_time>
stage_host<Codec>::removePacedServers(const pool_key &key, std::vector<server_ptr> &servers) const
{
    std::optional<steady_time> next;
    const double share = rateShareOf(key);
    std::erase_if(servers, [&](const server_ptr &each) {
        auto at = each->acceptsFrom();
        if (at <= m_loop.now() && m_pacer.allows(*each, share))
            return false;
        if (at <= m_loop.now())
            at = share > 0 ? m_pacer.nextAllowedAt(*each, share)
                           : m_loop.now() + NoShareRetryInterval;
        next = std::min(next.value_or(at), at);
        return true;
    });
    return next;
}

template <gateway_codec Codec>
std::optional<piece_failure>
stage_host<Codec>::closedReason(const pool_key &key, const std::vector<server_ptr> &servers) const
{
    if (m_directory.backoffOf(servers))
        return piece_failure::ServersBackingOff;
    if (!servers.empty())
        return std::nullopt;
    switch (m_directory.unavailabilityOf(key)) {
    case unavailability::Evacuated:
        return piece_failure::Evacuated;
    case unavailability::Leaving:
        return piece_failure::ServersLeaving;
    case unavailability::None:
    case unavailability::NoneReachable:
    case unavailability::NoServerInRegion:
        break;
    }
    return std::nullopt;
}

template <gateway_codec Codec>
double stage_host<Codec>::effectiveServerCount(const pool_key &key)
{
    const std::chrono::duration<double> call = poolOf(key).fullCallTime();
    double serverCount = 0.0;
    for (const auto &each : m_directory.usable(key)) {
        if (!each->accepts(m_loop.now()))
            continue;
        const auto bound = each->effectiveRateLimit(m_loop.now());
        serverCount +=
            bound ? std::min(1.0, bound->perSecond * rateShareOf(key) * call.count()) : 1.0;
    }
    return serverCount;
}

template <gateway_codec Codec>
void stage_host<Codec>::dispatch(const pool_key &key)
{
    auto &pool = poolOf(key);
    auto servers = m_directory.usable(key);
    if (const auto reason = closedReason(key, servers))
        deliver(pool.failAll(*reason));
    deliver(pool.failWithoutVersion(servers));
    redirectPieces(key);
    deliver(pool.expire(effectiveServerCount(key)));
    const auto paced = removePacedServers(key, servers);
    while (const auto call = pool.nextCall(servers)) {
        m_pacer.onSent(*call->server, rateShareOf(key));
        startCall(key, *call);
    }
    if (pool.waiting() > 0)
        deliver(pool.failUnreached(m_directory.usable(key)));
    m_loop.cancelTimer(std::exchange(m_wakeupTimers[key], 0));
    if (m_redirection)
        m_redirection->onDispatched(key, pool.waiting(), pool.capacity().maxPiecesPerCall);
    auto wake = pool.wakeAt();
    if (paced && pool.waiting() > 0 && (!wake || *paced < *wake))
        wake = paced;
    if (wake) {
        const auto delay = std::chrono::ceil<std::chrono::microseconds>(*wake - m_loop.now());
        m_wakeupTimers[key] = m_loop.callAfter(delay, [this, key] { dispatch(key); });
    }
}

// Called before late pieces are dropped: in another pool they may be in time.
template <gateway_codec Codec>
void stage_host<Codec>::redirectPieces(const pool_key &key)
{
    auto &pool = poolOf(key);
    if (!m_redirection || pool.waiting() == 0)
        return;
    const auto targets = m_redirection->targetsOf(key);
    if (targets.empty())
        return;
    const auto redirections = chooseRedirections(pool.redirectableGroups(effectiveServerCount(key)),
                                                 targets, pool.capacity());
    if (redirections.empty())
        return;
    deliver(pool.takeGroups(redirections));
    m_redirection->onRedirected(key, redirections);
}

template <gateway_codec Codec>
pool_load stage_host<Codec>::loadOf(const pool_key &key)
{
    auto servers = m_directory.usable(key);
    static_cast<void>(removePacedServers(key, servers));
    return poolOf(key).loadOf(key, servers, effectiveServerCount(key));
}

template <gateway_codec Codec>
void stage_host<Codec>::tick()
{
    if (!m_redirection)
        return;
    for (const auto &[key, pool] : m_pools) {
        if (pool->waiting() > 0 && !key.dataCenter.empty())
            scheduleDispatch(key);
    }
}

template <gateway_codec Codec>
void stage_host<Codec>::startCall(const pool_key &key, const stage_call &call)
{
    const auto active = std::make_shared<active_call>();
    active->key = key;
    active->stageCall = call;
    active->startedAt = m_loop.now();
    m_activeCalls.insert(active);
    if (call.overdueServer)
        recordHedgeStart(key, call);
    http::outbound_call outbound;
    outbound.body = Codec::writePieces(call.pieces);
    outbound.maxBodyBytes = MaxStageAnswerBytes;
    outbound.writeHead = [this, call, active,
                          length = outbound.body.size()]() -> std::optional<std::string> {
        // The server may have started to leave or asked for a backoff while the connection opened.
        active->withheld = !call.server->accepts(m_loop.now());
        if (active->withheld)
            return std::nullopt;
        m_directory.onSending(*call.server);
        auto head = makeServerHead<Codec>("POST", Codec::stagePath(), call.server->record);
        head.fields.push_back({"Content-Length", std::to_string(length)});
        return http::formatHead(head);
    };
    outbound.onHead = [this, active](const http::response_head &head) {
        active->status = head.status;
        active->metadata = Codec::readAnswer(head);
        m_directory.onResponseBegin(*active->stageCall.server);
        m_directory.onSignals(*active->stageCall.server, active->metadata.server);
    };
    outbound.onBody = [active](std::string_view bytes) { active->body.append(bytes); };
    outbound.onEnd = [this, active](http::call_end httpEnd) { onCallEnd(active, httpEnd); };
    active->call = m_transport.start({call.server, std::move(outbound), {}, true});
    active->timer = m_loop.callAfter(call.timeout, [this, active] { onCallTimeout(active); });
}

template <gateway_codec Codec>
void stage_host<Codec>::onCallTimeout(const std::shared_ptr<active_call> &active)
{
    const auto key = active->key;
    auto servers = m_directory.usable(key);
    static_cast<void>(removePacedServers(key, servers));
    const auto action = poolOf(key).onTimeout(active->stageCall.id, servers);
    active->timer = 0;
    if (action.ends) {
        endCall(active);
        return;
    }
    active->timer =
        m_loop.callAfter(TimeoutCheckInterval, [this, active] { onCallTimeout(active); });
    if (!action.second)
        return;
    m_pacer.onSent(*action.second->server, rateShareOf(key));
    startCall(key, *action.second);
    const auto replaced = std::ranges::find_if(m_activeCalls, [&](const auto &each) {
        return each->key == key && each->stageCall.id == action.replaced;
    });
    if (replaced != m_activeCalls.end())
        endCall(std::shared_ptr(*replaced));
}

template <gateway_codec Codec>
void stage_host<Codec>::endCall(const std::shared_ptr<active_call> &active)
{
    m_transport.abandon(active->call);
    onCallEnd(active, http::call_end::TimedOut);
}

template <gateway_codec Codec>
void stage_host<Codec>::onDataCenterLost(const data_center_id &dataCenter)
{
    endCalls([&](const active_call &each) {
        return each.stageCall.server->record.dataCenter == dataCenter;
    });
    for (auto &[key, pool] : m_pools) {
        deliver(pool->failWithInputsIn(dataCenter));
        scheduleDispatch(key);
    }
}

template <gateway_codec Codec>
void stage_host<Codec>::onServersCutOff()
{
    endCalls([this](const active_call &each) { return m_transport.isLost(each.call); });
}

template <gateway_codec Codec>
template <class Predicate>
void stage_host<Codec>::endCalls(Predicate isLost)
{
    const auto open = m_activeCalls;
    for (const auto &each : open) {
        if (!isLost(*each))
            continue;
        endCall(each);
    }
}

template <gateway_codec Codec>
void stage_host<Codec>::onCallEnd(const std::shared_ptr<active_call> &ended, http::call_end httpEnd)
{
    m_loop.cancelTimer(ended->timer);
    m_activeCalls.erase(ended);
    const auto &key = ended->key;
    const auto &call = ended->stageCall;
    const auto &active = *ended;
    constexpr int Ok = 200;
    constexpr int Misdirected = 421;
    auto end = stage_call_end::Broken;
    std::vector<piece_result> results;
    if (httpEnd == http::call_end::NotSent && active.withheld) {
        end = stage_call_end::Withheld;
    } else if (httpEnd == http::call_end::NotSent) {
        end = stage_call_end::NotSent;
        m_directory.onFailure(*call.server);
    } else if (httpEnd == http::call_end::Complete && active.status == Ok) {
        auto read = Codec::readPieces(active.body);
        if (read && read.value().size() == call.pieces.size()) {
            end = stage_call_end::Answered;
            results = std::move(read).value();
        }
    } else if (httpEnd == http::call_end::Complete
               && (active.metadata.notExecuted || active.status == Misdirected)) {
        end = stage_call_end::NotRun;
        if (active.status == Misdirected)
            call.server->removed = true;
    }
    if (end == stage_call_end::Answered)
        m_directory.onAnswer(*call.server);
    else if (end == stage_call_end::Broken)
        m_directory.onFailure(*call.server);
    if (httpEnd == http::call_end::Broken && call.server->usable() && m_onBroken) {
        for (const auto &piece : call.pieces)
            m_onBroken(*call.server, {crash_subject{piece.digest, active.startedAt}});
    }
    if (end != stage_call_end::Answered)
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(log_event::StageCallFailed))
                        .add("service", key.service.value)
                        .add("server", call.server->record.id.value)
                        .add("pieces", call.pieces.size())
                        .add("status", active.status)
                        .add("end", toName(httpEnd)));
    m_metrics.onStageCall(
        key.service,
        {end, call.pieces.size(), call.longestWait,
         std::chrono::duration_cast<milliseconds>(m_loop.now() - active.startedAt)});
    logFailedPieces(key, call, results);
    deliver(poolOf(key).onEnd(call.id, end, results));
    if (call.overdueServer)
        recordHedgeEnd(key, call, poolOf(key).takeHedgeCounts());
    dispatch(key);
}

template <gateway_codec Codec>
void stage_host<Codec>::recordHedgeStart(const pool_key &key, const stage_call &call)
{
    m_metrics.onHedgedPieces(key.service, hedge_event::Started, call.pieces.size());
    m_log.write(wire::log_level::Info,
                m_log.line(wire::log_level::Info, toName(log_event::HedgedCall))
                    .add("service", key.service.value)
                    .add("server", call.server->record.id.value)
                    .add("overdue_server", call.overdueServer->record.id.value)
                    .add("overdue_age_ms", call.overdueAge.count())
                    .add("pieces", call.pieces.size()));
}

template <gateway_codec Codec>
void stage_host<Codec>::recordHedgeEnd(const pool_key &key, const stage_call &call,
                                       const hedge_counts &counts)
{
    m_metrics.onHedgedPieces(key.service, hedge_event::Used, counts.used);
    m_metrics.onHedgedPieces(key.service, hedge_event::Freed, counts.freed);
    m_metrics.onHedgedPieces(key.service, hedge_event::Failed, counts.failed);
    m_log.write(wire::log_level::Info,
                m_log.line(wire::log_level::Info, toName(log_event::HedgedCallEnded))
                    .add("service", key.service.value)
                    .add("server", call.server->record.id.value)
                    .add("overdue_server", call.overdueServer->record.id.value)
                    .add("used", counts.used)
                    .add("freed", counts.freed)
                    .add("failed", counts.failed));
}

template <gateway_codec Codec>
void stage_host<Codec>::logFailedPieces(const pool_key &key, const stage_call &call,
                                        const std::vector<piece_result> &results)
{
    std::map<piece_failure, std::size_t> counts;
    for (const auto &each : results) {
        if (const auto *failure = std::get_if<piece_failure>(&each))
            ++counts[*failure];
    }
    for (const auto &[failure, count] : counts) {
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(log_event::PiecesFailed))
                        .add("service", key.service.value)
                        .add("server", call.server->record.id.value)
                        .add("reason", toName(failure))
                        .add("count", count)
                        .add("of", results.size())
                        .add("held_bytes", poolOf(key).heldBytesAt(call.server->record.start())));
    }
}

template <gateway_codec Codec>
std::map<service_id, std::size_t> stage_host<Codec>::waiting() const
{
    std::map<service_id, std::size_t> counts;
    for (const auto &[key, pool] : m_pools)
        counts[key.service] += pool->waiting();
    return counts;
}

template <gateway_codec Codec>
std::map<service_id, std::uint64_t> stage_host<Codec>::heldResultBytes() const
{
    std::map<service_id, std::uint64_t> bytes;
    for (const auto &[key, pool] : m_pools)
        bytes[key.service] += pool->room().totalHeldBytes();
    return bytes;
}

template <gateway_codec Codec>
void stage_host<Codec>::logSummaries()
{
    for (auto &[key, pool] : m_pools) {
        const auto summary = pool->takeSummary();
        if (summary.calls == 0 && pool->waiting() == 0)
            continue;
        auto line = m_log.line(wire::log_level::Info, toName(log_event::StagePool));
        line.add("service", key.service.value).add("calls", summary.calls);
        if (!key.dataCenter.empty())
            line.add("data_center", key.dataCenter.value);
        line.add("open", pool->activeCallCount()).add("waiting", pool->waiting());
        line.add("hedged", summary.hedgedCalls);
        line.add("without_room", summary.withoutRoom);
        line.add("held_bytes", pool->room().totalHeldBytes());
        line.add("hold_ms", std::chrono::duration_cast<milliseconds>(pool->holdTime()).count());
        for (const auto &[priority, rank] : summary.ranks) {
            const auto suffix = "_" + std::to_string(priority);
            line.add("pieces" + suffix, rank.pieces);
            line.add("mean_wait_ms" + suffix, rank.totalWait.count() / std::max(1U, rank.pieces));
            line.add("dropped" + suffix, rank.dropped);
        }
        m_log.write(wire::log_level::Info, std::move(line));
    }
}

// Logs one line for each stage of a request and reason, with the current load of its pool.
template <gateway_codec Codec>
void stage_host<Codec>::logGivenUpPieces(const std::vector<piece_outcome> &outcomes)
{
    struct given_up
    {
        pool_key key;
        std::size_t count = 0;
        milliseconds waited{0};
    };
    std::map<std::tuple<std::string, std::uint32_t, piece_failure>, given_up> groups;
    for (const auto &each : outcomes) {
        const auto *failure = std::get_if<piece_failure>(&each.result);
        const auto found = m_pending.find(each.token);
        // The redirector logs redirected pieces.
        if (!failure || *failure == piece_failure::Redirected || found == m_pending.end())
            continue;
        const auto &piece = found->second;
        auto &group = groups[{piece.attempt, piece.stage, *failure}];
        group.key = piece.key;
        ++group.count;
        group.waited =
            std::max(group.waited,
                     std::chrono::duration_cast<milliseconds>(m_loop.now() - piece.submittedAt));
    }
    for (const auto &[key, group] : groups) {
        const auto &[attempt, stage, failure] = key;
        const auto &pool = poolOf(group.key);
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(log_event::PiecesGivenUp))
                        .add("request", attempt)
                        .add("stage", stage)
                        .add("service", group.key.service.value)
                        .add("reason", toName(failure))
                        .add("pieces", group.count)
                        .add("waited_ms", group.waited.count())
                        .add("waiting", pool.waiting())
                        .add("calls_open", pool.activeCallCount())
                        .add("servers", m_directory.usable(group.key).size()));
    }
}

template <gateway_codec Codec>
void stage_host<Codec>::deliver(const std::vector<piece_outcome> &outcomes)
{
    logGivenUpPieces(outcomes);
    for (const auto &each : outcomes) {
        const auto found = m_pending.find(each.token);
        if (found == m_pending.end()) {
            if (const auto *handle = std::get_if<std::string>(&each.result))
                freeResults({*handle});
            continue;
        }
        const auto piece = std::move(found->second);
        m_pending.erase(found);
        piece_report report{each.result, expectedWaitAfter(piece, each.result), each.redirectedTo};
        if (std::holds_alternative<std::string>(each.result)
            && hadSeveralVersions(m_directory, piece.key.service, m_loop.now())) {
            report.pool = piece.key;
            report.version = each.version;
        }
        piece.handler(std::move(report));
    }
}

template <gateway_codec Codec>
milliseconds stage_host<Codec>::expectedWaitAfter(const pending_piece &piece,
                                                  const piece_result &result)
{
    const auto *failure = std::get_if<piece_failure>(&result);
    if (failure && *failure == piece_failure::ServersBackingOff)
        return m_directory.backoffOf(piece.key).value_or(milliseconds{0});
    return poolOf(piece.key).expectedWait(piece.rank, effectiveServerCount(piece.key),
                                          piece.resultBytes);
}

} // namespace orchidlead::gateway
