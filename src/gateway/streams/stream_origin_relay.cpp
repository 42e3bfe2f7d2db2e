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
// The times of day of the VMs differ by less than this.
constexpr std::chrono::seconds MaxClockError{3};
// How long clients continue a stream that a server was running; the longest lifetime of records.
constexpr std::chrono::minutes ReportedRunLifetime{5};
// After a start of all nodes it takes this long until a node knows the others.
constexpr milliseconds PeersSettleTime{2000};
// For this long after its start a node doesn't know which versions served before, and sends its
// records as if there had been several.
constexpr std::chrono::minutes YoungNodeTime{2};
// Lookups wait no longer than this for the reports of servers: the first list of servers may be
// late, and a report takes up to 500 ms.
constexpr milliseconds MaxReportsWait{1500};
// Minimum time between two readings of the store's history; each takes several calls.
constexpr milliseconds HistoryPause{500};

} // namespace

stream_origin_relay::stream_origin_relay(http::io_loop &loop, peer_network &peers,
                                         const server_directory &directory,
                                         published_state &published)
    : m_loop(loop)
    , m_peers(peers)
    , m_directory(directory)
    , m_published(published)
    , m_startedAt(loop.now())
    , m_table(loop.clock())
    , m_runs(loop.clock())
{ }

bool stream_origin_relay::hasSeveralVersions(const service_id &service) const
{
    return m_directory.versionsSince(service, m_loop.now() - VersionMemory).size() > 1;
}

void stream_origin_relay::onStreamBegan(const stream_origin_record &record)
{
    m_table.add(record);
    if (hasSeveralVersions(record.origin.service) || age() < YoungNodeTime)
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
    m_table.removeExpired();
    m_runs.removeExpired();
    if (m_readsReports && age() > MaxReportsWait)
        endReports();
    shareReports();
    std::erase_if(m_unshared, [&](const request_digest &each) { return !m_table.recordOf(each); });
}

// Servers of different versions never bring events of the same attempt. If they report it, its
// identifier isn't unique.
void stream_origin_relay::onRunReported(std::string_view attempt, const stream_origin &origin)
{
    const auto run = runDigestOf(attempt);
    const auto known = m_runs.find(run);
    if (known && *known != origin) {
        m_conflictingRuns.insert(run);
        return;
    }
    if (known)
        return;
    m_runs.add({run, origin, ReportedRunLifetime});
    m_unsharedRuns.push_back(run);
}

void stream_origin_relay::endReports()
{
    m_readsReports = false;
    m_shareRunsAt = m_loop.now() + PeersSettleTime;
    for (auto &each : std::exchange(m_awaitingReports, {})) {
        const auto waited = std::chrono::ceil<milliseconds>(m_loop.now() - each.since);
        find(each.stream, each.service, each.maxAge + waited, std::move(each.handler));
    }
}

void stream_origin_relay::shareReports()
{
    if (!m_shareRunsAt || m_loop.now() < *m_shareRunsAt)
        return;
    m_shareRunsAt.reset();
    std::vector<stream_origin_record> records;
    for (const auto &run : std::exchange(m_unsharedRuns, {})) {
        const auto record = m_runs.recordOf(run);
        if (record && !m_conflictingRuns.contains(run))
            records.push_back(*record);
    }
    share(records);
}

std::optional<stream_origin> stream_origin_relay::reportedOrigin(const request_digest &run) const
{
    if (m_conflictingRuns.contains(run))
        return std::nullopt;
    const auto own = m_runs.find(run);
    return own ? own : m_table.find(run); // sent by a node that read the report
}

std::vector<vm_id>
stream_origin_relay::candidatesFor(const std::optional<stream_name> &stream) const
{
    auto found = m_peers.originCandidates(stream ? stream->stream : request_digest{});
    if (!stream)
        return found;
    for (const auto &vm : m_peers.originCandidates(stream->run)) {
        if (std::ranges::find(found, vm) == found.end())
            found.push_back(vm);
    }
    return found;
}

std::optional<software_version> stream_origin_relay::versionForNew(const request_digest &stream,
                                                                   const service_id &service) const
{
    return m_published.versions().assigned(stream, service);
}

bool stream_origin_relay::isCurrent() const
{
    return m_loop.now() - m_published.lastContactAt() <= MaxListAge;
}

bool stream_origin_relay::hasNoYoungServer(const pending_lookup &asked) const
{
    return m_directory.startedBefore(asked.service,
                                     m_loop.clock().wallNow() - asked.maxAge - MaxClockError);
}

stream_origin_relay::computed_version
stream_origin_relay::compute(const pending_lookup &asked) const
{
    const auto &versions = m_published.versions();
    const auto since = m_loop.now() - asked.maxAge;
    return {versions.covers(asked.service, since),
            versions.hadOneVersionSince(asked.service, since),
            versions.assignedSince(asked.stream ? asked.stream->stream : request_digest{},
                                   asked.service, since)};
}

milliseconds stream_origin_relay::age() const
{
    return std::chrono::floor<milliseconds>(m_loop.now() - m_startedAt);
}

stream_origin_answer stream_origin_relay::answerTo(const stream_origin_query &query) const
{
    pending_lookup asked;
    asked.stream = stream_name{query.stream, query.run};
    asked.service = query.service;
    asked.maxAge = query.maxAge;
    const auto computed = compute(asked);
    stream_origin_answer answer;
    answer.id = query.id;
    answer.origin = m_table.find(query.stream);
    if (!answer.origin)
        answer.origin = reportedOrigin(query.run);
    answer.severalVersions = !computed.isOnly;
    answer.covered =
        isCurrent() && m_published.versions().observed(query.service, m_loop.now() - query.maxAge);
    if (answer.covered)
        answer.computed = computed.version;
    return answer;
}

// Other nodes are asked even if this node knows of one version only: a node whose list is more
// recent may have begun the stream on another one.
void stream_origin_relay::find(const std::optional<stream_name> &stream, const service_id &service,
                               milliseconds maxAge, lookup_handler handler)
{
    if (const auto own = stream ? m_table.find(stream->stream) : std::nullopt) {
        handler({own, origin_source::Own});
        return;
    }
    if (const auto reported = stream ? reportedOrigin(stream->run) : std::nullopt) {
        handler({reported, origin_source::Server});
        return;
    }
    if (m_readsReports) {
        m_awaitingReports.push_back({stream, service, maxAge, m_loop.now(), std::move(handler)});
        return;
    }
    const auto id = ++m_lastLookup;
    auto &pending = m_pending[id];
    pending.stream = stream;
    pending.service = service;
    pending.maxAge = maxAge + m_listDelay;
    pending.handler = std::move(handler);
    const auto asked = stream.value_or(stream_name{});
    const auto candidates = candidatesFor(stream);
    pending.candidates = candidates.size();
    for (const auto &vm : candidates) {
        if (const auto link = m_peers.linkTo(vm)) {
            link->send(stream_origin_query{id, asked.stream, service, pending.maxAge, asked.run});
            pending.unanswered.push_back(link);
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
    pending.covered = pending.covered || answer.covered;
    pending.severalVersions = pending.severalVersions || answer.severalVersions;
    pending.uncertain = pending.uncertain || (answer.covered && !answer.computed);
    if (answer.computed)
        pending.computed.insert(*answer.computed);
    if (pending.unanswered.empty())
        giveUp(answer.id);
}

// A version that is not in a list that was just read may have served a moment ago. Without a
// record the stream may continue only on a version that all nodes which know all versions since
// then have computed alike. Without such a node:
// - If no node has current knowledge although all nodes asked in all data centres have answered,
//   the store is down, and nothing has been published that this node doesn't know.
// - If the store has dropped its history and no server has started since, no release was in
//   progress.
std::optional<origin_lookup> stream_origin_relay::conclude(const pending_lookup &asked) const
{
    const auto own = compute(asked);
    const bool current = isCurrent();
    auto computed = asked.computed;
    const bool covered = asked.covered || (own.covered && current);
    const bool storeDown = own.covered && !current && asked.candidates > 0
        && asked.answered == asked.candidates && !m_directory.isAnyUnreachable();
    const bool noRelease = current && m_historyDropped && hasNoYoungServer(asked);
    if (!covered && !storeDown && !noRelease)
        return std::nullopt;
    const bool usesOwn = !covered || (own.covered && current);
    if (asked.uncertain || (usesOwn && !own.version))
        return origin_lookup{};
    if (usesOwn)
        computed.insert(*own.version);
    const bool isOnly = own.isOnly && !asked.severalVersions;
    if (computed.size() != 1 || (!asked.stream && !isOnly))
        return origin_lookup{};
    return origin_lookup{stream_origin{asked.service, *computed.begin()},
                         isOnly ? origin_source::OnlyVersion : origin_source::Computed};
}

void stream_origin_relay::giveUp(std::uint64_t id)
{
    auto &pending = m_pending.at(id);
    m_loop.cancelTimer(std::exchange(pending.timer, 0));
    pending.unanswered.clear();
    const bool covered = pending.covered || (compute(pending).covered && isCurrent());
    if (!covered && m_readHistory && (m_loop.now() >= m_nextHistoryRead || isReadingHistory())) {
        m_awaitingHistory.push_back(id);
        if (m_awaitingHistory.size() == 1)
            readHistory();
        return;
    }
    complete(id, conclude(pending).value_or(origin_lookup{}));
}

void stream_origin_relay::setHistory(history_reader reader, milliseconds keptFor,
                                     milliseconds listDelay)
{
    m_readHistory = std::move(reader);
    m_historyKeptFor = keptFor;
    m_listDelay = listDelay;
}

void stream_origin_relay::readHistory()
{
    m_nextHistoryRead = m_loop.now() + HistoryPause;
    m_readHistory([this, at = m_loop.now(),
                   wall = m_loop.clock().wallNow()](std::optional<store_history> history) {
        if (history)
            addHistory(*history, at, wall);
        for (const auto id : std::exchange(m_awaitingHistory, {}))
            complete(id, conclude(m_pending.at(id)).value_or(origin_lookup{}));
    });
}

void stream_origin_relay::addHistory(const store_history &history, steady_time readAt,
                                     wall_time readAtWall)
{
    const auto earlier =
        readyTimesOf(history, readAtWall - m_historyKeptFor, m_published.recentAtStart());
    m_historyDropped = !earlier;
    if (earlier)
        m_published.addEarlierVersions(
            *earlier, history.isWhole ? steady_time::min() : readAt - m_historyKeptFor);
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
