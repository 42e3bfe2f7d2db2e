#pragma once

#include "core/settings/socket_address_text.h"
#include "gateway/log_event.h"
#include "gateway/stages/stage_host.h"
#include "gateway/stages/stage_host_frees_impl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace orchidlead::gateway {

/// A host that may let nothing go to bounded servers yet looks again after this.
inline constexpr milliseconds NoShareRetry{200};

template <gateway_codec Codec>
stage_host<Codec>::stage_host(http::io_loop &loop, http::connection_pool &pool,
                              server_directory &directory, retry_allowance &allowance,
                              wire::log &log, gateway_metrics &metrics)
    : m_loop(loop)
    , m_pool(pool)
    , m_directory(directory)
    , m_allowance(allowance)
    , m_log(log)
    , m_metrics(metrics)
    , m_pace(loop.clock())
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
        entry = std::make_unique<stage_pool>(m_loop.clock(), key.service, m_allowance);
        entry->setWaitsForNear(m_waitsForNear);
        entry->setMayRepeat(m_mayRepeat);
        const auto *spec = m_configuration ? m_configuration->findService(key.service) : nullptr;
        if (spec && spec->stage)
            entry->setCapacity(*spec->stage);
    }
    return *entry;
}

template <gateway_codec Codec>
piece_token stage_host<Codec>::submit(const pool_key &key, piece_job job, piece_handler handler)
{
    job.token = ++m_lastToken;
    const auto token = job.token;
    m_allowance.onRequest(key.service);
    m_pending.emplace(token,
                      pending{key, job.rank, std::move(handler), job.request.attempt,
                              job.request.stage, m_loop.now()});
    poolOf(key).submit(std::move(job));
    schedulePump(key);
    return token;
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

// Posted, so that all pieces of a request are there before a call is formed.
template <gateway_codec Codec>
void stage_host<Codec>::schedulePump(const pool_key &key)
{
    if (std::exchange(m_scheduled[key], true))
        return;
    m_loop.post([this, key] {
        m_scheduled[key] = false;
        pump(key);
    });
}

template <gateway_codec Codec>
void stage_host<Codec>::onServersChanged(const service_id &service)
{
    for (const auto &[key, pool] : m_pools) {
        if (key.service == service)
            schedulePump(key);
    }
}

template <gateway_codec Codec>
double stage_host<Codec>::shareOf(const pool_key &key) const
{
    return m_rateShare ? m_rateShare(key) : 0.0;
}

template <gateway_codec Codec>
double stage_host<Codec>::shareOf(const server &which) const
{
    const auto found =
        std::ranges::find_if(m_pools, [&](const auto &entry) { return which.isIn(entry.first); });
    return found == m_pools.end() ? 0.0 : shareOf(found->first);
}

template <gateway_codec Codec>
std::optional<steady_time> stage_host<Codec>::leaveOutPaced(const pool_key &key,
                                                            std::vector<server_ptr> &servers) const
{
    std::optional<steady_time> next;
    const double share = shareOf(key);
    std::erase_if(servers, [&](const server_ptr &each) {
        auto at = each->takesFrom();
        if (at <= m_loop.now() && m_pace.allows(*each, share))
            return false;
        if (at <= m_loop.now())
            at = share > 0 ? m_pace.nextAt(*each, share) : m_loop.now() + NoShareRetry;
        next = std::min(next.value_or(at), at);
        return true;
    });
    return next;
}

template <gateway_codec Codec>
std::optional<piece_failure>
stage_host<Codec>::whyClosed(const pool_key &key, const std::vector<server_ptr> &servers) const
{
    if (m_directory.backoffOf(servers))
        return piece_failure::ServersBackedOff;
    if (!servers.empty())
        return std::nullopt;
    switch (m_directory.absenceOf(key)) {
    case server_absence::Evacuated:
        return piece_failure::Evacuated;
    case server_absence::Leaving:
        return piece_failure::ServersLeaving;
    case server_absence::None:
    case server_absence::Gone:
    case server_absence::OutOfRegion:
        break;
    }
    return std::nullopt;
}

template <gateway_codec Codec>
double stage_host<Codec>::strengthOf(const pool_key &key)
{
    const std::chrono::duration<double> call = poolOf(key).fullCall();
    double strength = 0.0;
    for (const auto &each : m_directory.usable(key)) {
        if (!each->takes(m_loop.now()))
            continue;
        const auto bound = each->bound(m_loop.now());
        strength += bound ? std::min(1.0, bound->perSecond * shareOf(key) * call.count()) : 1.0;
    }
    return strength;
}

template <gateway_codec Codec>
void stage_host<Codec>::pump(const pool_key &key)
{
    auto &pool = poolOf(key);
    auto servers = m_directory.usable(key);
    if (const auto why = whyClosed(key, servers))
        deliver(pool.giveUpAll(*why));
    deliver(pool.expire(strengthOf(key)));
    auto wake = leaveOutPaced(key, servers);
    while (const auto call = pool.next(servers)) {
        m_pace.onSent(*call->server, shareOf(key));
        make(key, *call);
    }
    if (pool.waiting() > 0)
        deliver(pool.giveUpUnreached(m_directory.usable(key)));
    m_loop.cancelTimer(std::exchange(m_wakeups[key], 0));
    if (pool.waiting() == 0)
        return;
    if (const auto next = pool.wakeAt())
        wake = std::min(wake.value_or(*next), *next);
    if (wake) {
        const auto delay = std::chrono::ceil<std::chrono::microseconds>(*wake - m_loop.now());
        m_wakeups[key] = m_loop.callAfter(delay, [this, key] { pump(key); });
    }
}

template <gateway_codec Codec>
void stage_host<Codec>::make(const pool_key &key, const stage_call &call)
{
    const auto answer = std::make_shared<call_answer>();
    answer->key = key;
    answer->made = call;
    answer->began = m_loop.now();
    m_open.insert(answer);
    http::outbound_call made;
    made.body = Codec::writePieces(call.pieces);
    made.writeHead = [this, call, answer,
                      length = made.body.size()]() -> std::optional<std::string> {
        // The server may have begun to leave while the connection was opened, or asked for time.
        answer->withheld = !call.server->takes(m_loop.now());
        if (answer->withheld)
            return std::nullopt;
        m_directory.onSending(*call.server);
        http::request_head head;
        head.method = "POST";
        head.target = Codec::stagePath();
        head.fields = Codec::stageFields(call.server->record.id);
        head.fields.push_back({"Host", toText(call.server->record.address)});
        head.fields.push_back({"Content-Length", std::to_string(length)});
        return http::formatHead(head);
    };
    made.onHead = [this, answer](const http::response_head &head) {
        answer->status = head.status;
        answer->marks = Codec::readAnswer(head);
        m_directory.onAnswerBegun(*answer->made.server);
        m_directory.onSignals(*answer->made.server, answer->marks.server);
    };
    made.onBody = [answer](std::string_view bytes) { answer->body.append(bytes); };
    made.onEnd = [this, answer](http::call_end how) { onCallEnd(answer, how); };
    answer->call = m_pool.start(call.server->record.address, std::move(made));
    answer->timer = m_loop.callAfter(call.timeout, [this, answer] {
        answer->timer = 0;
        m_pool.abandon(answer->call);
        onCallEnd(answer, http::call_end::TimedOut);
    });
}

template <gateway_codec Codec>
void stage_host<Codec>::onDataCenterLost(const data_center_id &dataCenter)
{
    const auto open = m_open;
    for (const auto &each : open) {
        if (each->made.server->record.dataCenter != dataCenter)
            continue;
        m_pool.abandon(each->call);
        onCallEnd(each, http::call_end::TimedOut);
    }
    for (auto &[key, pool] : m_pools) {
        deliver(pool->dropInputsIn(dataCenter));
        schedulePump(key);
    }
}

template <gateway_codec Codec>
void stage_host<Codec>::onCallEnd(const std::shared_ptr<call_answer> &ended, http::call_end how)
{
    m_loop.cancelTimer(ended->timer);
    m_open.erase(ended);
    const auto &key = ended->key;
    const auto &call = ended->made;
    const auto &answer = *ended;
    constexpr int Ok = 200;
    constexpr int Misdirected = 421;
    auto end = stage_call_end::Broken;
    std::vector<piece_result> results;
    if (how == http::call_end::NotSent && answer.withheld) {
        end = stage_call_end::Withheld;
    } else if (how == http::call_end::NotSent) {
        end = stage_call_end::NotSent;
        m_directory.onFailure(*call.server);
    } else if (how == http::call_end::Complete && answer.status == Ok) {
        auto read = Codec::readPieces(answer.body);
        if (read && read.value().size() == call.pieces.size()) {
            end = stage_call_end::Answered;
            results = std::move(read).value();
        }
    } else if (how == http::call_end::Complete
               && (answer.marks.notRun || answer.status == Misdirected)) {
        end = stage_call_end::NotRun;
        if (answer.status == Misdirected)
            call.server->gone = true;
    }
    if (end == stage_call_end::Answered)
        m_directory.onAnswer(*call.server);
    else if (end == stage_call_end::Broken)
        m_directory.onFailure(*call.server);
    if (how == http::call_end::Broken && call.server->usable() && m_onBroken) {
        for (const auto &piece : call.pieces)
            m_onBroken(*call.server, {piece.digest, answer.began});
    }
    if (end != stage_call_end::Answered)
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(log_event::StageCallFailed))
                        .add("service", key.service.value)
                        .add("server", call.server->record.id.value)
                        .add("pieces", call.pieces.size())
                        .add("status", answer.status)
                        .add("end", toName(how)));
    m_metrics.onStageCall(key.service,
                          {end, call.pieces.size(), call.longestWait,
                           std::chrono::duration_cast<milliseconds>(m_loop.now() - answer.began)});
    logFailedPieces(key, call, results);
    deliver(poolOf(key).onEnd(call.id, end, results));
    pump(key);
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
                        .add("held_bytes", poolOf(key).heldAt(call.server->record.start())));
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
        line.add("open", pool->callsOpen()).add("waiting", pool->waiting());
        line.add("without_room", summary.withoutRoom);
        for (const auto &[priority, rank] : summary.ranks) {
            const auto suffix = "_" + std::to_string(priority);
            line.add("pieces" + suffix, rank.pieces);
            line.add("mean_wait_ms" + suffix, rank.waited.count() / std::max(1U, rank.pieces));
            line.add("dropped" + suffix, rank.dropped);
        }
        m_log.write(wire::log_level::Info, std::move(line));
    }
}

// One line for each stage of a request, with what there was at that moment.
template <gateway_codec Codec>
void stage_host<Codec>::logGivenUp(const std::vector<piece_outcome> &outcomes)
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
        if (!failure || found == m_pending.end())
            continue;
        const auto &piece = found->second;
        auto &group = groups[{piece.attempt, piece.stage, *failure}];
        group.key = piece.key;
        ++group.count;
        group.waited = std::max(
            group.waited, std::chrono::duration_cast<milliseconds>(m_loop.now() - piece.since));
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
                        .add("calls_open", pool.callsOpen())
                        .add("servers", m_directory.usable(group.key).size()));
    }
}

template <gateway_codec Codec>
void stage_host<Codec>::deliver(const std::vector<piece_outcome> &outcomes)
{
    logGivenUp(outcomes);
    for (const auto &each : outcomes) {
        const auto found = m_pending.find(each.token);
        if (found == m_pending.end()) {
            if (const auto *handle = std::get_if<std::string>(&each.result))
                free({*handle});
            continue;
        }
        const auto piece = std::move(found->second);
        m_pending.erase(found);
        piece.handler({each.result, waitAfter(piece.key, piece.rank, each.result)});
    }
}

template <gateway_codec Codec>
milliseconds stage_host<Codec>::waitAfter(const pool_key &key, const stage_rank &rank,
                                          const piece_result &result)
{
    const auto *failure = std::get_if<piece_failure>(&result);
    if (failure && *failure == piece_failure::ServersBackedOff)
        return m_directory.backoffOf(key).value_or(milliseconds{0});
    return poolOf(key).waitOf(rank, strengthOf(key));
}

} // namespace orchidlead::gateway
