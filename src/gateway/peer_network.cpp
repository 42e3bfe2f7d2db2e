#include "gateway/peer_network.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Probes of peers. A role that its holder can't fill costs all requests of a service their time, so
// silence is noticed within a second; a probe costs two datagrams of about 150 bytes.
constexpr milliseconds ProbeInterval{400};
constexpr milliseconds ProbeTimeout{120};
constexpr milliseconds SuspicionMin{1200};
constexpr milliseconds SuspicionMax{2000};
constexpr milliseconds SyncInterval{500};
constexpr milliseconds TickInterval{100};
// How often nodes of which nothing is heard are contacted: at first, and later.
constexpr milliseconds EagerContact{300};
constexpr milliseconds CalmContact{2000};
// How long a peer that didn't answer gets no role.
constexpr milliseconds Avoidance{1500};
// What is hashed with a node to pick the readers of the store.
constexpr std::string_view ReaderRole = "store reader";

membership_options toOptions(const gateway_settings &settings, std::uint64_t incarnation)
{
    membership_options options;
    options.self = {settings.vm, settings.dataCenter, settings.region, settings.listen.peers,
                    false};
    options.incarnation = incarnation;
    options.seed = incarnation;
    options.probeInterval = ProbeInterval;
    options.remoteProbeInterval = ProbeInterval;
    options.probeTimeout = ProbeTimeout;
    options.suspicionMin = SuspicionMin;
    options.suspicionMax = SuspicionMax;
    options.syncInterval = SyncInterval;
    return options;
}

} // namespace

peer_network::peer_network(http::io_loop &loop, wire::log &log, const gateway_settings &settings,
                           std::uint64_t incarnation, peer_events events)
    : m_loop(loop)
    , m_log(log)
    , m_self(settings.vm)
    , m_dataCenter(settings.dataCenter)
    , m_address(settings.listen.peers)
    , m_firstContacts(settings.firstContacts)
    , m_events(std::move(events))
    , m_members(loop.clock(), toOptions(settings, incarnation))
    , m_reach(loop.clock(), settings.dataCenter)
    , m_followsReach(!settings.without.contains(policy::DataCenterReach))
{
    std::erase(m_firstContacts, m_address);
}

peer_network::~peer_network()
{
    for (const auto &[peer, link] : std::exchange(m_links, {}))
        link->drop();
    for (const auto &weak : m_accepted) {
        if (const auto link = weak.lock())
            link->drop();
    }
}

std::optional<http::listen_error> peer_network::start()
{
    auto datagrams = http::datagram_socket::create(
        m_loop, m_address,
        [this](const socket_address &from, std::string_view bytes) { onDatagram(from, bytes); });
    if (!datagrams)
        return http::listen_error{datagrams.error().what};
    auto links = http::acceptor::create(
        m_loop, m_address,
        [this](std::shared_ptr<http::stream_socket> socket) { accept(std::move(socket)); });
    if (!links)
        return std::move(links).error();
    m_datagrams = std::move(datagrams).value();
    m_acceptor = std::move(links).value();
    tick();
    return std::nullopt;
}

void peer_network::tick()
{
    membership_actions actions;
    m_members.tick(actions);
    carryOut(actions);
    followReach();
    forgetHosts();
    if (m_loop.now() >= m_nextContact)
        contactOthers();
    m_loop.callAfter(TickInterval, [this] { tick(); });
}

void peer_network::onDatagram(const socket_address &from, std::string_view bytes)
{
    membership_actions actions;
    m_members.onDatagram(from, bytes, actions);
    carryOut(actions);
    for (const auto &each : m_members.members()) {
        if (each.vm.peerAddress == from)
            m_reach.onHeard(each.vm.dataCenter);
    }
}

void peer_network::followReach()
{
    if (!m_followsReach)
        return;
    for (const auto &event : m_reach.tick()) {
        if (event.step == reach_step::AskPeers)
            askPeersIn(event.dataCenter);
        else
            m_events.onReach(event);
        if (event.step == reach_step::Lost)
            closeLinksTo(event.dataCenter);
    }
}

// Two at a time, all in turn: one of them may be down.
void peer_network::askPeersIn(const data_center_id &dataCenter)
{
    constexpr std::size_t AskedAtOnce = 2;
    std::vector<socket_address> there;
    for (const auto &each : m_members.members()) {
        if (each.vm.dataCenter == dataCenter)
            there.push_back(each.vm.peerAddress);
    }
    std::vector<socket_address> asked;
    for (std::size_t i = 0; i < std::min(AskedAtOnce, there.size()); ++i)
        asked.push_back(there[m_lastAsked++ % there.size()]);
    membership_actions actions;
    m_members.contact(asked, actions);
    carryOut(actions);
}

// What waits for an answer of theirs goes elsewhere at once.
void peer_network::closeLinksTo(const data_center_id &dataCenter)
{
    std::vector<std::shared_ptr<peer_link>> links;
    for (const auto &[peer, link] : m_links) {
        const auto known = m_members.find(peer);
        if (known && known->vm.dataCenter == dataCenter)
            links.push_back(link);
    }
    for (const auto &link : links)
        link->close();
}

// First contacts may be away, and members on the far side of a cut are taken for dead there and
// here: both are asked again and again, or they would never meet.
void peer_network::contactOthers()
{
    std::vector<socket_address> silent = m_firstContacts;
    bool alone = true;
    for (const auto &each : m_members.members()) {
        if (each.vm.vm == m_self)
            continue;
        const bool heard = each.state == member_state::Alive || each.state == member_state::Leaving;
        alone = alone && !heard;
        if (heard)
            std::erase(silent, each.vm.peerAddress);
        else if (std::ranges::find(silent, each.vm.peerAddress) == silent.end())
            silent.push_back(each.vm.peerAddress);
    }
    m_nextContact = m_loop.now() + (alone ? EagerContact : CalmContact);
    membership_actions actions;
    m_members.contact(silent, actions);
    carryOut(actions);
}

void peer_network::carryOut(const membership_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *datagram = std::get_if<gossip_datagram>(&action))
            m_datagrams->send(datagram->to, datagram->bytes);
        else if (const auto *change = std::get_if<member_changed>(&action))
            onMemberChanged(*change);
        else if (const auto *report = std::get_if<peer_report>(&action))
            m_events.onPeerVersion(report->vm, report->configuration.version);
        else if (const auto *pause = std::get_if<paused>(&action))
            m_log.write(
                wire::log_level::Warning, wire::node_event::PauseNoticed,
                std::to_string(std::chrono::duration_cast<milliseconds>(pause->duration).count())
                    + " ms");
    }
}

void peer_network::onMemberChanged(const member_changed &change)
{
    m_log.write(wire::log_level::Info, wire::node_event::MemberChanged,
                change.now.vm.vm.value + " " + std::string(toName(change.now.state)));
    forgetHosts();
    if (change.now.state != member_state::Dead)
        return;
    if (const auto found = m_links.find(change.now.vm.vm); found != m_links.end()) {
        const auto link = found->second;
        link->close();
    }
}

bool peer_network::avoided(const vm_id &peer) const
{
    const auto found = m_avoided.find(peer);
    return found != m_avoided.end() && m_loop.now() < found->second;
}

// Asked for each piece, and all members are hashed for an answer: so it is kept until something
// changes that it depends on.
vm_id peer_network::hostOf(const pool_key &pool)
{
    if (m_loop.now() >= m_hostsUntil)
        forgetHosts();
    auto &kept = m_hosts[pool];
    if (kept.current)
        return kept.vm;
    const auto before = std::exchange(kept.vm, pickHost(pool));
    kept.current = true;
    if (kept.vm != before)
        m_events.onHostChanged(pool, kept.vm);
    return kept.vm;
}

void peer_network::forgetHosts()
{
    for (auto &[pool, kept] : m_hosts)
        kept.current = false;
    m_hostsUntil = steady_time::max();
    for (const auto &[peer, until] : m_avoided) {
        if (until > m_loop.now())
            m_hostsUntil = std::min(m_hostsUntil, until);
    }
}

std::vector<vm_id> peer_network::candidates(const data_center_id &dataCenter) const
{
    std::vector<vm_id> found;
    for (const auto &each : m_members.members()) {
        const bool self = each.vm.vm == m_self;
        const bool usable = each.state == member_state::Alive && !avoided(each.vm.vm)
            && m_reach.reaches(each.vm.dataCenter);
        const bool there = dataCenter.empty() || each.vm.dataCenter == dataCenter;
        if (there && (usable || (self && each.state != member_state::Leaving)))
            found.push_back(each.vm.vm);
    }
    return found;
}

// The pool of a data centre that has no node left is hosted elsewhere.
vm_id peer_network::pickHost(const pool_key &pool) const
{
    auto hosts = candidates(pool.dataCenter);
    if (hosts.empty())
        hosts = candidates({});
    const auto picked = rendezvousPick(pool.service.value, hosts, 1);
    return picked.empty() ? m_self : picked.front();
}

std::vector<vm_id> peer_network::readers(std::size_t count) const
{
    return rendezvousPick(ReaderRole, candidates(m_dataCenter), count);
}

std::vector<vm_id> peer_network::peers() const
{
    std::vector<vm_id> near;
    std::vector<vm_id> far;
    for (const auto &each : m_members.members()) {
        if (each.vm.vm == m_self || each.state != member_state::Alive)
            continue;
        (each.vm.dataCenter == m_dataCenter ? near : far).push_back(each.vm.vm);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

std::map<std::string, std::size_t> peer_network::countByState() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &each : m_members.members())
        ++counts[std::string(toName(each.state))];
    return counts;
}

std::size_t peer_network::nodes() const
{
    return m_members.members().size();
}

std::shared_ptr<peer_link> peer_network::linkTo(const vm_id &peer)
{
    if (const auto found = m_links.find(peer); found != m_links.end())
        return found->second;
    const auto known = m_members.find(peer);
    if (!known)
        return nullptr;
    auto link = std::make_shared<peer_link>(m_loop, linkEvents(known->vm.dataCenter));
    m_links.emplace(peer, link);
    link->open(known->vm.peerAddress);
    return link;
}

std::optional<vm_id> peer_network::peerOf(const std::shared_ptr<peer_link> &link) const
{
    for (const auto &[peer, each] : m_links) {
        if (each == link)
            return peer;
    }
    return std::nullopt;
}

peer_link::events peer_network::linkEvents(const data_center_id &from)
{
    peer_link::events handlers;
    handlers.onFrame = [this, from](const std::shared_ptr<peer_link> &link, peer_frame &&frame) {
        m_reach.onHeard(from);
        m_events.onFrame(link, std::move(frame));
    };
    handlers.onClosed = [this](const std::shared_ptr<peer_link> &link) {
        if (const auto peer = peerOf(link)) {
            avoid(*peer);
            m_links.erase(*peer);
        }
        m_events.onLinkClosed(link);
    };
    return handlers;
}

void peer_network::accept(std::shared_ptr<http::stream_socket> socket)
{
    std::erase_if(m_accepted, [](const auto &weak) { return weak.expired(); });
    const auto link = std::make_shared<peer_link>(m_loop, linkEvents({}));
    m_accepted.push_back(link);
    link->accept(std::move(socket));
}

void peer_network::avoid(const vm_id &peer)
{
    m_avoided[peer] = m_loop.now() + Avoidance;
    forgetHosts();
}

void peer_network::setVersion(std::uint64_t version)
{
    m_members.setConfiguration({version, 0});
}

void peer_network::announceLeaving()
{
    membership_actions actions;
    m_members.announceLeaving(actions);
    carryOut(actions);
    forgetHosts();
}

void peer_network::announceStopped()
{
    membership_actions actions;
    m_members.announceStopped(actions);
    carryOut(actions);
}

} // namespace orchidlead::gateway
