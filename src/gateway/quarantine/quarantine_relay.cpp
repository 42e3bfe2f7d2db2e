#include "gateway/quarantine/quarantine_relay.h"

#include "gateway/log_event.h"

#include <algorithm>
#include <string>
#include <utility>

namespace orchidlead::gateway {

namespace {

// A host answers within a round trip, 2 ms between data centres. A suspected request isn't sent
// without its word: the caller comes back, and a server that ends takes others with it.
constexpr milliseconds HostPatience{100};
// A peer that was told something and says nothing for so long has a link that is silent.
constexpr milliseconds LinkSilence{1000};
// Servers that a log line names; it tells how many there were.
constexpr std::size_t MostServersNamed = 8;
// Between two looks for what is too old to count.
constexpr milliseconds ForgetInterval{1000};

std::string firstNames(const std::vector<backend_server_id> &servers)
{
    std::string names;
    for (std::size_t i = 0; i < std::min(servers.size(), MostServersNamed); ++i)
        names += (i == 0 ? "" : ",") + servers[i].value;
    return names;
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

server_ends_frame quarantine_relay::makeFrame(const std::vector<server_end> &ends) const
{
    server_ends_frame frame;
    const auto ago = [now = m_loop.now()](steady_time since) {
        return std::chrono::duration_cast<milliseconds>(now - since);
    };
    for (const auto &each : ends) {
        auto &told = frame.ends.emplace_back();
        told.server = each.server;
        told.ago = ago(each.at);
        for (const auto &request : each.requests)
            told.requests.push_back({request.digest, ago(request.sentAt)});
    }
    return frame;
}

quarantine_frame quarantine_relay::makeFrame(const std::vector<quarantine_entry> &entries)
{
    quarantine_frame frame;
    if (isHost())
        frame.host = m_peers.self();
    for (const auto &each : entries) {
        const auto left = std::chrono::duration_cast<milliseconds>(each.until - m_loop.now());
        frame.entries.push_back({each.request, each.level, each.version, left, each.times});
    }
    return frame;
}

void quarantine_relay::logEntry(const quarantine_entry &entry, std::string_view from,
                                const vm_id &by)
{
    const auto found = m_quarantine.evidenceOf(entry.request);
    auto line = m_log.line(wire::log_level::Warning, toName(log_event::QuarantineChanged));
    line.add("digest", toText(entry.request)).add("level", toName(entry.level));
    line.add("from", from).add("by", by.value);
    line.add("ends", found.seen).add("charged", found.charged);
    line.add("servers_ended", firstNames(found.servers));
    const auto left = std::chrono::duration_cast<milliseconds>(entry.until - m_loop.now());
    line.add("times", entry.times).add("left_ms", left.count());
    m_log.write(wire::log_level::Warning, std::move(line));
}

// What this node knows goes to the host, unless it came from there.
void quarantine_relay::tellHost(const std::vector<server_end> &ends,
                                const std::vector<quarantine_entry> &entries)
{
    if (isHost())
        return;
    const auto link = linkToHost();
    if (!link) {
        m_host = {}; // it is told when it can be reached
        return;
    }
    if (!ends.empty())
        link->send(makeFrame(ends));
    if (!entries.empty())
        link->send(makeFrame(entries));
    link->ask();
    m_hostLink = link;
}

incarnation quarantine_relay::incarnationOf(const vm_id &vm) const
{
    const auto known = m_peers.view().find(vm);
    return known ? known->incarnation : 0;
}

quarantine_relay::node_start quarantine_relay::hostStart()
{
    const auto &vm = m_peers.quarantineHost();
    return {vm, incarnationOf(vm)};
}

// A later host knows nothing of what the earlier one was told.
void quarantine_relay::followHost()
{
    const auto host = hostStart();
    if (m_host == host)
        return;
    m_host = host;
    m_hostLink.reset();
    if (isHost())
        return;
    const auto ends = m_quarantine.ends();
    const auto entries = m_quarantine.entries();
    if (!ends.empty() || !entries.empty())
        tellHost(ends, entries);
}

void quarantine_relay::tellMembers()
{
    const auto entries = m_quarantine.entries();
    if (entries.empty() || !isHost())
        return;
    const auto frame = makeFrame(entries);
    for (const auto &peer : m_peers.view().peers()) {
        const auto number = incarnationOf(peer);
        const auto told = m_told.find(peer);
        if (told != m_told.end() && told->second.number == number)
            continue;
        const auto link = m_peers.linkTo(peer);
        if (!link)
            continue;
        link->send(frame);
        link->ask();
        m_told[peer] = {number, link};
    }
}

// The host tells all; others tell the host what it can't know yet.
void quarantine_relay::publish(const std::vector<quarantine_entry> &entries, origin from)
{
    if (entries.empty())
        return;
    if (!isHost()) {
        if (from != origin::Host)
            tellHost({}, entries);
        return;
    }
    const auto frame = makeFrame(entries);
    for (const auto &[peer, told] : m_told) {
        told.link->send(frame);
        told.link->ask();
    }
    tellMembers();
}

void quarantine_relay::decide()
{
    if (!isHost())
        return;
    const auto changed = m_quarantine.decide();
    for (const auto &each : changed)
        logEntry(each, "ends", m_peers.self());
    publish(changed, origin::Here);
}

void quarantine_relay::onServerEnd(const server_end &end)
{
    if (!m_quarantine.onServerEnd(end))
        return;
    tellHost({end}, {});
    decide();
}

void quarantine_relay::onServed(const request_digest &request)
{
    const auto changed = m_quarantine.onServed(request);
    if (!changed)
        return;
    logEntry(*changed, "served", m_peers.self());
    publish({*changed}, origin::Here);
}

void quarantine_relay::askTrial(const request_digest &request, trial_handler answer)
{
    const auto link = linkToHost();
    if (!link) {
        m_loop.post([this, request, answer = std::move(answer)] {
            answer(m_quarantine.tryTrial(request));
        });
        return;
    }
    link->send(trial_request{request});
    open_trial asked{std::move(answer), 0};
    asked.timer = m_loop.callAfter(HostPatience, [this, request] {
        onTrialAnswer(nullptr, {request, false});
    });
    m_trials[request].push_back(std::move(asked));
}

// Answers come in the order of the questions, as one host is asked over one link.
void quarantine_relay::onTrialAnswer(const link_ptr &link, const trial_answer &answer)
{
    const auto found = m_trials.find(answer.request);
    if (found == m_trials.end()) {
        // It comes too late: the request was refused meanwhile.
        if (answer.granted)
            link->send(trial_end{answer.request});
        return;
    }
    auto asked = std::move(found->second.front());
    found->second.erase(found->second.begin());
    if (found->second.empty())
        m_trials.erase(found);
    m_loop.cancelTimer(asked.timer);
    if (answer.granted)
        m_granting[answer.request] = link;
    asked.answer(answer.granted);
}

void quarantine_relay::endTrial(const request_digest &request)
{
    auto granting = m_granting.extract(request);
    if (!granting.empty())
        granting.mapped()->send(trial_end{request});
    else
        m_quarantine.endTrial(request);
}

void quarantine_relay::tick()
{
    followHost();
    tellMembers();
    closeSilentLinks();
    decide();
    if (m_loop.now() < m_nextForget)
        return;
    m_nextForget = m_loop.now() + ForgetInterval;
    m_quarantine.forgetOld();
}

void quarantine_relay::closeSilentLinks()
{
    std::vector<link_ptr> silent;
    const auto look = [&](const link_ptr &link) {
        if (link && link->askedAt() && m_loop.now() - *link->askedAt() > LinkSilence)
            silent.push_back(link);
    };
    look(m_hostLink);
    for (const auto &[peer, told] : m_told)
        look(told.link);
    for (const auto &link : silent)
        link->close();
}

void quarantine_relay::onFrame(const link_ptr &link, const peer_frame &frame)
{
    if (const auto *ends = std::get_if<server_ends_frame>(&frame))
        onEnds(*ends);
    else if (const auto *entries = std::get_if<quarantine_frame>(&frame))
        onEntries(*entries);
    else if (const auto *asked = std::get_if<trial_request>(&frame))
        onTrialRequest(link, asked->request);
    else if (const auto *answer = std::get_if<trial_answer>(&frame))
        onTrialAnswer(link, *answer);
    else if (const auto *end = std::get_if<trial_end>(&frame))
        onTrialEnd(link, end->request);
}

void quarantine_relay::onEnds(const server_ends_frame &frame)
{
    std::vector<server_end> learnt;
    for (const auto &each : frame.ends) {
        server_end end{each.server, m_loop.now() - each.ago, {}};
        for (const auto &request : each.requests)
            end.requests.push_back({request.digest, m_loop.now() - request.sentAgo});
        if (m_quarantine.onServerEnd(end))
            learnt.push_back(end);
    }
    if (learnt.empty())
        return;
    tellHost(learnt, {});
    decide();
}

void quarantine_relay::onEntries(const quarantine_frame &frame)
{
    // The host needn't hear back what it has just told.
    const bool knewNothing = m_quarantine.ends().empty() && m_quarantine.entries().empty();
    if (knewNothing && frame.host == m_peers.quarantineHost())
        m_host = hostStart();
    std::vector<quarantine_entry> taken;
    for (const auto &each : frame.entries) {
        const quarantine_entry entry{each.request, each.level, each.version,
                                     m_loop.now() + each.left, each.times};
        const auto kept = m_quarantine.merge(entry);
        if (!kept)
            continue;
        const bool contradicted = kept->version != entry.version;
        logEntry(*kept, contradicted ? "served" : "peer",
                 contradicted ? m_peers.self() : frame.host);
        // The peer that told it must hear that it isn't so.
        if (contradicted)
            publish({*kept}, origin::Here);
        else
            taken.push_back(*kept);
    }
    publish(taken, frame.host.empty() ? origin::Member : origin::Host);
}

void quarantine_relay::onTrialRequest(const link_ptr &link, const request_digest &request)
{
    const bool granted = m_quarantine.tryTrial(request);
    if (granted)
        m_granted[link].insert(request);
    link->send(trial_answer{request, granted});
}

void quarantine_relay::onTrialEnd(const link_ptr &link, const request_digest &request)
{
    const auto found = m_granted.find(link);
    if (found != m_granted.end() && found->second.erase(request) > 0)
        m_quarantine.endTrial(request);
}

// A node whose link ended may have ended, too, and its trials with it.
void quarantine_relay::onLinkClosed(const link_ptr &link)
{
    if (const auto found = m_granted.find(link); found != m_granted.end()) {
        for (const auto &request : found->second)
            m_quarantine.endTrial(request);
        m_granted.erase(found);
    }
    std::erase_if(m_told, [&](const auto &each) { return each.second.link == link; });
    std::erase_if(m_granting, [&](const auto &each) { return each.second == link; });
    if (m_hostLink != link)
        return;
    // What was on its way to the host may be lost.
    m_hostLink.reset();
    m_host = {};
}

} // namespace orchidlead::gateway
