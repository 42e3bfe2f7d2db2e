#include "gateway/placement/request_placer.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

// A host answers within a round trip, 2 ms between data centres; beyond this it is busy or away,
// and the request's time matters more than the better choice.
constexpr milliseconds HostPatience{60};
// The same for a host in another region, where a round trip takes 40 ms.
constexpr milliseconds FarHostPatience{140};
// With so many engines a data centre reads the prompts that are shared by itself; with fewer, parts
// that are read in each of them cost more than inputs that cross.
constexpr pool_width_limits EnginePoolWidths{8, 6};
// How long a host's word that all servers of a pool are bounded is believed: while requests come,
// each answer of the host renews it or takes it back.
constexpr milliseconds BoundedMemory{2000};

} // namespace

request_placer::request_placer(http::io_loop &loop, peer_network &peers,
                               server_directory &directory, const policies_left_out &without)
    : m_loop(loop)
    , m_peers(peers)
    , m_directory(directory)
    , m_board(loop.clock(), directory)
    , m_widths(directory, EnginePoolWidths)
{
    if (without.contains(policy::SplitPools))
        m_widths.keepJoined();
}

void request_placer::setConfiguration(const configuration_ptr &configuration)
{
    for (const auto &each : configuration->content().services) {
        if (each.engine)
            m_board.setCapacity(each.id, each.engine->tokenCapacity);
    }
}

pool_key request_placer::poolFor(const service_id &service, const data_center_id &near,
                                 const residency &allowed)
{
    return m_widths.poolFor(service, near, allowed);
}

request_placer::link_ptr request_placer::linkToHost(const pool_key &pool)
{
    const auto host = m_peers.hostOf(pool);
    auto link = host == m_peers.self() ? nullptr : m_peers.linkTo(host);
    if (link)
        tellLimits(pool, link);
    return link;
}

milliseconds request_placer::patienceWith(const pool_key &pool)
{
    const auto known = m_peers.view().find(m_peers.hostOf(pool));
    return known && known->vm.region != m_peers.region() ? FarHostPatience : HostPatience;
}

// Another host than before knows nothing of what answers told this node.
void request_placer::tellLimits(const pool_key &pool, const link_ptr &link)
{
    auto &told = m_toldHosts[pool];
    if (told.link == link && told.changes == m_limitChanges)
        return;
    told = {link, m_limitChanges};
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
    const auto found = m_allBounded.find(pool);
    return found != m_allBounded.end() && m_loop.now() < found->second;
}

void request_placer::note(const pool_key &pool, bool allBounded)
{
    if (allBounded)
        m_allBounded[pool] = m_loop.now() + BoundedMemory;
    else
        m_allBounded.erase(pool);
}

placement_id request_placer::askAdmission(placement_wish wish, admission_handler answer)
{
    const auto id = ++m_lastId;
    auto &entry = m_admissions[id];
    entry.link = linkToHost(wish.pool);
    entry.wish = std::move(wish);
    entry.answer = std::move(answer);
    if (!entry.link) {
        m_loop.post([this, id] {
            if (const auto found = m_admissions.find(id); found != m_admissions.end())
                onAdmission(id, admitOnBoard(found->second.wish));
        });
        return id;
    }
    entry.link->send(admission_request{id, entry.wish});
    entry.timer = m_loop.callAfter(patienceWith(entry.wish.pool), [this, id] {
        if (const auto found = m_admissions.find(id); found != m_admissions.end()) {
            found->second.timer = 0;
            onAdmission(id, {.allBounded = needsAdmission(found->second.wish.pool)});
        }
    });
    return id;
}

void request_placer::onAdmission(placement_id id, const admission &told)
{
    auto found = m_admissions.extract(id);
    if (found.empty())
        return;
    const auto &entry = found.mapped();
    m_loop.cancelTimer(entry.timer);
    note(entry.wish.pool, told.allBounded);
    entry.answer(told);
}

placement_id request_placer::place(placement_wish wish, handler placed)
{
    const auto id = ++m_lastId;
    auto &entry = m_requests[id];
    entry.link = linkToHost(wish.pool);
    entry.wish = std::move(wish);
    entry.placed = std::move(placed);
    if (!entry.link) {
        m_loop.post([this, id] {
            if (const auto found = m_requests.find(id); found != m_requests.end())
                placeHere(id, found->second);
        });
        return id;
    }
    entry.link->send(place_frame{id, entry.wish});
    entry.timer = m_loop.callAfter(patienceWith(entry.wish.pool), [this, id] {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        found->second.timer = 0;
        placeHere(id, found->second);
    });
    return id;
}

void request_placer::placeHere(placement_id id, request &entry)
{
    if (!entry.placed)
        return;
    if (const auto link = std::exchange(entry.link, nullptr))
        link->send(progress_frame{id, progress_frame::what::Ended});
    hand(entry, placeOnBoard(id, entry.wish));
}

// The handler may end the request, and with it the entry.
void request_placer::hand(request &entry, const placed_request &placed)
{
    note(entry.wish.pool, placed.allBounded);
    const auto tell = std::exchange(entry.placed, {});
    tell(placed);
}

placed_request request_placer::placeOnBoard(placement_id id, const placement_wish &wish)
{
    return m_board.place(id, wish, m_peers.rateShare(wish.pool));
}

admission request_placer::admitOnBoard(const placement_wish &wish)
{
    return m_board.admit(wish, m_peers.rateShare(wish.pool));
}

// The host may know a server that this node doesn't know yet, or knows to be gone.
void request_placer::onPlaced(const placed_frame &frame)
{
    const auto found = m_requests.find(frame.id);
    if (found == m_requests.end() || !found->second.placed)
        return;
    auto &entry = found->second;
    m_loop.cancelTimer(std::exchange(entry.timer, 0));
    const auto chosen = m_directory.find(frame.server);
    const bool refused = frame.server.empty() && frame.allBounded;
    if (!refused && (!chosen || !chosen->takes(m_loop.now()))) {
        placeHere(frame.id, entry);
        return;
    }
    hand(entry, {chosen, frame.wait, frame.allBounded});
}

void request_placer::onSignals(placement_id id, const server_signals &told)
{
    if (const auto found = m_requests.find(id); found != m_requests.end())
        found->second.signals = told;
}

// What a server told is new to the host once.
void request_placer::sendProgress(placement_id id, request &entry, progress_frame::what kind)
{
    entry.link->send(progress_frame{id, kind, std::exchange(entry.signals, NoSignals)});
}

void request_placer::onFirstAnswer(placement_id id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    if (found->second.link)
        sendProgress(id, found->second, progress_frame::what::FirstAnswer);
    else
        m_board.onFirstAnswer(id);
}

void request_placer::onEnd(placement_id id)
{
    if (const auto asked = m_admissions.extract(id); !asked.empty())
        m_loop.cancelTimer(asked.mapped().timer);
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    m_loop.cancelTimer(found->second.timer);
    if (found->second.link)
        sendProgress(id, found->second, progress_frame::what::Ended);
    else
        m_board.onEnd(id);
    m_requests.erase(found);
}

void request_placer::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *wish = std::get_if<place_frame>(&frame))
        onWish(link, *wish);
    else if (const auto *placed = std::get_if<placed_frame>(&frame))
        onPlaced(*placed);
    else if (const auto *progress = std::get_if<progress_frame>(&frame))
        onProgress(link, *progress);
    else if (const auto *asked = std::get_if<admission_request>(&frame))
        onAdmissionRequest(link, *asked);
    else if (const auto *answer = std::get_if<admission_answer>(&frame))
        onAdmission(answer->id, answer->told);
    else if (const auto *limits = std::get_if<rate_limits_frame>(&frame))
        onRateLimits(*limits);
}

void request_placer::onWish(const link_ptr &link, const place_frame &frame)
{
    const auto id = ++m_lastId;
    const auto placed = placeOnBoard(id, frame.wish);
    const auto server = placed.server ? placed.server->record.start() : server_start{};
    if (placed.server)
        m_hosted[link][frame.id] = {id, server};
    link->send(placed_frame{frame.id, server.id, placed.wait, placed.allBounded});
}

void request_placer::onAdmissionRequest(const link_ptr &link, const admission_request &frame)
{
    link->send(admission_answer{frame.id, admitOnBoard(frame.wish)});
}

void request_placer::onRateLimits(const rate_limits_frame &frame)
{
    for (const auto &each : frame.limits) {
        const auto known = m_directory.find(each.server.id);
        if (known && known->record.start() == each.server)
            m_directory.onRateLimit(*known, {each.perSecond}, m_loop.now() - each.ago);
    }
}

void request_placer::onProgress(const link_ptr &link, const progress_frame &frame)
{
    const auto hosted = m_hosted.find(link);
    if (hosted == m_hosted.end())
        return;
    const auto found = hosted->second.find(frame.id);
    if (found == hosted->second.end())
        return;
    const auto server = m_directory.find(found->second.server.id);
    if (server && server->record.start() == found->second.server)
        m_directory.onSignals(*server, frame.signals);
    if (frame.kind == progress_frame::what::FirstAnswer) {
        m_board.onFirstAnswer(found->second.ours);
        return;
    }
    m_board.onEnd(found->second.ours);
    hosted->second.erase(found);
}

void request_placer::onLinkClosed(const link_ptr &link)
{
    std::erase_if(m_toldHosts, [&](const auto &entry) { return entry.second.link == link; });
    if (const auto found = m_hosted.find(link); found != m_hosted.end()) {
        for (const auto &[theirs, each] : found->second)
            m_board.onEnd(each.ours);
        m_hosted.erase(found);
    }
    goOnWithout(link);
}

void request_placer::goOnWithout(const link_ptr &link)
{
    std::vector<placement_id> waiting;
    for (auto &[id, entry] : m_requests) {
        if (entry.link != link)
            continue;
        entry.link = nullptr;
        if (entry.placed)
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        if (const auto found = m_requests.find(id); found != m_requests.end())
            placeHere(id, found->second);
    }
    std::vector<placement_id> asked;
    for (const auto &[id, entry] : m_admissions) {
        if (entry.link == link)
            asked.push_back(id);
    }
    for (const auto id : asked)
        onAdmission(id, {});
}

} // namespace orchidlead::gateway
