#pragma once

#include "gateway/log_event.h"
#include "gateway/stages/stage_router.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace orchidlead::gateway {

/// A host with outstanding pieces is pinged after `HostPingDelay` without a frame from it, and its
/// link is closed when a ping is unanswered for `HostTimeout`. The timeout covers a few round trips
/// and a lost packet, and is short against latency objectives of 1.6 s and more.
inline constexpr milliseconds HostPingDelay{100};
inline constexpr milliseconds HostTimeout{320};
/// A data centre with three or more servers fills calls by itself. With one or two, the cost of
/// calls with fewer pieces exceeds that of transferring results between data centres. Pools are
/// split from three servers on and joined again below two.
inline constexpr pool_split_limits StagePoolSplitLimits{3, 2};
/// Delay before a piece is sent again to a host that reports its servers as leaving or evacuated
/// while this node still considers them usable. Nodes exchange such updates within a few ticks.
inline constexpr milliseconds ServerUpdateDelay{150};
/// How long a pool whose servers couldn't be reached gets no pieces. After this time it is known
/// whether the data centre of the pool is cut off.
inline constexpr milliseconds UnreachablePoolPause{500};
/// After this many moves a piece stays with this node's `stage_host`.
inline constexpr std::uint32_t MaxMoves = 2;
template <gateway_codec Codec>
stage_router<Codec>::stage_router(http::io_loop &loop, wire::log &log, peer_network &peers,
                                  stage_host<Codec> &host, server_directory &directory,
                                  service_retry_budget &retryBudget, gateway_metrics &metrics,
                                  const gateway_settings &settings)
    : m_loop(loop)
    , m_log(log)
    , m_peers(peers)
    , m_host(host)
    , m_directory(directory)
    , m_retryBudget(retryBudget)
    , m_dataCenter(settings.dataCenter)
    , m_sharing(settings.stageCallSharing)
    , m_splitter(directory, StagePoolSplitLimits)
    , m_endedSubmitters(loop, peers,
                        [this](const peer_process &submitter, bool hasEnded) {
                            onSubmitterDecided(submitter, hasEnded);
                        })
    , m_freesResultsOfLostPeers(!settings.disabledPolicies.contains(policy::ResultRoom))
{
    if (settings.disabledPolicies.contains(policy::SplitPools))
        m_splitter.disableSplitting();
    if (settings.disabledPolicies.contains(policy::PieceRedirection)
        || m_sharing == stage_sharing::Alone)
        return;
    m_redirector = std::make_unique<pool_redirector>(
        loop.clock(), log, metrics, peers, directory, m_splitter,
        pool_redirector::callbacks{[this](const pool_key &pool) { return hostOf(pool); },
                                   [this](const pool_key &pool) { return m_host.loadOf(pool); }});
    m_host.setRedirection(
        {[this](const pool_key &pool) { return m_redirector->targetsOf(pool); },
         [this](const pool_key &from, const std::vector<piece_redirection> &redirections) {
             m_redirector->onRedirected(from, redirections);
         },
         [this](const pool_key &pool, std::size_t waiting, std::uint32_t fullCall) {
             m_redirector->report(pool, waiting, fullCall);
         }});
}

template <gateway_codec Codec>
vm_id stage_router<Codec>::hostOf(const pool_key &pool) const
{
    return m_sharing == stage_sharing::Alone ? m_peers.self() : m_peers.hostOf(pool);
}

template <gateway_codec Codec>
pool_key stage_router<Codec>::poolFor(const service_id &service,
                                      const data_center_id &preferredDataCenter,
                                      const residency &allowed)
{
    return m_splitter.poolFor(service, preferredDataCenter, allowed);
}

template <gateway_codec Codec>
typename stage_router<Codec>::link_ptr stage_router<Codec>::linkToHost(const pool_key &pool)
{
    const auto host = hostOf(pool);
    return host == m_peers.self() ? nullptr : m_peers.linkTo(host);
}

template <gateway_codec Codec>
piece_token stage_router<Codec>::submit(const service_id &service, piece_task &&job,
                                        piece_handler &&handler)
{
    const auto token = ++m_lastToken;
    auto &entry = m_submissions[token];
    const bool isReserved = job.reservedPool && takesPieces(*job.reservedPool, job.version);
    entry.pool = isReserved
        ? *job.reservedPool
        : availablePoolFor(service, job.preferredDataCenter, job.allowed, job.version);
    entry.job = std::move(job);
    entry.job.mayBeRedirected = m_redirector && !entry.job.allowed.restricted();
    entry.handler = std::move(handler);
    routePiece(token, entry);
    return token;
}

template <gateway_codec Codec>
pool_key stage_router<Codec>::poolOf(piece_token token) const
{
    const auto found = m_submissions.find(token);
    return found == m_submissions.end() ? pool_key{} : found->second.pool;
}

template <gateway_codec Codec>
std::optional<milliseconds> stage_router<Codec>::backoffOf(const pool_key &pool) const
{
    const auto found = m_backedOffPools.find(pool);
    const auto now = m_loop.now();
    // The backoff applies only to the host that reported it.
    if (found == m_backedOffPools.end() || found->second.host != hostOf(pool)
        || found->second.until <= now)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(found->second.until - now);
}

template <gateway_codec Codec>
pool_key stage_router<Codec>::availablePoolFor(const service_id &service,
                                               const data_center_id &preferredDataCenter,
                                               const residency &allowed,
                                               const std::optional<software_version> &version)
{
    auto nearest = poolFor(service, preferredDataCenter, allowed);
    const bool backsOff = !m_backedOffPools.empty() && backoffOf(nearest);
    if (!backsOff && (!version || hasServer(nearest, version)))
        return nearest;
    if (auto own = poolFor(service, m_dataCenter, allowed);
        own != nearest && takesPieces(own, version))
        return own;
    for (const auto &each : m_directory.usable(service, allowed)) {
        if (!each->hasVersion(version))
            continue;
        auto other = poolFor(service, each->record.dataCenter, allowed);
        if (!backoffOf(other))
            return other;
    }
    return nearest;
}

template <gateway_codec Codec>
std::optional<milliseconds>
stage_router<Codec>::backoffOf(const service_id &service, const data_center_id &preferredDataCenter,
                               const residency &allowed)
{
    if (m_backedOffPools.empty())
        return std::nullopt;
    return backoffOf(availablePoolFor(service, preferredDataCenter, allowed));
}

template <gateway_codec Codec>
void stage_router<Codec>::onServersChanged(const service_id &service)
{
    std::erase_if(m_backedOffPools,
                  [&](const auto &entry) { return entry.first.service == service; });
}

template <gateway_codec Codec>
bool stage_router<Codec>::hasServer(const pool_key &pool,
                                    const std::optional<software_version> &version) const
{
    return std::ranges::any_of(m_directory.usable(pool),
                               [&](const server_ptr &each) { return each->hasVersion(version); });
}

template <gateway_codec Codec>
void stage_router<Codec>::routePiece(piece_token token, submission &entry)
{
    entry.link = entry.moves < MaxMoves ? linkToHost(entry.pool) : nullptr;
    if (!entry.link) {
        entry.job.mayChangePool = ownDataCenterPool(entry).has_value();
        entry.local = submitHere(entry.pool, entry.job, [this, token](piece_report report) {
            onOutcome(token, std::move(report));
        });
        return;
    }
    const auto now = m_loop.now();
    const auto timeUntil = [now](steady_time due) {
        return std::chrono::duration_cast<milliseconds>(due - now);
    };
    entry.link->send(submit_piece_frame{
        token, entry.pool, entry.job.request, entry.job.rank, timeUntil(entry.job.softDeadline),
        timeUntil(entry.job.deadline), entry.job.preferredDataCenter, entry.job.inputBytes,
        entry.job.resultBytes, entry.job.mayBeRedirected, entry.job.redirectedFrom,
        m_peers.process(), entry.job.mayBeHedged, entry.job.version});
}

template <gateway_codec Codec>
piece_token stage_router<Codec>::submitHere(const pool_key &pool, piece_task job,
                                            piece_handler handler)
{
    if (m_redirector && !job.redirectedFrom.empty())
        m_redirector->onReceived(pool, job.redirectedFrom);
    return m_host.submit(pool, std::move(job), std::move(handler));
}

template <gateway_codec Codec>
void stage_router<Codec>::freeResults(const std::vector<std::string> &handles)
{
    std::map<pool_key, std::vector<std::string>> handlesByPool;
    for (const auto &each : handles) {
        const auto address = parseSocketAddress(resultServerAddress(each));
        const auto holder = address ? m_directory.findAt(*address) : nullptr;
        // The results of a removed server are lost with it.
        if (holder)
            handlesByPool[poolFor(holder->record.service, holder->record.dataCenter)].push_back(
                each);
    }
    for (auto &[pool, list] : handlesByPool) {
        if (const auto link = linkToHost(pool))
            link->send(free_results_frame{std::move(list)});
        else
            m_host.freeResults(list);
    }
}

template <gateway_codec Codec>
void stage_router<Codec>::onOutcome(piece_token token, piece_report report)
{
    const auto found = m_submissions.find(token);
    if (found == m_submissions.end()) {
        if (const auto *handle = std::get_if<std::string>(&report.result))
            m_host.freeResults({*handle});
        return;
    }
    if (const auto *handle = std::get_if<std::string>(&report.result)) {
        if (!report.version)
            report.version = findVersion(found->second.pool.service, *handle);
        if (report.version && report.version != found->second.job.version.value_or(*report.version)
            && found->second.link) {
            computeHere(token, found->second, *handle);
            return;
        }
    }
    const auto *failure = std::get_if<piece_failure>(&report.result);
    if (failure && *failure == piece_failure::HostNotReady && found->second.link) {
        avoidUnreadyHost(token, found->second);
        return;
    }
    if (failure && *failure == piece_failure::Redirected) {
        followRedirection(token, found->second, report.pool);
        return;
    }
    if (failure && *failure == piece_failure::ServersBackingOff)
        m_backedOffPools[found->second.pool] = {hostOf(found->second.pool),
                                                m_loop.now() + report.wait};
    if (failure && poolRefusesWork(*failure) && moveFromClosedPool(token, found->second))
        return;
    if (failure && *failure == piece_failure::ServersUnreachable
        && moveToOwnDataCenter(token, found->second))
        return;
    if (!found->second.job.redirectedFrom.empty())
        report.pool = found->second.pool;
    const auto handler = std::move(found->second.handler);
    m_submissions.erase(found);
    handler(std::move(report));
}

template <gateway_codec Codec>
std::optional<software_version> stage_router<Codec>::findVersion(const service_id &service,
                                                                 const std::string &handle) const
{
    if (!hadSeveralVersions(m_directory, service, m_loop.now()))
        return std::nullopt;
    const auto address = parseSocketAddress(resultServerAddress(handle));
    const auto holder = address ? m_directory.findAt(*address) : nullptr;
    return holder ? std::optional(holder->record.version) : std::nullopt;
}

template <gateway_codec Codec>
void stage_router<Codec>::computeHere(piece_token token, submission &entry,
                                      const std::string &handle)
{
    freeResults({handle});
    m_retryBudget.onForcedRetry(entry.pool.service, 1);
    entry.moves = MaxMoves;
    routePieceLater(token, entry, milliseconds{0});
}

template <gateway_codec Codec>
bool stage_router<Codec>::mayFollow(const submission &entry, const pool_key &target) const
{
    return m_redirector && entry.job.mayBeRedirected && !target.dataCenter.empty()
        && target.service == entry.pool.service && target.region == entry.pool.region
        && target != entry.pool && entry.job.allowed.allows(m_directory.regionOf(target.dataCenter))
        && takesPieces(target, entry.job.version) && m_redirector->isOpen(target);
}

// No server has started the piece, so sending it again doesn't count as a retry. It is redirected
// only once: the next host may not redirect it.
template <gateway_codec Codec>
void stage_router<Codec>::followRedirection(piece_token token, submission &entry,
                                            const std::optional<pool_key> &target)
{
    const auto from = entry.pool;
    if (target && mayFollow(entry, *target)) {
        entry.job.redirectedFrom = from.dataCenter;
        entry.pool = *target;
    } else if (m_redirector) {
        m_redirector->onReturned(from);
    }
    entry.job.mayBeRedirected = false;
    routePieceLater(token, entry, milliseconds{0});
}

// No server has started the piece, so sending it again doesn't count as a retry. The host may
// report that the servers of a pool get no new work while this node still sees usable servers
// there. The views of the two nodes differ only for a short time, so the piece is sent to the same
// pool again after `ServerUpdateDelay`.
template <gateway_codec Codec>
bool stage_router<Codec>::moveFromClosedPool(piece_token token, submission &entry)
{
    const auto previousPool =
        std::exchange(entry.pool,
                      availablePoolFor(entry.pool.service, entry.job.preferredDataCenter,
                                       entry.job.allowed, entry.job.version));
    if (entry.moves++ >= MaxMoves || !takesPieces(entry.pool, entry.job.version))
        return false;
    routePieceLater(token, entry, entry.pool == previousPool ? ServerUpdateDelay : milliseconds{0});
    return true;
}

template <gateway_codec Codec>
void stage_router<Codec>::routePieceLater(piece_token token, submission &entry, milliseconds delay)
{
    entry.link = nullptr;
    entry.local = 0;
    m_loop.callAfter(delay, [this, token] {
        if (const auto found = m_submissions.find(token); found != m_submissions.end())
            routePiece(token, found->second);
    });
}

template <gateway_codec Codec>
std::optional<pool_key> stage_router<Codec>::ownDataCenterPool(const submission &entry)
{
    auto own = poolFor(entry.pool.service, m_dataCenter, entry.job.allowed);
    if (own == entry.pool || own.dataCenter != m_dataCenter
        || !entry.job.allowed.allows(m_directory.regionOf(m_dataCenter))
        || !hasServer(own, entry.job.version))
        return std::nullopt;
    return own;
}

// Connections to a data centre that is cut off are refused at once, but the data centre is declared
// lost only after a while. Pieces are moved without waiting for that.
template <gateway_codec Codec>
bool stage_router<Codec>::moveToOwnDataCenter(piece_token token, submission &entry)
{
    auto own = ownDataCenterPool(entry);
    if (!own)
        return false;
    m_backedOffPools[entry.pool] = {hostOf(entry.pool), m_loop.now() + UnreachablePoolPause};
    entry.pool = std::move(*own);
    entry.job.preferredDataCenter = m_dataCenter;
    entry.moves = 0;
    routePieceLater(token, entry, milliseconds{0});
    return true;
}

template <gateway_codec Codec>
void stage_router<Codec>::avoidUnreadyHost(piece_token token, submission &entry)
{
    if (const auto host = m_peers.peerOf(entry.link))
        m_peers.avoidPeer(*host);
    ++entry.moves;
    routePiece(token, entry);
}

template <gateway_codec Codec>
void stage_router<Codec>::withdraw(piece_token token)
{
    const auto found = m_submissions.find(token);
    if (found == m_submissions.end())
        return;
    if (found->second.link)
        found->second.link->send(cancel_piece_frame{token});
    else
        m_host.withdraw(found->second.local);
    m_submissions.erase(found);
}

template <gateway_codec Codec>
void stage_router<Codec>::onFrame(const link_ptr &link, peer_frame &&frame)
{
    if (auto *piece = std::get_if<submit_piece_frame>(&frame))
        onPieceFrame(link, std::move(*piece));
    else if (const auto *withdrawn = std::get_if<cancel_piece_frame>(&frame))
        onWithdrawFrame(link, withdrawn->token);
    else if (auto *outcome = std::get_if<piece_outcome_frame>(&frame))
        onOutcome(outcome->token, std::move(outcome->report));
    else if (const auto *freed = std::get_if<free_results_frame>(&frame)) {
        for (const auto &handle : freed->handles)
            m_reportedResults.onFreed(handle);
        m_host.freeResults(freed->handles);
    } else if (const auto *load = std::get_if<pool_load_frame>(&frame); load && m_redirector)
        m_redirector->onFrame(link, *load);
    else if (std::holds_alternative<ping_frame>(frame))
        link->send(pong_frame{});
}

template <gateway_codec Codec>
void stage_router<Codec>::onPieceFrame(const link_ptr &link, submit_piece_frame &&frame)
{
    const auto peerToken = frame.token;
    // Other nodes choose a new node as a host as soon as they see it in the membership, before it
    // has read the list of servers.
    if (m_isHostReady && !m_isHostReady()) {
        link->send(piece_outcome_frame{peerToken, {piece_failure::HostNotReady}});
        return;
    }
    const auto now = m_loop.now();
    piece_task job;
    job.request = std::move(frame.request);
    job.rank = frame.rank;
    job.softDeadline = now + frame.softDeadlineLeft;
    job.deadline = now + frame.deadlineLeft;
    job.preferredDataCenter = frame.preferredDataCenter;
    job.inputBytes = frame.inputBytes;
    job.resultBytes = frame.resultBytes;
    job.mayBeRedirected = frame.mayBeRedirected;
    job.mayBeHedged = frame.mayBeHedged;
    job.redirectedFrom = std::move(frame.redirectedFrom);
    job.version = std::move(frame.version);
    auto handler = [this, weak = std::weak_ptr(link), peerToken](piece_report report) {
        const auto target = weak.lock();
        if (!target)
            return;
        m_hostedPieces[target].erase(peerToken);
        if (const auto *handle = std::get_if<std::string>(&report.result))
            m_reportedResults.onReported(target, *handle);
        target->send(piece_outcome_frame{peerToken, std::move(report)});
    };
    const auto attempt = job.request.attempt;
    m_reportedResults.onSubmitted(link, attempt);
    m_submitters[link] = frame.submitter;
    m_hostedPieces[link][peerToken] = {submitHere(frame.pool, std::move(job), std::move(handler)),
                                       attempt};
}

template <gateway_codec Codec>
void stage_router<Codec>::onWithdrawFrame(const link_ptr &link, piece_token token)
{
    auto &hosted = m_hostedPieces[link];
    const auto found = hosted.find(token);
    if (found == hosted.end())
        return;
    m_host.withdraw(found->second.local);
    hosted.erase(found);
}

template <gateway_codec Codec>
void stage_router<Codec>::onLinkClosed(const link_ptr &link)
{
    if (const auto found = m_hostedPieces.find(link); found != m_hostedPieces.end()) {
        std::set<std::string> requests;
        for (const auto &[peerToken, piece] : found->second) {
            m_host.withdraw(piece.local);
            requests.insert(piece.attempt);
        }
        m_hostedPieces.erase(found);
        freeResultsOf(link, requests);
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
        m_retryBudget.onForcedRetry(found->second.pool.service, 1);
        routePiece(token, found->second);
    }
}

template <gateway_codec Codec>
void stage_router<Codec>::freeResultsOf(const link_ptr &closed,
                                        const std::set<std::string> &outstandingRequests)
{
    const auto submitter = m_submitters.extract(closed);
    if (!m_freesResultsOfLostPeers || submitter.empty() || !m_reportedResults.hasResults(closed)) {
        (void)m_reportedResults.takeAll(closed);
        return;
    }
    m_reportedResults.onClosed(closed, outstandingRequests);
    m_closedLinks[submitter.mapped()].push_back(closed);
    m_endedSubmitters.watch(submitter.mapped());
}

// A node also closes its link to a host that was slow, and sends its pieces to another one then.
// Its results are still needed, so they are freed only if its process has ended.
template <gateway_codec Codec>
void stage_router<Codec>::onSubmitterDecided(const peer_process &submitter, bool hasEnded)
{
    const auto closed = m_closedLinks.extract(submitter);
    if (closed.empty())
        return;
    std::vector<std::string> handles;
    for (const auto &link : closed.mapped())
        std::ranges::move(m_reportedResults.takeAll(link), std::back_inserter(handles));
    if (handles.empty() || !hasEnded)
        return;
    m_log.write(wire::log_level::Info,
                m_log.line(wire::log_level::Info, toName(log_event::LostPeerResultsFreed))
                    .add("peer", submitter.vm.value)
                    .add("results", handles.size()));
    m_host.freeResults(handles);
}

template <gateway_codec Codec>
void stage_router<Codec>::tick()
{
    m_host.tick();
    m_endedSubmitters.tick();
    std::set<link_ptr> awaitedLinks;
    for (const auto &[token, entry] : m_submissions) {
        if (entry.link)
            awaitedLinks.insert(entry.link);
    }
    for (const auto &link : awaitedLinks) {
        const auto now = m_loop.now();
        if (link->pingSentAt() && now - *link->pingSentAt() > HostTimeout)
            link->close();
        else if (now - link->lastReceivedAt() > HostPingDelay)
            link->sendPing();
    }
}

} // namespace orchidlead::gateway
