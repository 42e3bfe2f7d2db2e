#include "gateway/streams/stream_origin_relay.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// A node of another region answers within a round trip of 40 ms. The client waits meanwhile.
constexpr milliseconds AnswerTimeout{150};
// A version counts as serving for this long after its last server is gone, since streams that it
// began may still be continued.
constexpr std::chrono::minutes VersionMemory{5};
// A list of servers older than this may lack a version that other nodes already know.
constexpr milliseconds MaxListAge{2000};

} // namespace

stream_origin_relay::stream_origin_relay(http::io_loop &loop, peer_network &peers,
                                         const server_directory &directory,
                                         const published_state &published)
    : m_loop(loop)
    , m_peers(peers)
    , m_directory(directory)
    , m_published(published)
    , m_table(loop.clock())
{ }

bool stream_origin_relay::hasSeveralVersions(const service_id &service) const
{
    return m_directory.versionsSince(service, m_loop.now() - VersionMemory).size() > 1;
}

void stream_origin_relay::onStreamBegan(const stream_origin_record &record)
{
    m_table.add(record);
    if (hasSeveralVersions(record.origin.service))
        share({record});
    else
        m_unshared.push_back(record.stream);
}

void stream_origin_relay::share(const std::vector<stream_origin_record> &records)
{
    std::map<vm_id, stream_origin_frame> frames;
    for (const auto &each : records) {
        for (const auto &vm : m_peers.originKeepers(each.stream))
            frames[vm].records.push_back(each);
    }
    for (const auto &[vm, frame] : frames)
        m_peers.send(vm, frame);
}

void stream_origin_relay::onServersChanged(const service_id &service)
{
    if (m_unshared.empty() || !hasSeveralVersions(service))
        return;
    std::vector<stream_origin_record> records;
    std::erase_if(m_unshared, [&](const request_digest &stream) {
        const auto record = m_table.recordOf(stream);
        const bool concerned = record && record->origin.service == service;
        if (concerned)
            records.push_back(*record);
        return concerned;
    });
    share(records);
}

void stream_origin_relay::tick()
{
    if (!m_listKnownSince && m_published.hasServerList())
        m_listKnownSince = m_loop.now();
    m_table.removeExpired();
    std::erase_if(m_unshared, [&](const request_digest &each) { return !m_table.recordOf(each); });
}

stream_origin_answer stream_origin_relay::answerTo(const stream_origin_query &query) const
{
    stream_origin_answer answer;
    answer.id = query.id;
    answer.origin = m_table.find(query.stream);
    const auto now = m_loop.now();
    const auto versions = m_directory.versionsSince(query.service, now - query.maxAge);
    answer.severalVersions = versions.size() > 1;
    const bool current = now - m_published.lastContactAt() <= MaxListAge;
    answer.covered = versions.size() == 1 && current && m_listKnownSince
        && now - *m_listKnownSince >= query.maxAge;
    return answer;
}

// Asks nobody if this node has known for long enough that there is only one version.
void stream_origin_relay::find(const request_digest &stream, const service_id &service,
                               milliseconds maxAge, lookup_handler handler)
{
    const auto id = ++m_lastLookup;
    const auto own = answerTo({id, stream, service, maxAge});
    if (own.origin) {
        handler({own.origin, origin_source::Own});
        return;
    }
    auto &pending = m_pending[id];
    pending.service = service;
    pending.handler = std::move(handler);
    pending.severalVersions = own.severalVersions;
    if (!own.covered) {
        for (const auto &vm : m_peers.originCandidates(stream)) {
            if (const auto link = m_peers.linkTo(vm)) {
                link->send(stream_origin_query{id, stream, service, maxAge});
                pending.unanswered.push_back(link);
            }
        }
    }
    pending.asked = pending.unanswered.size();
    if (pending.unanswered.empty()) {
        giveUp(id);
        return;
    }
    pending.timer = m_loop.callAfter(AnswerTimeout, [this, id] {
        m_pending.at(id).timer = 0;
        giveUp(id);
    });
}

void stream_origin_relay::onAnswer(const link_ptr &link, const stream_origin_answer &answer)
{
    const auto found = m_pending.find(answer.id);
    if (found == m_pending.end())
        return;
    auto &pending = found->second;
    const auto asked = std::ranges::find(pending.unanswered, link);
    if (asked == pending.unanswered.end())
        return;
    pending.unanswered.erase(asked);
    ++pending.answered;
    if (answer.origin) {
        complete(answer.id, {answer.origin, origin_source::Peer});
        return;
    }
    pending.severalVersions = pending.severalVersions || answer.severalVersions;
    const bool isOnlyVersion = answer.covered && !pending.severalVersions;
    if (isOnlyVersion || pending.unanswered.empty())
        giveUp(answer.id);
}

// Without a record the stream may continue if no node that answered knows of a second version: in
// the usual case a service has one version, and the nodes that kept the record have ended.
void stream_origin_relay::giveUp(std::uint64_t id)
{
    const auto &pending = m_pending.at(id);
    const auto versions = m_directory.versionsSince(pending.service, m_loop.now() - VersionMemory);
    if (!pending.severalVersions && versions.size() == 1)
        complete(id,
                 {stream_origin{pending.service, *versions.begin()}, origin_source::OnlyVersion});
    else
        complete(id, {});
}

// The handler may start another lookup.
void stream_origin_relay::complete(std::uint64_t id, origin_lookup found)
{
    const auto node = m_pending.extract(id);
    const auto &pending = node.mapped();
    m_loop.cancelTimer(pending.timer);
    found.asked = pending.asked;
    found.answered = pending.answered;
    pending.handler(found);
}

void stream_origin_relay::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *told = std::get_if<stream_origin_frame>(&frame)) {
        for (const auto &each : told->records)
            m_table.add(each);
    } else if (const auto *query = std::get_if<stream_origin_query>(&frame)) {
        link->send(answerTo(*query));
    } else if (const auto *answer = std::get_if<stream_origin_answer>(&frame)) {
        onAnswer(link, *answer);
    }
}

void stream_origin_relay::onLinkClosed(const link_ptr &link)
{
    std::vector<std::uint64_t> unanswerable;
    for (auto &[id, pending] : m_pending) {
        if (std::erase(pending.unanswered, link) > 0 && pending.unanswered.empty())
            unanswerable.push_back(id);
    }
    for (const auto id : unanswerable) {
        if (m_pending.contains(id))
            giveUp(id);
    }
}

} // namespace orchidlead::gateway
