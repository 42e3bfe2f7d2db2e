#include "gateway/quarantine/quarantine_relay.h"

#include "gateway/log_event.h"

#include <algorithm>
#include <string>
#include <utility>

namespace orchidlead::gateway {

namespace {

// The host answers within a round trip, 2 ms between data centres. A suspected request isn't sent
// without permission from the host: the caller retries, whereas a crash also fails the requests of
// other callers.
constexpr milliseconds HostReplyTimeout{100};
// A link on which no reply arrives for this long after a frame was sent is closed.
constexpr milliseconds LinkReplyTimeout{1000};
// Most servers listed in a log line, which also gives the number of crashes.
constexpr std::size_t MaxLoggedServers = 8;
// Interval at which expired records are removed.
constexpr milliseconds ExpiryInterval{1000};

std::string joinFirstIds(const std::vector<backend_server_id> &servers)
{
    std::string ids;
    for (std::size_t i = 0; i < std::min(servers.size(), MaxLoggedServers); ++i)
        ids += (i == 0 ? "" : ",") + servers[i].value;
    return ids;
}

} // namespace

quarantine_relay::quarantine_relay(http::io_loop &loop, peer_network &peers, wire::log &log)
    : m_loop(loop)
    , m_peers(peers)
    , m_log(log)
    , m_quarantine(loop.clock())
{ }

quarantine_relay::link_ptr quarantine_relay::linkToHost()
{
    return isHost() ? nullptr : m_peers.linkTo(m_peers.quarantineHost());
}

server_crashes_frame quarantine_relay::makeFrame(const std::vector<server_crash> &crashes) const
{
    server_crashes_frame frame;
    const auto ago = [now = m_loop.now()](steady_time since) {
        return std::chrono::duration_cast<milliseconds>(now - since);
    };
    for (const auto &each : crashes) {
        auto &outgoing = frame.serverCrashes.emplace_back();
        outgoing.server = each.server;
        outgoing.ago = ago(each.at);
        for (const auto &request : each.subjects)
            outgoing.subjects.push_back(
                {request.digest, ago(request.sentAt), request.breadth, request.shared});
    }
    return frame;
}

quarantine_frame quarantine_relay::makeFrame(const std::vector<quarantine_entry> &entries)
{
    quarantine_frame frame;
    if (isHost())
        frame.host = m_peers.self();
    for (const auto &each : entries) {
        const auto remaining =
            std::chrono::duration_cast<milliseconds>(each.expiresAt - m_loop.now());
        frame.entries.push_back(
            {each.request, each.level, each.version, remaining, each.quarantineCount, each.isPart,
             std::chrono::duration_cast<milliseconds>(m_loop.now() - each.disputableSince)});
    }
    return frame;
}

void quarantine_relay::logEntry(const quarantine_entry &entry, std::string_view from,
                                const vm_id &by)
{
    const auto found = m_quarantine.evidenceOf(entry.request);
    auto line = m_log.line(wire::log_level::Warning, toName(log_event::QuarantineChanged));
    line.add("digest", toText(entry.request)).add("subject", entry.isPart ? "part" : "request");
    line.add("level", toName(entry.level));
    line.add("from", from).add("by", by.value);
    line.add("ends", found.crashCount).add("charged", found.attributedCrashCount);
    line.add("servers_ended", joinFirstIds(found.servers));
    const auto remaining = std::chrono::duration_cast<milliseconds>(entry.expiresAt - m_loop.now());
    line.add("times", entry.quarantineCount).add("left_ms", remaining.count());
    m_log.write(wire::log_level::Warning, std::move(line));
}

// Sends this node's information to the host. Callers leave out what the host itself sent.
void quarantine_relay::sendToHost(const std::vector<server_crash> &crashes,
                                  const std::vector<quarantine_entry> &entries)
{
    if (isHost())
        return;
    const auto link = linkToHost();
    if (!link) {
        m_syncedHost = {}; // makes `resyncWithHost` send everything once the host can be reached
        return;
    }
    if (!crashes.empty())
        link->send(makeFrame(crashes));
    if (!entries.empty())
        link->send(makeFrame(entries));
    link->sendPing();
    m_hostLink = link;
}

incarnation quarantine_relay::incarnationOf(const vm_id &vm) const
{
    const auto known = m_peers.view().find(vm);
    return known ? known->incarnation : 0;
}

quarantine_relay::node_instance quarantine_relay::currentHost()
{
    const auto &vm = m_peers.quarantineHost();
    return {vm, incarnationOf(vm)};
}

// A new host, or a restarted one, has none of the information that was sent to the previous one, so
// this node sends everything that it has.
void quarantine_relay::resyncWithHost()
{
    const auto host = currentHost();
    if (m_syncedHost == host)
        return;
    m_syncedHost = host;
    m_hostLink.reset();
    if (isHost())
        return;
    const auto crashes = m_quarantine.crashes();
    const auto entries = m_quarantine.entries();
    if (!crashes.empty() || !entries.empty())
        sendToHost(crashes, entries);
}

void quarantine_relay::syncNewMembers()
{
    const auto entries = m_quarantine.entries();
    if (entries.empty() || !isHost())
        return;
    const auto frame = makeFrame(entries);
    for (const auto &peer : m_peers.view().peers()) {
        const auto incarnationNumber = incarnationOf(peer);
        const auto synced = m_syncedMembers.find(peer);
        if (synced != m_syncedMembers.end()
            && synced->second.incarnationNumber == incarnationNumber)
            continue;
        const auto link = m_peers.linkTo(peer);
        if (!link)
            continue;
        link->send(frame);
        link->sendPing();
        m_syncedMembers[peer] = {incarnationNumber, link};
    }
}

// The host sends the entries to all nodes. Other nodes send them to the host, unless it is their
// source.
void quarantine_relay::publish(const std::vector<quarantine_entry> &entries, origin from)
{
    if (entries.empty())
        return;
    if (!isHost()) {
        if (from != origin::Host)
            sendToHost({}, entries);
        return;
    }
    const auto frame = makeFrame(entries);
    for (const auto &[peer, synced] : m_syncedMembers) {
        synced.link->send(frame);
        synced.link->sendPing();
    }
    syncNewMembers();
}

void quarantine_relay::decide()
{
    if (!isHost())
        return;
    const auto changed = m_quarantine.decide();
    for (const auto &each : changed)
        logEntry(each, "ends", m_peers.self());
    publish(changed, origin::Local);
    reportQuarantined(changed);
}

void quarantine_relay::reportQuarantined(const std::vector<quarantine_entry> &entries)
{
    for (const auto &each : entries) {
        if (each.level == quarantine_level::Quarantined && m_onQuarantined)
            m_onQuarantined(each.request);
    }
}

void quarantine_relay::onServerCrash(const server_crash &crash)
{
    if (!m_quarantine.onServerCrash(crash))
        return;
    sendToHost({crash}, {});
    decide();
}

void quarantine_relay::onRequestServed(const request_digest &request)
{
    onServed(m_quarantine.onRequestServed(request));
}

void quarantine_relay::onPartServed(const request_digest &part, steady_time at)
{
    onServed(m_quarantine.onPartServed(part, at));
}

void quarantine_relay::onServed(const std::optional<quarantine_entry> &changed)
{
    if (!changed)
        return;
    logEntry(*changed, "served", m_peers.self());
    publish({*changed}, origin::Local);
}

void quarantine_relay::requestTrial(const request_digest &request, trial_handler answer)
{
    const auto link = linkToHost();
    if (!link) {
        m_loop.post([this, request, answer = std::move(answer)] {
            answer(m_quarantine.tryStartTrial(request));
        });
        return;
    }
    link->send(trial_request{request});
    pending_trial pending{std::move(answer), 0};
    pending.timer = m_loop.callAfter(HostReplyTimeout, [this, request] {
        onTrialAnswer(nullptr, {request, false});
    });
    m_pendingTrials[request].push_back(std::move(pending));
}

// Answers arrive in the order of the requests, because all requests go to one host over one link.
void quarantine_relay::onTrialAnswer(const link_ptr &link, const trial_answer &answer)
{
    const auto found = m_pendingTrials.find(answer.request);
    if (found == m_pendingTrials.end()) {
        // The answer is late: the request has been refused in the meantime.
        if (answer.granted)
            link->send(trial_end{answer.request});
        return;
    }
    auto pending = std::move(found->second.front());
    found->second.erase(found->second.begin());
    if (found->second.empty())
        m_pendingTrials.erase(found);
    m_loop.cancelTimer(pending.timer);
    if (answer.granted)
        m_ownTrialLinks[answer.request] = link;
    pending.answer(answer.granted);
}

void quarantine_relay::endTrial(const request_digest &request)
{
    auto trialLink = m_ownTrialLinks.extract(request);
    if (!trialLink.empty())
        trialLink.mapped()->send(trial_end{request});
    else
        m_quarantine.endTrial(request);
}

void quarantine_relay::tick()
{
    resyncWithHost();
    syncNewMembers();
    closeUnresponsiveLinks();
    decide();
    if (m_loop.now() < m_nextExpiry)
        return;
    m_nextExpiry = m_loop.now() + ExpiryInterval;
    m_quarantine.removeExpired();
}

void quarantine_relay::closeUnresponsiveLinks()
{
    std::vector<link_ptr> unresponsive;
    const auto collectIfUnresponsive = [&](const link_ptr &link) {
        if (link && link->pingSentAt() && m_loop.now() - *link->pingSentAt() > LinkReplyTimeout)
            unresponsive.push_back(link);
    };
    collectIfUnresponsive(m_hostLink);
    for (const auto &[peer, synced] : m_syncedMembers)
        collectIfUnresponsive(synced.link);
    for (const auto &link : unresponsive)
        link->close();
}

void quarantine_relay::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *crashes = std::get_if<server_crashes_frame>(&frame))
        onServerEndsFrame(*crashes);
    else if (const auto *entries = std::get_if<quarantine_frame>(&frame))
        onQuarantineFrame(*entries);
    else if (const auto *requested = std::get_if<trial_request>(&frame))
        onTrialRequest(link, requested->request);
    else if (const auto *answer = std::get_if<trial_answer>(&frame))
        onTrialAnswer(link, *answer);
    else if (const auto *end = std::get_if<trial_end>(&frame))
        onTrialEnd(link, end->request);
}

void quarantine_relay::onServerEndsFrame(const server_crashes_frame &frame)
{
    std::vector<server_crash> newCrashes;
    for (const auto &each : frame.serverCrashes) {
        server_crash crash{each.server, m_loop.now() - each.ago, {}};
        for (const auto &request : each.subjects)
            crash.subjects.push_back(
                {request.digest, m_loop.now() - request.sentAgo, request.breadth, request.shared});
        if (m_quarantine.onServerCrash(crash))
            newCrashes.push_back(crash);
    }
    if (newCrashes.empty())
        return;
    sendToHost(newCrashes, {});
    decide();
}

void quarantine_relay::onQuarantineFrame(const quarantine_frame &frame)
{
    // A node without information of its own has nothing to send back to the host, which is
    // therefore in sync with it.
    const bool hadNoInformation = m_quarantine.crashes().empty() && m_quarantine.entries().empty();
    if (hadNoInformation && frame.host == m_peers.quarantineHost())
        m_syncedHost = currentHost();
    std::vector<quarantine_entry> accepted;
    for (const auto &each : frame.entries) {
        const quarantine_entry entry{each.request,
                                     each.level,
                                     each.version,
                                     m_loop.now() + each.remaining,
                                     each.quarantineCount,
                                     each.isPart,
                                     m_loop.now() - each.disputableAgo};
        const auto kept = m_quarantine.merge(entry);
        if (!kept)
            continue;
        const bool overridden = kept->version != entry.version;
        logEntry(*kept, overridden ? "served" : "peer", overridden ? m_peers.self() : frame.host);
        // The sender must receive the entry that overrides its own.
        if (overridden)
            publish({*kept}, origin::Local);
        else
            accepted.push_back(*kept);
    }
    publish(accepted, frame.host.empty() ? origin::Member : origin::Host);
    reportQuarantined(accepted);
}

void quarantine_relay::onTrialRequest(const link_ptr &link, const request_digest &request)
{
    const bool granted = m_quarantine.tryStartTrial(request);
    if (granted)
        m_remoteTrials[link].insert(request);
    link->send(trial_answer{request, granted});
}

void quarantine_relay::onTrialEnd(const link_ptr &link, const request_digest &request)
{
    const auto found = m_remoteTrials.find(link);
    if (found != m_remoteTrials.end() && found->second.erase(request) > 0)
        m_quarantine.endTrial(request);
}

// The node at the other end of a closed link may have stopped, so its trials are ended.
void quarantine_relay::onLinkClosed(const link_ptr &link)
{
    if (const auto found = m_remoteTrials.find(link); found != m_remoteTrials.end()) {
        for (const auto &request : found->second)
            m_quarantine.endTrial(request);
        m_remoteTrials.erase(found);
    }
    std::erase_if(m_syncedMembers, [&](const auto &each) { return each.second.link == link; });
    std::erase_if(m_ownTrialLinks, [&](const auto &each) { return each.second == link; });
    if (m_hostLink != link)
        return;
    // Frames in flight to the host may be lost, so everything is sent again.
    m_hostLink.reset();
    m_syncedHost = {};
}

} // namespace orchidlead::gateway
