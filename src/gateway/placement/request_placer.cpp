#include "gateway/placement/request_placer.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// A host answers within a round trip, 2 ms between data centres. A host that takes longer than this
// is busy or unreachable, and the time of the request matters more than the better choice.
constexpr milliseconds HostTimeout{60};
// The same for a host in another region, where a round trip takes 40 ms.
constexpr milliseconds OtherRegionHostTimeout{140};
// The same for a pool with brittle servers, whose requests only the host can count. The host itself
// is considered lost after this time.
constexpr milliseconds BrittlePoolHostTimeout{320};
// A data centre with at least this many engines reads shared prompts by itself. With fewer engines,
// reading the parts in each data centre costs more than moving inputs.
constexpr pool_split_limits EnginePoolSplitLimits{8, 6};
// How long a node may pass on a place at a brittle server from one of its requests to the next.
// Then the host decides again, so that all nodes get places, and before it drops the placement as
// one whose end was never reported.
constexpr milliseconds MaxPlaceAge{3000};
// How long a host's report that all servers of a pool are rate-limited is valid. While there are
// requests, each reply of the host renews or clears it.
constexpr milliseconds AllRateLimitedLifetime{2000};
// Older reports of the time on a server's machine count as this old: they have no weight any more.
constexpr milliseconds MaxReportAge{10'000};

} // namespace

request_placer::request_placer(http::io_loop &loop, peer_network &peers,
                               server_directory &directory,
                               const disabled_policies &disabledPolicies)
    : m_loop(loop)
    , m_peers(peers)
    , m_directory(directory)
    , m_board(loop.clock(), directory, disabledPolicies)
    , m_splitter(directory, EnginePoolSplitLimits)
    , m_reportsParts(!disabledPolicies.contains(policy::PromptHomesByHash))
    , m_sharesFailures(!disabledPolicies.contains(policy::SharedServerFailures))
    , m_recentParts(loop.clock())
    , m_reportIntake(loop.clock())
{
    if (disabledPolicies.contains(policy::SplitPools))
        m_splitter.disableSplitting();
}

void request_placer::setConfiguration(const configuration_ptr &configuration)
{
    for (const auto &each : configuration->content().services) {
        if (each.engine)
            m_board.setCapacity(each.id, each.engine->tokenCapacity);
    }
}

pool_key request_placer::poolFor(const service_id &service,
                                 const data_center_id &preferredDataCenter,
                                 const residency &allowed)
{
    return m_splitter.poolFor(service, preferredDataCenter, allowed);
}

request_placer::link_ptr request_placer::linkToHost(const pool_key &pool)
{
    const auto host = m_peers.hostOf(pool);
    auto link = host == m_peers.self() ? nullptr : m_peers.linkTo(host);
    if (link)
        sendRateLimits(pool, link);
    return link;
}

// A new host doesn't know which engines keep which parts, and would have them read again. This node
// may be the new host itself. Another host asks for the parts if it needs them: if all nodes sent
// them, a new host would get 4 MB from 1,000 nodes.
std::uint32_t request_placer::partsToOffer(const pool_key &pool, const link_ptr &link)
{
    if (!m_reportsParts)
        return 0;
    const auto [last, isFirst] = m_lastHosts.try_emplace(pool, link);
    if (!isFirst && std::exchange(last->second, link) == link)
        return 0;
    const auto parts = m_recentParts.partsOf(pool);
    if (link)
        return static_cast<std::uint32_t>(parts.size());
    m_board.learnParts(pool.service, parts);
    return 0;
}

milliseconds request_placer::hostTimeout(const pool_key &pool)
{
    if (m_directory.anyBrittle(pool.service))
        return BrittlePoolHostTimeout;
    const auto known = m_peers.view().find(m_peers.hostOf(pool));
    return known && known->vm.region != m_peers.region() ? OtherRegionHostTimeout : HostTimeout;
}

// A new host does not know the rate limits that responses reported to this node.
void request_placer::sendRateLimits(const pool_key &pool, const link_ptr &link)
{
    auto &recipient = m_limitsSentTo[pool];
    if (recipient.link == link && recipient.sentLimitChanges == m_limitChanges)
        return;
    recipient = {link, m_limitChanges};
    rate_limits_frame frame;
    const auto now = m_loop.now();
    for (const auto &each : m_directory.usable(pool)) {
        if (each->rateLimit)
            frame.limits.push_back(
                {each->record.start(), each->rateLimit,
                 std::chrono::duration_cast<milliseconds>(now - each->rateLimitReportedAt)});
    }
    if (!frame.limits.empty())
        link->send(frame);
}

bool request_placer::needsAdmission(const pool_key &pool) const
{
    const auto found = m_allRateLimited.find(pool);
    return found != m_allRateLimited.end() && m_loop.now() < found->second;
}

void request_placer::recordAllRateLimited(const pool_key &pool, bool allRateLimited)
{
    if (allRateLimited)
        m_allRateLimited[pool] = m_loop.now() + AllRateLimitedLifetime;
    else
        m_allRateLimited.erase(pool);
}

placement_id request_placer::askAdmission(placement_query query, admission_handler answer)
{
    const auto id = ++m_lastId;
    auto &entry = m_admissions[id];
    entry.link = linkToHost(query.pool);
    entry.query = std::move(query);
    entry.answer = std::move(answer);
    if (!entry.link) {
        m_loop.post([this, id] {
            if (const auto found = m_admissions.find(id); found != m_admissions.end())
                onAdmission(id, admitOnBoard(found->second.query));
        });
        return id;
    }
    entry.link->send(admission_request{id, entry.query});
    entry.timer = m_loop.callAfter(hostTimeout(entry.query.pool), [this, id] {
        if (const auto found = m_admissions.find(id); found != m_admissions.end()) {
            found->second.timer = 0;
            onAdmission(id, {.allRateLimited = needsAdmission(found->second.query.pool)});
        }
    });
    return id;
}

void request_placer::onAdmission(placement_id id, const admission &decision)
{
    auto found = m_admissions.extract(id);
    if (found.empty())
        return;
    const auto &entry = found.mapped();
    m_loop.cancelTimer(entry.timer);
    recordAllRateLimited(entry.query.pool, decision.allRateLimited);
    entry.answer(decision);
}

placement_id request_placer::place(placement_query query, placement_handler placed)
{
    const auto id = ++m_lastId;
    auto &entry = m_pending[id];
    entry.link = linkToHost(query.pool);
    entry.query = std::move(query);
    entry.placed = std::move(placed);
    const auto offeredParts = partsToOffer(entry.query.pool, entry.link);
    if (!entry.link) {
        m_loop.post([this, id] {
            if (const auto found = m_pending.find(id); found != m_pending.end())
                placeLocally(id, found->second);
        });
        return id;
    }
    entry.link->send(place_frame{id, entry.query, offeredParts});
    m_awaitingHost.insert(id);
    entry.timer = m_loop.callAfter(hostTimeout(entry.query.pool), [this, id] {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return;
        found->second.timer = 0;
        continueWithoutHost(id, found->second);
    });
    return id;
}

// If each node counted the requests of brittle servers by itself, the servers would get several
// times what they can run and fall over.
void request_placer::continueWithoutHost(placement_id id, pending_placement &entry)
{
    if (!m_directory.anyBrittle(entry.query.pool.service)) {
        placeLocally(id, entry);
        return;
    }
    if (!entry.placed)
        return;
    if (const auto link = std::exchange(entry.link, nullptr))
        link->send(placement_progress_frame{id, placement_progress_frame::event_type::Ended});
    m_awaitingHost.erase(id);
    complete(entry, {nullptr, milliseconds{0}, true});
}

// The new host counts the requests of brittle servers of all nodes, so this node asks it. The time
// for the answer goes on.
void request_placer::onHostLost(placement_id id, pending_placement &entry)
{
    if (m_directory.anyBrittle(entry.query.pool.service)) {
        entry.link = linkToHost(entry.query.pool);
        if (entry.link) {
            entry.link->send(place_frame{id, entry.query});
            return;
        }
    }
    placeLocally(id, entry);
}

void request_placer::placeLocally(placement_id id, pending_placement &entry)
{
    m_awaitingHost.erase(id);
    if (!entry.placed)
        return;
    if (const auto link = std::exchange(entry.link, nullptr))
        link->send(placement_progress_frame{id, placement_progress_frame::event_type::Ended});
    complete(entry, placeOnBoard(id, entry.query));
}

// The handler may end the request and thereby remove its entry.
void request_placer::complete(pending_placement &entry, const placement_result &placed)
{
    recordAllRateLimited(entry.query.pool, placed.allRateLimited);
    if (m_reportsParts && placed.server)
        m_recentParts.onPlaced(entry.query.pool, placed.server->record.start(), entry.query.prompt);
    const auto callback = std::exchange(entry.placed, {});
    callback(placed);
}

placement_result request_placer::placeOnBoard(placement_id id, const placement_query &query)
{
    return m_board.place(id, query, m_peers.rateShare(query.pool));
}

admission request_placer::admitOnBoard(const placement_query &query)
{
    return m_board.admit(query, m_peers.rateShare(query.pool));
}

// The host may choose a server that this node does not know yet, or that this node has removed.
void request_placer::onPlaced(const link_ptr &link, const placed_frame &frame)
{
    const auto found = m_pending.find(frame.id);
    if (found != m_pending.end() && frame.wantsParts) {
        const auto &pool = found->second.query.pool;
        link->send(board_state_frame{pool, m_recentParts.partsOf(pool)});
    }
    if (found == m_pending.end() || !found->second.placed || found->second.hostId != 0)
        return;
    auto &entry = found->second;
    m_loop.cancelTimer(std::exchange(entry.timer, 0));
    m_awaitingHost.erase(frame.id);
    const auto chosen = m_directory.find(frame.server);
    const bool refused = frame.server.empty() && frame.allRateLimited;
    if (!refused && (!chosen || !chosen->accepts(m_loop.now()))) {
        continueWithoutHost(frame.id, entry);
        return;
    }
    if (chosen) {
        entry.hostId = frame.id;
        entry.hostedAt = m_loop.now();
        entry.server = chosen;
    }
    complete(entry, {chosen, frame.wait, frame.allRateLimited, frame.repeated});
}

bool request_placer::mayTakePlace(const pending_placement &entry,
                                  const pending_placement &ended) const
{
    const auto &query = entry.query;
    const auto &server = *ended.server;
    return entry.link == ended.link && query.pool == ended.query.pool && query.prompt.empty()
        && server.hasVersion(query.version) && query.allowed.allows(server.region)
        && std::ranges::find(query.exclude, server.record.id) == query.exclude.end();
}

// While processes are slow, the host learns of a free place, and the next request of its answer,
// later than the server takes for a whole request. The places would then be empty most of the time.
bool request_placer::passOnPlace(const pending_placement &ended)
{
    const auto now = m_loop.now();
    if (!ended.server || !ended.server->brittleRefusals || !ended.signals.accepted
        || !ended.query.prompt.empty() || now - ended.hostedAt >= MaxPlaceAge
        || !ended.server->accepts(now) || ended.server->effectiveRateLimit(now))
        return false;
    pending_placement *next = nullptr;
    placement_id nextId = 0;
    for (const auto id : m_awaitingHost) {
        auto &each = m_pending.at(id);
        if (mayTakePlace(each, ended) && (!next || each.query.rank < next->query.rank)) {
            next = &each;
            nextId = id;
        }
    }
    if (!next)
        return false;
    // The host may place the request as well, so that place is freed at once.
    next->link->send(placement_progress_frame{nextId, placement_progress_frame::event_type::Ended});
    m_awaitingHost.erase(nextId);
    m_loop.cancelTimer(std::exchange(next->timer, 0));
    next->hostId = ended.hostId;
    next->hostedAt = ended.hostedAt;
    next->server = ended.server;
    m_loop.post([this, nextId] {
        const auto found = m_pending.find(nextId);
        if (found != m_pending.end() && found->second.placed)
            complete(found->second, {found->second.server, milliseconds{0}, false});
    });
    return true;
}

void request_placer::onSignals(placement_id id, const server_signals &reported)
{
    if (const auto found = m_pending.find(id); found != m_pending.end()) {
        found->second.signals = reported;
        found->second.signalsAt = m_loop.now();
    }
}

// The signals that a server reported are sent to the host only once, with the next progress report.
void request_placer::sendProgress(placement_id id, pending_placement &entry,
                                  placement_progress_frame::event_type kind)
{
    placement_progress_frame frame{id, kind, std::exchange(entry.signals, NoSignals)};
    if (frame.signals.load) {
        frame.timePercent = frame.signals.load->timePercent;
        frame.timePercentAge =
            std::chrono::duration_cast<milliseconds>(m_loop.now() - entry.signalsAt);
    }
    frame.serverFailed = entry.serverFailed;
    entry.link->send(frame);
}

void request_placer::onFirstToken(placement_id id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    auto &entry = found->second;
    if (entry.link)
        sendProgress(entry.hostId != 0 ? entry.hostId : id, entry,
                     placement_progress_frame::event_type::FirstToken);
    else
        m_board.onFirstToken(id);
}

void request_placer::onServerFailed(placement_id id)
{
    if (const auto found = m_pending.find(id); found != m_pending.end())
        found->second.serverFailed = m_sharesFailures;
}

void request_placer::onEnd(placement_id id)
{
    if (const auto unanswered = m_admissions.extract(id); !unanswered.empty())
        m_loop.cancelTimer(unanswered.mapped().timer);
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    auto &entry = found->second;
    m_loop.cancelTimer(entry.timer);
    m_awaitingHost.erase(id);
    if (!entry.link)
        m_board.onEnd(id);
    else if (!passOnPlace(entry))
        sendProgress(entry.hostId != 0 ? entry.hostId : id, entry,
                     placement_progress_frame::event_type::Ended);
    m_pending.erase(found);
}

void request_placer::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *query = std::get_if<place_frame>(&frame))
        onPlaceRequest(link, *query);
    else if (const auto *placed = std::get_if<placed_frame>(&frame))
        onPlaced(link, *placed);
    else if (const auto *progress = std::get_if<placement_progress_frame>(&frame))
        onProgress(link, *progress);
    else if (const auto *asked = std::get_if<admission_request>(&frame))
        onAdmissionRequest(link, *asked);
    else if (const auto *answer = std::get_if<admission_answer>(&frame))
        onAdmission(answer->id, answer->admissionDecision);
    else if (const auto *limits = std::get_if<rate_limits_frame>(&frame))
        onRateLimits(*limits);
    else if (const auto *state = std::get_if<board_state_frame>(&frame); state && m_reportsParts)
        m_board.learnParts(state->pool.service, state->parts);
}

void request_placer::onPlaceRequest(const link_ptr &link, const place_frame &frame)
{
    const auto id = ++m_lastId;
    // The node that this one considers the host counts the requests of brittle servers. The sender
    // may have lost it; if it has ended, the link to it fails and this node takes its place.
    const bool isOther =
        m_directory.anyBrittle(frame.query.pool.service) && linkToHost(frame.query.pool) != nullptr;
    const auto placed =
        isOther ? placement_result{nullptr, milliseconds{0}, true} : placeOnBoard(id, frame.query);
    const auto server = placed.server ? placed.server->record.start() : server_start{};
    if (placed.server)
        m_hosted[link][frame.id] = {id, server};
    const bool wantsParts =
        m_reportsParts && m_reportIntake.accept(frame.query.pool, frame.offeredParts);
    link->send(placed_frame{frame.id, server.id, placed.wait, placed.allRateLimited,
                            placed.repeated, wantsParts});
}

void request_placer::onAdmissionRequest(const link_ptr &link, const admission_request &frame)
{
    link->send(admission_answer{frame.id, admitOnBoard(frame.query)});
}

void request_placer::onRateLimits(const rate_limits_frame &frame)
{
    for (const auto &each : frame.limits) {
        const auto known = m_directory.find(each.server.id);
        if (known && known->record.start() == each.server)
            m_directory.onRateLimit(*known, {each.perSecond}, m_loop.now() - each.ago);
    }
}

// A crashed engine has no requests, so the board would take it for the one with the least load and
// offer it to each request in turn until this node itself fails to reach it.
void request_placer::onProgress(const link_ptr &link, const placement_progress_frame &frame)
{
    const auto hosted = m_hosted.find(link);
    if (hosted == m_hosted.end())
        return;
    const auto found = hosted->second.find(frame.id);
    if (found == hosted->second.end())
        return;
    const auto server = m_directory.find(found->second.server.id);
    if (server && server->record.start() == found->second.server) {
        m_directory.onSignals(*server, frame.signals);
        if (frame.timePercent)
            server_directory::onReportedTime(
                *server, *frame.timePercent,
                m_loop.now() - std::clamp(frame.timePercentAge, milliseconds{0}, MaxReportAge));
        if (m_sharesFailures && frame.serverFailed)
            m_directory.onFailure(*server);
        else if (m_sharesFailures && frame.kind == placement_progress_frame::event_type::FirstToken)
            m_directory.onReportedAnswer(*server);
    }
    if (frame.kind == placement_progress_frame::event_type::FirstToken) {
        m_board.onFirstToken(found->second.localId);
        return;
    }
    m_board.onEnd(found->second.localId);
    hosted->second.erase(found);
}

void request_placer::onLinkClosed(const link_ptr &link)
{
    std::erase_if(m_lastHosts, [&](const auto &entry) { return entry.second == link; });
    std::erase_if(m_limitsSentTo, [&](const auto &entry) { return entry.second.link == link; });
    if (const auto found = m_hosted.find(link); found != m_hosted.end()) {
        for (const auto &[remoteId, each] : found->second)
            m_board.onEnd(each.localId);
        m_hosted.erase(found);
    }
    handleHostLoss(link);
}

void request_placer::handleHostLoss(const link_ptr &link)
{
    std::vector<placement_id> waiting;
    for (auto &[id, entry] : m_pending) {
        if (entry.link != link)
            continue;
        entry.link = nullptr;
        if (entry.placed && entry.hostId == 0)
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        if (const auto found = m_pending.find(id); found != m_pending.end())
            onHostLost(id, found->second);
    }
    std::vector<placement_id> admissionIds;
    for (const auto &[id, entry] : m_admissions) {
        if (entry.link == link)
            admissionIds.push_back(id);
    }
    for (const auto id : admissionIds)
        onAdmission(id, {});
}

} // namespace orchidlead::gateway
