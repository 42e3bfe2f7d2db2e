#pragma once

#include "gateway/log_event.h"
#include "gateway/stages/stage_router.h"

#include <set>
#include <utility>

namespace orchidlead::gateway {

/// A host that owes outcomes is asked whether it is there after this silence, and given up when it
/// hasn't answered for so long: a few round trips and a lost packet, against aims of 1.6 s and
/// more.
inline constexpr milliseconds HostPingAfter{100};
inline constexpr milliseconds HostSilence{320};
/// A data centre with three servers and more fills calls by itself; with one or two, calls that are
/// less full cost more than results that cross.
inline constexpr pool_width_limits StagePoolWidths{3, 2};
/// A host that knows that servers leave or are evacuated before this node does is asked again after
/// this: nodes tell each other within a few ticks.
inline constexpr milliseconds ServerNews{150};
/// How long pieces don't go to a pool whose servers couldn't be reached: by then it is known
/// whether their data centre is cut off.
inline constexpr milliseconds UnreachedPause{500};
/// After this many moves a piece stays with this node.
inline constexpr std::uint32_t MaxMoves = 2;

template <gateway_codec Codec>
stage_router<Codec>::stage_router(http::io_loop &loop, wire::log &log, peer_network &peers,
                                  stage_host<Codec> &host, server_directory &directory,
                                  retry_allowance &allowance, const gateway_settings &settings)
    : m_loop(loop)
    , m_log(log)
    , m_peers(peers)
    , m_host(host)
    , m_directory(directory)
    , m_allowance(allowance)
    , m_dataCenter(settings.dataCenter)
    , m_sharing(settings.stageCalls)
    , m_widths(directory, StagePoolWidths)
{
    if (settings.without.contains(policy::SplitPools))
        m_widths.keepJoined();
}

template <gateway_codec Codec>
vm_id stage_router<Codec>::hostOf(const pool_key &pool) const
{
    return m_sharing == stage_sharing::Alone ? m_peers.self() : m_peers.hostOf(pool);
}

template <gateway_codec Codec>
pool_key stage_router<Codec>::poolFor(const service_id &service, const data_center_id &near,
                                      const residency &allowed)
{
    return m_widths.poolFor(service, near, allowed);
}

template <gateway_codec Codec>
typename stage_router<Codec>::link_ptr stage_router<Codec>::linkToHost(const pool_key &pool)
{
    const auto host = hostOf(pool);
    return host == m_peers.self() ? nullptr : m_peers.linkTo(host);
}

template <gateway_codec Codec>
piece_token stage_router<Codec>::submit(const service_id &service, piece_job &&job,
                                        piece_handler &&handler)
{
    const auto token = ++m_lastToken;
    auto &entry = m_submissions[token];
    entry.pool = openPoolFor(service, job.near, job.allowed);
    entry.job = std::move(job);
    entry.handler = std::move(handler);
    place(token, entry);
    return token;
}

template <gateway_codec Codec>
std::optional<milliseconds> stage_router<Codec>::backoffOf(const pool_key &pool) const
{
    const auto found = m_backedOff.find(pool);
    const auto now = m_loop.now();
    // Another host wasn't asked for anything.
    if (found == m_backedOff.end() || found->second.host != hostOf(pool)
        || found->second.until <= now)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(found->second.until - now);
}

template <gateway_codec Codec>
pool_key stage_router<Codec>::openPoolFor(const service_id &service, const data_center_id &near,
                                          const residency &allowed)
{
    auto nearest = poolFor(service, near, allowed);
    if (m_backedOff.empty() || !backoffOf(nearest))
        return nearest;
    if (auto own = poolFor(service, m_dataCenter, allowed);
        own != nearest && !m_directory.usable(own).empty() && !backoffOf(own))
        return own;
    for (const auto &each : m_directory.usable(service, allowed)) {
        auto other = poolFor(service, each->record.dataCenter, allowed);
        if (!backoffOf(other))
            return other;
    }
    return nearest;
}

template <gateway_codec Codec>
std::optional<milliseconds> stage_router<Codec>::backoffOf(const service_id &service,
                                                           const data_center_id &near,
                                                           const residency &allowed)
{
    if (m_backedOff.empty())
        return std::nullopt;
    return backoffOf(openPoolFor(service, near, allowed));
}

template <gateway_codec Codec>
void stage_router<Codec>::onServersChanged(const service_id &service)
{
    std::erase_if(m_backedOff, [&](const auto &entry) { return entry.first.service == service; });
}

template <gateway_codec Codec>
void stage_router<Codec>::place(piece_token token, submission &entry)
{
    entry.link = entry.moves < MaxMoves ? linkToHost(entry.pool) : nullptr;
    if (!entry.link) {
        entry.job.mayMove = ownPoolFor(entry).has_value();
        entry.local = m_host.submit(entry.pool, entry.job, [this, token](piece_report report) {
            onOutcome(token, std::move(report));
        });
        return;
    }
    const auto now = m_loop.now();
    const auto leftUntil = [now](steady_time due) {
        return std::chrono::duration_cast<milliseconds>(due - now);
    };
    entry.link->send(piece_frame{token, entry.pool, entry.job.request, entry.job.rank,
                                 leftUntil(entry.job.aim), leftUntil(entry.job.deadline),
                                 entry.job.near, entry.job.inputBytes, entry.job.resultBytes});
}

template <gateway_codec Codec>
void stage_router<Codec>::free(const std::vector<std::string> &handles)
{
    std::map<pool_key, std::vector<std::string>> byPool;
    for (const auto &each : handles) {
        const auto address = parseSocketAddress(holderOf(each));
        const auto holder = address ? m_directory.findAt(*address) : nullptr;
        // The results of a server that has gone went with it.
        if (holder)
            byPool[poolFor(holder->record.service, holder->record.dataCenter)].push_back(each);
    }
    for (auto &[pool, list] : byPool) {
        if (const auto link = linkToHost(pool))
            link->send(free_frame{std::move(list)});
        else
            m_host.free(list);
    }
}

template <gateway_codec Codec>
void stage_router<Codec>::onOutcome(piece_token token, piece_report report)
{
    const auto found = m_submissions.find(token);
    if (found == m_submissions.end()) {
        if (const auto *handle = std::get_if<std::string>(&report.result))
            m_host.free({*handle});
        return;
    }
    const auto *failure = std::get_if<piece_failure>(&report.result);
    if (failure && *failure == piece_failure::HostUnready && found->second.link) {
        leaveUnreadyHost(token, found->second);
        return;
    }
    if (failure && *failure == piece_failure::ServersBackedOff)
        m_backedOff[found->second.pool] = {hostOf(found->second.pool), m_loop.now() + report.wait};
    if (failure && poolIsClosed(*failure) && moveFromClosed(token, found->second))
        return;
    if (failure && *failure == piece_failure::Unreached && moveHome(token, found->second))
        return;
    const auto handler = std::move(found->second.handler);
    m_submissions.erase(found);
    handler(std::move(report));
}

// No server has begun it, so it is no second try. Where this node sees servers in the pool that its
// host sees leave or evacuated, one of them will know better soon.
template <gateway_codec Codec>
bool stage_router<Codec>::moveFromClosed(piece_token token, submission &entry)
{
    const auto before = std::exchange(
        entry.pool, openPoolFor(entry.pool.service, entry.job.near, entry.job.allowed));
    if (entry.moves++ >= MaxMoves || m_directory.usable(entry.pool).empty()
        || backoffOf(entry.pool))
        return false;
    placeLater(token, entry, entry.pool == before ? ServerNews : milliseconds{0});
    return true;
}

template <gateway_codec Codec>
void stage_router<Codec>::placeLater(piece_token token, submission &entry, milliseconds delay)
{
    entry.link = nullptr;
    entry.local = 0;
    m_loop.callAfter(delay, [this, token] {
        if (const auto found = m_submissions.find(token); found != m_submissions.end())
            place(token, found->second);
    });
}

template <gateway_codec Codec>
std::optional<pool_key> stage_router<Codec>::ownPoolFor(const submission &entry)
{
    auto own = poolFor(entry.pool.service, m_dataCenter, entry.job.allowed);
    if (own == entry.pool || own.dataCenter != m_dataCenter
        || !entry.job.allowed.allows(m_directory.regionOf(m_dataCenter))
        || m_directory.usable(own).empty())
        return std::nullopt;
    return own;
}

// A data centre that is cut off refuses connections at once, and is lost only after a while.
template <gateway_codec Codec>
bool stage_router<Codec>::moveHome(piece_token token, submission &entry)
{
    auto own = ownPoolFor(entry);
    if (!own)
        return false;
    m_backedOff[entry.pool] = {hostOf(entry.pool), m_loop.now() + UnreachedPause};
    entry.pool = std::move(*own);
    entry.job.near = m_dataCenter;
    entry.moves = 0;
    placeLater(token, entry, milliseconds{0});
    return true;
}

template <gateway_codec Codec>
void stage_router<Codec>::leaveUnreadyHost(piece_token token, submission &entry)
{
    if (const auto host = m_peers.peerOf(entry.link))
        m_peers.avoid(*host);
    ++entry.moves;
    place(token, entry);
}

template <gateway_codec Codec>
void stage_router<Codec>::withdraw(piece_token token)
{
    const auto found = m_submissions.find(token);
    if (found == m_submissions.end())
        return;
    if (found->second.link)
        found->second.link->send(withdraw_frame{token});
    else
        m_host.withdraw(found->second.local);
    m_submissions.erase(found);
}

template <gateway_codec Codec>
void stage_router<Codec>::onFrame(const link_ptr &link, peer_frame &&frame)
{
    if (auto *piece = std::get_if<piece_frame>(&frame))
        onPieceFrame(link, std::move(*piece));
    else if (const auto *withdrawn = std::get_if<withdraw_frame>(&frame))
        onWithdrawFrame(link, withdrawn->token);
    else if (auto *outcome = std::get_if<outcome_frame>(&frame))
        onOutcome(outcome->token, std::move(outcome->report));
    else if (const auto *freed = std::get_if<free_frame>(&frame))
        m_host.free(freed->handles);
    else if (std::holds_alternative<ping_frame>(frame))
        link->send(pong_frame{});
}

template <gateway_codec Codec>
void stage_router<Codec>::onPieceFrame(const link_ptr &link, piece_frame &&frame)
{
    const auto theirs = frame.token;
    // A node is taken for a host as soon as it is heard of, and reads the list of servers first.
    if (m_prepared && !m_prepared()) {
        link->send(outcome_frame{theirs, {piece_failure::HostUnready}});
        return;
    }
    const auto now = m_loop.now();
    piece_job job;
    job.request = std::move(frame.request);
    job.rank = frame.rank;
    job.aim = now + frame.aimLeft;
    job.deadline = now + frame.deadlineLeft;
    job.near = frame.near;
    job.inputBytes = frame.inputBytes;
    job.resultBytes = frame.resultBytes;
    auto handler = [this, weak = std::weak_ptr(link), theirs](piece_report report) {
        const auto target = weak.lock();
        if (!target)
            return;
        m_hosted[target].erase(theirs);
        target->send(outcome_frame{theirs, std::move(report)});
    };
    m_hosted[link][theirs] = m_host.submit(frame.pool, std::move(job), std::move(handler));
}

template <gateway_codec Codec>
void stage_router<Codec>::onWithdrawFrame(const link_ptr &link, piece_token token)
{
    auto &hosted = m_hosted[link];
    const auto found = hosted.find(token);
    if (found == hosted.end())
        return;
    m_host.withdraw(found->second);
    hosted.erase(found);
}

template <gateway_codec Codec>
void stage_router<Codec>::onLinkClosed(const link_ptr &link)
{
    if (const auto found = m_hosted.find(link); found != m_hosted.end()) {
        for (const auto &[theirs, ours] : found->second)
            m_host.withdraw(ours);
        m_hosted.erase(found);
    }
    std::vector<piece_token> lost;
    for (const auto &[token, entry] : m_submissions) {
        if (entry.link == link)
            lost.push_back(token);
    }
    if (lost.empty())
        return;
    m_log.write(wire::log_level::Warning,
                m_log.line(wire::log_level::Warning, toName(log_event::StageHostLost))
                    .add("pieces", lost.size()));
    for (const auto token : lost) {
        const auto found = m_submissions.find(token);
        if (found == m_submissions.end())
            continue;
        ++found->second.moves;
        m_allowance.onForced(found->second.pool.service, 1);
        place(token, found->second);
    }
}

template <gateway_codec Codec>
void stage_router<Codec>::tick()
{
    std::set<link_ptr> owing;
    for (const auto &[token, entry] : m_submissions) {
        if (entry.link)
            owing.insert(entry.link);
    }
    for (const auto &link : owing) {
        const auto now = m_loop.now();
        if (link->askedAt() && now - *link->askedAt() > HostSilence)
            link->close();
        else if (now - link->lastHeard() > HostPingAfter)
            link->ask();
    }
}

} // namespace orchidlead::gateway
