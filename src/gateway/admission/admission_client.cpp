#include "gateway/admission/admission_client.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// How long to wait for the answer of a host, which takes a round trip, 2 ms between data centres. A
// host that takes longer is busy or unreachable, and its pool gets the pieces without a
// reservation.
constexpr milliseconds HostTimeout{60};
// The same for a host in another region, where a round trip takes 40 ms.
constexpr milliseconds OtherRegionHostTimeout{140};

} // namespace

admission_client::admission_client(http::io_loop &loop, peer_network &peers, stage_admission &host,
                                   host_function hostOf)
    : m_loop(loop)
    , m_peers(peers)
    , m_host(host)
    , m_hostOf(std::move(hostOf))
{ }

milliseconds admission_client::hostTimeout(const vm_id &host) const
{
    const auto known = m_peers.view().find(host);
    return known && known->vm.region != m_peers.region() ? OtherRegionHostTimeout : HostTimeout;
}

reservation_answer admission_client::answerAsHost(reservation_sender sender, const pool_key &pool,
                                                  const reservation_query &query)
{
    if (m_isHostReady && !m_isHostReady()) {
        reservation_answer undecided;
        undecided.decided = false;
        return undecided;
    }
    return m_host.onQuery(sender, pool, query);
}

admission_id admission_client::ask(admission_query query, result_handler handler)
{
    const auto id = ++m_lastAdmission;
    auto &entry = m_admissions[id];
    entry.handler = std::move(handler);
    milliseconds timeout{0};
    for (auto &demand : query.pools) {
        auto &asked = entry.queries.emplace_back();
        asked.pool = demand.pool;
        asked.id = ++m_lastReservation;
        for (const auto &each : demand.stages)
            asked.unusedStages.push_back(each.stage);
        m_unanswered[asked.id] = id;
        const auto host = m_hostOf(demand.pool);
        asked.link = host == m_peers.self() ? nullptr : m_peers.linkTo(host);
        reservation_query sent{asked.id,           query.attempt, query.digest,
                               query.customer,     query.rank,    std::move(demand.stages),
                               query.maxRetryAfter};
        if (asked.link) {
            timeout = std::max(timeout, hostTimeout(host));
            asked.link->send(reserve_stage_frame{demand.pool, std::move(sent)});
            continue;
        }
        m_loop.post([this, pool = demand.pool, own = std::move(sent)] {
            if (m_unanswered.contains(own.id))
                onAnswer(nullptr, own.id, answerAsHost(nullptr, pool, own));
        });
    }
    if (timeout > milliseconds{0})
        entry.timer = m_loop.callAfter(timeout, [this, id] { complete(id); });
    return id;
}

void admission_client::onAnswer(const link_ptr &link, reservation_id id,
                                const reservation_answer &answer)
{
    const auto asked = m_unanswered.find(id);
    if (asked == m_unanswered.end())
        return;
    const auto admission = asked->second;
    auto &queries = m_admissions.at(admission).queries;
    const auto found = std::ranges::find(queries, id, &pool_query::id);
    if (found == queries.end() || found->link != link)
        return;
    found->answer = answer;
    m_unanswered.erase(asked);
    completeIfAnswered(admission);
}

void admission_client::completeIfAnswered(admission_id id)
{
    const auto ended = [](const pool_query &each) { return each.answer || each.lost; };
    if (std::ranges::all_of(m_admissions.at(id).queries, ended))
        complete(id);
}

// The handler may release the admission.
void admission_client::complete(admission_id id)
{
    const auto found = m_admissions.find(id);
    if (found == m_admissions.end() || !found->second.handler)
        return;
    auto &entry = found->second;
    m_loop.cancelTimer(std::exchange(entry.timer, 0));
    admission_result result;
    for (const auto &each : entry.queries) {
        m_unanswered.erase(each.id);
        const bool decided = each.answer && each.answer->decided;
        result.pools.push_back({each.pool, decided ? each.answer : std::nullopt});
        if (!decided || each.answer->granted)
            continue;
        if (result.granted || each.answer->retryAfter > result.retryAfter)
            result.turnHeld = each.answer->turnHeld;
        result.granted = false;
        result.retryAfter = std::max(result.retryAfter, each.answer->retryAfter);
    }
    const auto handler = std::exchange(entry.handler, {});
    if (!result.granted)
        release(id);
    handler(result);
}

void admission_client::onStageSubmitted(admission_id id, std::uint32_t stage,
                                        const std::vector<pool_key> &pools)
{
    const auto found = m_admissions.find(id);
    if (found == m_admissions.end())
        return;
    auto &queries = found->second.queries;
    for (auto &each : queries) {
        if (std::erase(each.unusedStages, stage) > 0 && !wentToHost(each, pools))
            releaseStage(each, stage);
    }
    std::erase_if(queries, [](const pool_query &each) { return each.unusedStages.empty(); });
    if (queries.empty())
        m_admissions.erase(found);
}

bool admission_client::wentToHost(const pool_query &query, const std::vector<pool_key> &pools) const
{
    if (!std::ranges::all_of(pools, [&](const pool_key &each) { return each == query.pool; }))
        return false;
    const auto host = m_hostOf(query.pool);
    return query.link == (host == m_peers.self() ? nullptr : m_peers.linkTo(host));
}

void admission_client::release(admission_id id)
{
    const auto ended = m_admissions.extract(id);
    if (ended.empty())
        return;
    m_loop.cancelTimer(ended.mapped().timer);
    for (const auto &each : ended.mapped().queries) {
        m_unanswered.erase(each.id);
        releaseQuery(each);
    }
}

// A host that didn't answer in time may have reserved the places.
bool admission_client::mayHold(const pool_query &query)
{
    return !query.lost && (!query.answer || (query.answer->granted && query.answer->decided));
}

void admission_client::releaseQuery(const pool_query &query)
{
    if (!mayHold(query))
        return;
    if (query.link)
        query.link->send(release_reservation_frame{query.id});
    else
        m_host.release(nullptr, query.id);
}

// Sent after the pieces of the stage: those that went to this host have consumed their places.
void admission_client::releaseStage(const pool_query &query, std::uint32_t stage)
{
    if (!mayHold(query))
        return;
    if (query.link)
        query.link->send(release_reservation_frame{query.id, stage});
    else
        m_host.releaseStage(nullptr, query.id, stage);
}

void admission_client::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *asked = std::get_if<reserve_stage_frame>(&frame))
        link->send(stage_reserved_frame{asked->query.id,
                                        answerAsHost(link.get(), asked->pool, asked->query)});
    else if (const auto *answered = std::get_if<stage_reserved_frame>(&frame))
        onAnswer(link, answered->id, answered->answer);
    else if (const auto *released = std::get_if<release_reservation_frame>(&frame))
        onReleased(link, *released);
}

void admission_client::onReleased(const link_ptr &link, const release_reservation_frame &frame)
{
    if (frame.stage)
        m_host.releaseStage(link.get(), frame.id, *frame.stage);
    else
        m_host.release(link.get(), frame.id);
}

void admission_client::onLinkClosed(const link_ptr &link)
{
    m_host.releaseAll(link.get());
    std::vector<admission_id> concerned;
    for (auto &[id, entry] : m_admissions) {
        for (auto &each : entry.queries) {
            if (each.link != link)
                continue;
            m_unanswered.erase(each.id);
            each.lost = true;
            concerned.push_back(id);
        }
    }
    for (const auto id : concerned) {
        if (m_admissions.contains(id))
            completeIfAnswered(id);
    }
}

} // namespace orchidlead::gateway
