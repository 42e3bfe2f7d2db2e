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
// A store that has answered a node within this time isn't down. Only then a lookup may conclude
// without an answer of the store.
constexpr milliseconds MinOutage{2000};
// A tick that is later than this shows that the process stood still. Its list is then as old as
// the pause, whatever it reads afterwards from its sockets.
constexpr milliseconds MaxTickGap{1000};
// Time after a failed confirmation in which new streams begin without another one.
constexpr milliseconds FailedConfirmationPause{10'000};
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
// A list that arrives while the history is being read leaves a gap behind the history, which is
// then read again this often at most: a node that starts gets two lists.
constexpr std::size_t MaxHistoryRereads = 2;
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
    , m_lastTickAt(loop.now())
{ }

bool stream_origin_relay::hasSeveralVersions(const service_id &service) const
{
    return m_directory.versionsSince(service, m_loop.now() - VersionMemory).size() > 1;
}

void stream_origin_relay::onStreamBegan(const stream_origin_record &record)
{
    m_table.add(record);
    if (hasSeveralVersions(record.origin.service) || age() < YoungNodeTime || mayListBeOld())
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
    const auto now = m_loop.now();
    if (now - std::exchange(m_lastTickAt, now) > MaxTickGap)
        m_stoodStillAt = now;
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

bool stream_origin_relay::mayListBeOld() const
{
    const auto now = m_loop.now();
    return m_stoodStillAt || now - m_lastTickAt > MaxTickGap
        || now - m_published.lastContactAt() > MaxContactGap;
}

bool stream_origin_relay::isInContact() const
{
    return m_loop.now() - m_published.lastContactAt() <= MinOutage;
}

void stream_origin_relay::confirmList(std::function<void(bool)> done)
{
    if (!m_confirmList) {
        done(false);
        return;
    }
    m_confirmList([this, askedAt = m_loop.now(), done = std::move(done)](bool confirmed) {
        if (confirmed && m_stoodStillAt && *m_stoodStillAt <= askedAt)
            m_stoodStillAt.reset();
        done(confirmed);
    });
}

// A node that begins streams by an old list gives them versions that no other node computes for
// them. One that is cut off goes on, and sends its records to the nodes that it reaches.
void stream_origin_relay::beginNew(std::function<void()> begin)
{
    if (!mayListBeOld() || m_loop.now() < m_nextConfirmation) {
        begin();
        return;
    }
    confirmList([this, begin = std::move(begin)](bool confirmed) {
        if (!confirmed)
            m_nextConfirmation = m_loop.now() + FailedConfirmationPause;
        begin();
    });
}

std::uint64_t stream_origin_relay::listRevision() const
{
    return std::max(m_listRevision ? m_listRevision() : 0, m_published.readyRevision());
}

bool stream_origin_relay::hasNoYoungServer(const pending_lookup &asked) const
{
    return m_directory.startedBefore(asked.service,
                                     m_loop.clock().wallNow() - asked.maxAge - MaxClockError);
}

stream_origin_relay::computed_version stream_origin_relay::compute(const request_digest &stream,
                                                                   const service_id &service,
                                                                   steady_time since) const
{
    const auto &versions = m_published.versions();
    return {versions.covers(service, since), versions.hadOneVersionSince(service, since),
            versions.assignedSince(stream, service, since)};
}

stream_origin_relay::computed_version stream_origin_relay::compute(const pending_lookup &asked,
                                                                   steady_time since) const
{
    return compute(asked.stream ? asked.stream->stream : request_digest{}, asked.service, since);
}

milliseconds stream_origin_relay::age() const
{
    return std::chrono::floor<milliseconds>(m_loop.now() - m_startedAt);
}

stream_origin_answer stream_origin_relay::answerTo(const stream_origin_query &query) const
{
    const auto since = m_loop.now() - query.maxAge;
    const auto computed = compute(query.stream, query.service, since);
    stream_origin_answer answer;
    answer.id = query.id;
    answer.origin = m_table.find(query.stream);
    if (!answer.origin)
        answer.origin = reportedOrigin(query.run);
    answer.severalVersions = !computed.isOnly;
    answer.covered = m_published.versions().observed(query.service, since);
    if (answer.covered)
        answer.computed = computed.version;
    answer.revision = listRevision();
    answer.readyRevision = m_published.readyRevision();
    answer.inContact = isInContact();
    return answer;
}

// Other nodes are asked even if this node knows of one version only: a node whose list is more
// recent may have begun the stream on another one.
void stream_origin_relay::find(const std::optional<stream_name> &stream, const service_id &service,
                               milliseconds maxAge, lookup_handler handler)
{
    auto known = stream ? m_table.find(stream->stream) : std::nullopt;
    auto source = origin_source::Own;
    if (!known && stream) {
        known = reportedOrigin(stream->run);
        source = origin_source::Server;
    }
    if (known && m_directory.hasUsable(known->service, known->version)) {
        handler({known, source});
        return;
    }
    if (!known && m_readsReports) {
        m_awaitingReports.push_back({stream, service, maxAge, m_loop.now(), std::move(handler)});
        return;
    }
    const auto id = ++m_lastLookup;
    auto &pending = m_pending[id];
    pending.stream = stream;
    pending.service = service;
    pending.askedAt = m_loop.now();
    pending.maxAge = maxAge + m_listDelay;
    pending.handler = std::move(handler);
    pending.found = known;
    pending.foundBy = source;
    if (known) {
        confirmList([this, id](bool confirmed) { onListConfirmed(id, confirmed); });
        return;
    }
    const auto asked = stream.value_or(stream_name{});
    const auto candidates = candidatesFor(stream);
    pending.candidates = candidates.size();
    // A peer counts back from the time at which the query arrives.
    const auto ageAtPeer = pending.maxAge + AnswerTimeout;
    for (const auto &vm : candidates) {
        if (const auto link = m_peers.linkTo(vm)) {
            link->send(stream_origin_query{id, asked.stream, service, ageAtPeer, asked.run});
            pending.unanswered.push_back(link);
        }
    }
    pending.asked = pending.unanswered.size();
    pending.peersDone = pending.unanswered.empty();
    if (!pending.peersDone)
        pending.timer = m_loop.callAfter(AnswerTimeout, [this, id] { onPeersDone(id); });
    confirmList([this, id](bool confirmed) { onListConfirmed(id, confirmed); });
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
        pending.found = answer.origin;
        pending.foundBy = origin_source::Peer;
        proceed(answer.id);
        return;
    }
    pending.severalVersions = pending.severalVersions || answer.severalVersions;
    pending.latestChange = std::max(pending.latestChange, answer.readyRevision);
    pending.inContact = pending.inContact || answer.inContact;
    // The processes of both nodes may have been stopped meanwhile.
    const bool isInTime = m_loop.now() - pending.askedAt <= AnswerTimeout;
    if (answer.covered && isInTime)
        pending.covering.push_back({answer.revision, answer.computed});
    if (pending.unanswered.empty())
        onPeersDone(answer.id);
}

void stream_origin_relay::onPeersDone(std::uint64_t id)
{
    auto &pending = m_pending.at(id);
    m_loop.cancelTimer(std::exchange(pending.timer, 0));
    pending.unanswered.clear();
    pending.peersDone = true;
    proceed(id);
}

void stream_origin_relay::onListConfirmed(std::uint64_t id, bool confirmed)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    found->second.confirmed = confirmed;
    proceed(id);
}

// A record may name a version that joined after this node's list was read; the confirmed list has
// its servers.
void stream_origin_relay::proceed(std::uint64_t id)
{
    const auto &pending = m_pending.at(id);
    if (pending.found) {
        const auto &[service, version] = *pending.found;
        if (pending.confirmed || m_directory.hasUsable(service, version))
            complete(id, {pending.found, pending.foundBy});
        return;
    }
    if (!pending.peersDone || !pending.confirmed)
        return;
    if (*pending.confirmed && !isCovered(pending) && m_readHistory) {
        m_awaitingHistory.push_back(id);
        if (m_awaitingHistory.size() > 1)
            return;
        const auto wait = std::max(m_nextHistoryRead - m_loop.now(), steady_time::duration{});
        m_loop.callAfter(std::chrono::ceil<milliseconds>(wait), [this] { readHistory(); });
        return;
    }
    complete(id, conclude(pending));
}

// The lists that the other node knows have to reach those that this node knows.
bool stream_origin_relay::isComplete(const covering_answer &answer) const
{
    return answer.revision >= m_published.readyRevision();
}

bool stream_origin_relay::isCovered(const pending_lookup &asked) const
{
    return compute(asked, asked.earliestBegin()).covered
        || std::ranges::any_of(asked.covering,
                               [&](const covering_answer &each) { return isComplete(each); });
}

std::set<software_version> stream_origin_relay::computedVersions(const pending_lookup &asked) const
{
    const auto knownSince = m_published.versions().knownSince();
    if (!knownSince)
        return {};
    std::set<std::optional<software_version>> versions;
    versions.insert(compute(asked, std::max(asked.earliestBegin(), *knownSince)).version);
    for (const auto &each : asked.covering) {
        if (isComplete(each))
            versions.insert(each.version);
    }
    std::set<software_version> certain;
    if (versions.contains(std::nullopt))
        return certain;
    for (const auto &each : versions)
        certain.insert(*each);
    return certain;
}

// A version that is not in a list may have served a moment ago, and one that joined a moment ago is
// not in it. Without a record the stream may continue only on a version that was certain for all
// lists from its possible beginning to the request. Without such knowledge:
// - If the store has answered neither this node nor the nodes that may keep the record for some
//   time, and none of these knows a change that this node doesn't know, the store is down and
//   nothing has been published since.
// - If the store has dropped its history and no server has started since, no release was in
//   progress.
origin_lookup stream_origin_relay::conclude(const pending_lookup &asked) const
{
    const auto own = compute(asked, asked.earliestBegin());
    const bool storeDown = !*asked.confirmed && own.covered && !isInContact() && !asked.inContact
        && asked.candidates > 0 && asked.answered == asked.candidates
        && asked.latestChange <= listRevision() && !m_directory.isAnyUnreachable();
    const bool covered = *asked.confirmed && isCovered(asked);
    const bool noRelease = *asked.confirmed && m_historyDropped && hasNoYoungServer(asked);
    if (!covered && !storeDown && !noRelease)
        return {};
    const auto computed = computedVersions(asked);
    const bool isOnly = own.isOnly && !asked.severalVersions;
    if (computed.size() != 1 || (!asked.stream && !isOnly))
        return {};
    return {stream_origin{asked.service, *computed.begin()},
            isOnly ? origin_source::OnlyVersion : origin_source::Computed};
}

void stream_origin_relay::setList(list_confirmation confirm,
                                  std::function<std::uint64_t()> revision)
{
    m_confirmList = std::move(confirm);
    m_listRevision = std::move(revision);
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
        const auto knownSince = m_published.versions().knownSince();
        const bool hasGap = history && knownSince && *knownSince > at;
        if (hasGap && m_historyRereads < MaxHistoryRereads) {
            ++m_historyRereads;
            m_loop.callAfter(milliseconds{1}, [this] { readHistory(); });
            return;
        }
        m_historyRereads = 0;
        m_historyDropped = false;
        if (history)
            addHistory(*history, at, wall);
        for (const auto id : std::exchange(m_awaitingHistory, {}))
            complete(id, conclude(m_pending.at(id)));
    });
}

// If changes were missed while the history was read, it ends before what this node knows.
void stream_origin_relay::addHistory(const store_history &history, steady_time readAt,
                                     wall_time readAtWall)
{
    const auto knownSince = m_published.versions().knownSince();
    if (!knownSince || *knownSince > readAt)
        return;
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
    found.confirmed = pending.confirmed.value_or(false);
    found.listRevision = listRevision();
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
            onPeersDone(id);
    }
}

} // namespace orchidlead::gateway
