#include "gateway/engines/engine_placer.h"

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

} // namespace

engine_placer::engine_placer(http::io_loop &loop, peer_network &peers, server_directory &directory,
                             const policies_left_out &without)
    : m_loop(loop)
    , m_peers(peers)
    , m_directory(directory)
    , m_board(loop.clock(), directory)
    , m_widths(directory, EnginePoolWidths)
{
    if (without.contains(policy::SplitPools))
        m_widths.keepJoined();
}

void engine_placer::setConfiguration(const configuration_ptr &configuration)
{
    for (const auto &each : configuration->content().services) {
        if (each.engine)
            m_board.setCapacity(each.id, each.engine->tokenCapacity);
    }
}

pool_key engine_placer::poolFor(const service_id &service, const data_center_id &near,
                                const residency &allowed)
{
    return m_widths.poolFor(service, near, allowed);
}

placement_id engine_placer::place(engine_wish wish, handler placed)
{
    const auto id = ++m_lastId;
    auto &entry = m_requests[id];
    entry.wish = std::move(wish);
    entry.placed = std::move(placed);
    const auto host = m_peers.hostOf(entry.wish.pool);
    entry.link = host == m_peers.self() ? nullptr : m_peers.linkTo(host);
    if (!entry.link) {
        m_loop.post([this, id] {
            if (const auto found = m_requests.find(id); found != m_requests.end())
                placeHere(id, found->second);
        });
        return id;
    }
    entry.link->send(place_frame{id, entry.wish});
    const auto known = m_peers.view().find(host);
    const bool far = known && known->vm.region != m_peers.region();
    entry.timer = m_loop.callAfter(far ? FarHostPatience : HostPatience, [this, id] {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        found->second.timer = 0;
        placeHere(id, found->second);
    });
    return id;
}

void engine_placer::placeHere(placement_id id, request &entry)
{
    const auto placed = std::exchange(entry.placed, {});
    if (!placed)
        return;
    if (const auto link = std::exchange(entry.link, nullptr))
        link->send(progress_frame{id, progress_frame::what::Ended});
    placed(placeOnBoard(id, entry.wish));
}

server_ptr engine_placer::placeOnBoard(placement_id id, const engine_wish &wish)
{
    return m_board.place(id, wish, m_peers.coldShareAsHost(wish.pool));
}

// The host may know a server that this node doesn't know yet, or knows to be gone.
void engine_placer::onPlaced(placement_id id, const backend_server_id &server)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || !found->second.placed)
        return;
    m_loop.cancelTimer(std::exchange(found->second.timer, 0));
    const auto chosen = m_directory.find(server);
    if (!chosen || !chosen->usable()) {
        placeHere(id, found->second);
        return;
    }
    const auto placed = std::exchange(found->second.placed, {});
    placed(chosen);
}

void engine_placer::onFirstAnswer(placement_id id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    if (found->second.link)
        found->second.link->send(progress_frame{id, progress_frame::what::FirstAnswer});
    else
        m_board.onFirstAnswer(id);
}

void engine_placer::onEnd(placement_id id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    m_loop.cancelTimer(found->second.timer);
    if (found->second.link)
        found->second.link->send(progress_frame{id, progress_frame::what::Ended});
    else
        m_board.onEnd(id);
    m_requests.erase(found);
}

void engine_placer::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *wish = std::get_if<place_frame>(&frame))
        onWish(link, *wish);
    else if (const auto *placed = std::get_if<placed_frame>(&frame))
        onPlaced(placed->id, placed->server);
    else if (const auto *progress = std::get_if<progress_frame>(&frame))
        onProgress(link, *progress);
}

void engine_placer::onWish(const link_ptr &link, const place_frame &frame)
{
    const auto id = ++m_lastId;
    const auto chosen = placeOnBoard(id, frame.wish);
    if (chosen)
        m_hosted[link][frame.id] = id;
    link->send(placed_frame{frame.id, chosen ? chosen->record.id : backend_server_id{}});
}

void engine_placer::onProgress(const link_ptr &link, const progress_frame &frame)
{
    const auto hosted = m_hosted.find(link);
    if (hosted == m_hosted.end())
        return;
    const auto found = hosted->second.find(frame.id);
    if (found == hosted->second.end())
        return;
    if (frame.kind == progress_frame::what::FirstAnswer) {
        m_board.onFirstAnswer(found->second);
        return;
    }
    m_board.onEnd(found->second);
    hosted->second.erase(found);
}

void engine_placer::onLinkClosed(const link_ptr &link)
{
    if (const auto found = m_hosted.find(link); found != m_hosted.end()) {
        for (const auto &[theirs, ours] : found->second)
            m_board.onEnd(ours);
        m_hosted.erase(found);
    }
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
}

} // namespace orchidlead::gateway
