#include "gateway/peers/peer_view.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Probes of peers. A role that its holder can't fill costs all requests of a service their time, so
// silence is noticed within a second; a probe costs two datagrams of about 150 bytes.
constexpr milliseconds ProbeInterval{400};
constexpr milliseconds ProbeTimeout{120};
// Of so many members in other data centres each is probed as often as one of the own; of more less
// often, since each of them is probed by its own data centre and by many from others.
constexpr std::size_t RemoteProbesInFull = 24;
constexpr milliseconds SuspicionMin{1200};
constexpr milliseconds SuspicionMax{2000};
constexpr milliseconds SyncInterval{250};
// Nodes that can be told apart: nothing lists them, so all count as unlisted. Ten times those that
// are expected; a record takes about 500 bytes.
constexpr std::size_t MostNodes = 4096;
// How often nodes of which nothing is heard are contacted: at first, and later.
constexpr milliseconds EagerContact{300};
constexpr milliseconds CalmContact{2000};
// Of these, so many at a time.
constexpr std::size_t MostContacts = 8;
// How long a peer that didn't answer gets no role.
constexpr milliseconds Avoidance{1500};
// A node that starts knows all others within this; before, it may take itself for the only one.
constexpr milliseconds AcquaintanceTime{2000};
// What is hashed with a node to order those who read the store or relay what it publishes.
constexpr std::string_view RelayRole = "store reader";
// Nodes of a data centre that relay what others hear: while one of them ends the other one is
// there.
constexpr std::size_t NewsRelays = 2;
// Nodes from which hosts are picked, at least: those that can do most.
constexpr std::size_t LeastHosts = 4;
// What is hashed to pick the one that decides on requests under which servers end.
constexpr std::string_view QuarantineRole = "request quarantine";

/// Gives the next ones of a list that may have changed since `last` was taken.
std::vector<socket_address> takeInTurn(const std::vector<socket_address> &all, std::size_t count,
                                       std::size_t &last)
{
    std::vector<socket_address> taken;
    for (std::size_t i = 0; i < std::min(count, all.size()); ++i)
        taken.push_back(all[last++ % all.size()]);
    return taken;
}

membership_options toOptions(const peer_identity &identity)
{
    membership_options options;
    options.self = {identity.vm, identity.dataCenter, identity.region, identity.address,
                    false,       identity.capacity};
    options.incarnation = identity.incarnation;
    options.seed = identity.incarnation;
    options.probeInterval = ProbeInterval;
    options.remoteProbeInterval = ProbeInterval;
    options.remoteProbesInFull = RemoteProbesInFull;
    options.probeTimeout = ProbeTimeout;
    options.suspicionMin = SuspicionMin;
    options.suspicionMax = SuspicionMax;
    options.syncInterval = SyncInterval;
    options.maxMembers = MostNodes;
    options.maxUnlisted = MostNodes;
    return options;
}

} // namespace

peer_view::peer_view(const clock_source &clock, const peer_identity &identity,
                     std::function<void(const pool_key &, const vm_id &)> onHostChanged)
    : m_clock(clock)
    , m_identity(identity)
    , m_onHostChanged(std::move(onHostChanged))
    , m_members(clock, toOptions(identity))
    , m_reach(clock, identity.dataCenter)
    , m_lastContacted(static_cast<std::size_t>(identity.incarnation))
    , m_startedAt(clock.now())
{
    std::erase(m_identity.firstContacts, identity.address);
}

void peer_view::tick(membership_actions &out)
{
    m_members.tick(out);
    const auto lapsed =
        std::erase_if(m_avoided, [&](const auto &entry) { return m_clock.now() >= entry.second; });
    if (lapsed > 0)
        forgetRoles();
    if (m_clock.now() >= m_nextContact)
        contactOthers(out);
}

// Each message that is taken leaves a report of its sender; one that isn't leaves none.
void peer_view::onDatagram(const socket_address &from, std::string_view bytes,
                           membership_actions &out)
{
    m_members.onDatagram(from, bytes, out);
    const auto reported = std::ranges::find_if(
        out, [](const auto &each) { return std::holds_alternative<peer_report>(each); });
    if (reported == out.end())
        return;
    if (const auto sender = m_members.find(std::get<peer_report>(*reported).vm))
        m_reach.onHeard(sender->vm.dataCenter);
}

std::vector<reach_event> peer_view::followReach(membership_actions &out)
{
    auto events = m_reach.tick();
    for (const auto &each : events) {
        if (each.step == reach_step::AskPeers)
            askIn(each.dataCenter, each.peers, out);
        else if (each.step != reach_step::AskServers)
            forgetRoles();
    }
    std::erase_if(events, [](const auto &each) { return each.step == reach_step::AskPeers; });
    return events;
}

// First contacts may be away, and members on the far side of a cut are taken for dead there and
// here: some of them are asked again and again, or the two sides would never meet. Who answers
// tells of all others, and every node asks, so each asks a few, all in turn.
void peer_view::contactOthers(membership_actions &out)
{
    std::vector<socket_address> silent = m_identity.firstContacts;
    bool alone = true;
    for (const auto &each : m_members.members()) {
        if (each.vm.vm == self())
            continue;
        const bool heard = each.state == member_state::Alive || each.state == member_state::Leaving;
        alone = alone && !heard;
        if (heard)
            std::erase(silent, each.vm.peerAddress);
        else if (std::ranges::find(silent, each.vm.peerAddress) == silent.end())
            silent.push_back(each.vm.peerAddress);
    }
    m_nextContact = m_clock.now() + (alone ? EagerContact : CalmContact);
    m_members.contact(takeInTurn(silent, MostContacts, m_lastContacted), out);
}

// All in turn: some of them may be down.
void peer_view::askIn(const data_center_id &dataCenter, std::size_t count, membership_actions &out)
{
    std::vector<socket_address> there;
    for (const auto &each : m_members.members()) {
        if (each.vm.dataCenter == dataCenter)
            there.push_back(each.vm.peerAddress);
    }
    m_members.contact(takeInTurn(there, count, m_lastAsked), out);
}

void peer_view::avoid(const vm_id &peer)
{
    m_avoided[peer] = m_clock.now() + Avoidance;
    forgetRoles();
}

bool peer_view::avoided(const vm_id &peer) const
{
    const auto found = m_avoided.find(peer);
    return found != m_avoided.end() && m_clock.now() < found->second;
}

// Asked for each piece, and all members are hashed for an answer: so it is kept until something
// changes that it depends on.
vm_id peer_view::hostOf(const pool_key &pool)
{
    auto &kept = m_hosts[pool];
    if (kept.current)
        return kept.vm;
    const auto before = std::exchange(kept.vm, pickHost(pool));
    kept.current = true;
    if (kept.vm != before)
        m_onHostChanged(pool, kept.vm);
    return kept.vm;
}

// Where nodes are cut from each other, each side has a host; together they believe alive no more
// than all there are, so their parts make one at most. Asked for each placement, so it is kept.
double peer_view::partAlive() const
{
    if (m_clock.now() - m_startedAt < AcquaintanceTime)
        return 0.0;
    if (!m_partAlive)
        m_partAlive =
            static_cast<double>(candidates({}).size()) / static_cast<double>(m_members.size());
    return *m_partAlive;
}

// A host that follows another one begins at once: what the two let go within one span over which a
// server counts is under one and a half times its bound.
double peer_view::rateShare(const pool_key &pool)
{
    return hostOf(pool) == self() ? partAlive() : 0.0;
}

void peer_view::forgetRoles()
{
    for (auto &[pool, kept] : m_hosts)
        kept.current = false;
    m_relayOrder.clear();
    m_newsReceivers.reset();
    m_quarantineHost.reset();
    m_partAlive.reset();
}

std::vector<peer_view::candidate> peer_view::candidates(const data_center_id &dataCenter,
                                                        const region_id &region) const
{
    std::vector<candidate> found;
    for (const auto &each : m_members.members()) {
        const bool own = each.vm.vm == self();
        const bool usable = each.state == member_state::Alive && !avoided(each.vm.vm)
            && m_reach.reaches(each.vm.dataCenter);
        const bool there = (dataCenter.empty() || each.vm.dataCenter == dataCenter)
            && (region.empty() || each.vm.region == region);
        if (there && (usable || (own && each.state != member_state::Leaving)))
            found.push_back({each.vm.vm, each.vm.capacity});
    }
    return found;
}

std::vector<vm_id> peer_view::namesOf(const std::vector<candidate> &candidates)
{
    std::vector<vm_id> names;
    names.reserve(candidates.size());
    for (const auto &each : candidates)
        names.push_back(each.vm);
    return names;
}

// A host's work grows with the data centre, and not with what it can do. Among several, hosts of
// different pools are spread.
std::vector<vm_id> peer_view::strongestOf(std::vector<candidate> candidates)
{
    if (candidates.size() > LeastHosts) {
        std::ranges::sort(candidates, std::greater{}, &candidate::capacity);
        const auto least = candidates[LeastHosts - 1].capacity;
        std::erase_if(candidates, [&](const candidate &each) { return each.capacity < least; });
    }
    return namesOf(candidates);
}

// The pool of a data centre that has no node left is hosted elsewhere.
vm_id peer_view::pickHost(const pool_key &pool) const
{
    auto hosts = candidates(pool.dataCenter, pool.region);
    if (hosts.empty() && !pool.region.empty())
        hosts = candidates({}, pool.region);
    if (hosts.empty())
        hosts = candidates({});
    const auto picked = rendezvousPick(pool.service.value, strongestOf(std::move(hosts)), 1);
    return picked.empty() ? self() : picked.front();
}

const std::vector<vm_id> &peer_view::relayOrder()
{
    if (m_relayOrder.empty()) {
        const auto nodes = candidates(m_identity.dataCenter);
        m_relayOrder = rendezvousPick(RelayRole, namesOf(nodes), nodes.size());
        std::map<vm_id, std::uint32_t> capacities;
        for (const auto &each : nodes)
            capacities.emplace(each.vm, each.capacity);
        std::ranges::stable_sort(m_relayOrder, std::greater{},
                                 [&](const vm_id &each) { return capacities.at(each); });
    }
    return m_relayOrder;
}

std::vector<vm_id> peer_view::relaysIn(const data_center_id &dataCenter) const
{
    return rendezvousPick(RelayRole, strongestOf(candidates(dataCenter)), NewsRelays);
}

const std::vector<vm_id> &peer_view::newsReceivers()
{
    if (m_newsReceivers)
        return *m_newsReceivers;
    auto receivers = relaysIn(m_identity.dataCenter);
    m_relaysNews = std::ranges::find(receivers, self()) != receivers.end();
    if (m_relaysNews) {
        receivers = namesOf(candidates(m_identity.dataCenter));
        std::set<data_center_id> others;
        for (const auto &each : m_members.members())
            others.insert(each.vm.dataCenter);
        others.erase(m_identity.dataCenter);
        for (const auto &dataCenter : others)
            std::ranges::copy(relaysIn(dataCenter), std::back_inserter(receivers));
        std::erase(receivers, self());
    }
    return m_newsReceivers.emplace(std::move(receivers));
}

bool peer_view::relaysNews()
{
    std::ignore = newsReceivers();
    return m_relaysNews;
}

const vm_id &peer_view::quarantineHost()
{
    if (!m_quarantineHost) {
        const auto picked = rendezvousPick(QuarantineRole, strongestOf(candidates({})), 1);
        m_quarantineHost = picked.empty() ? self() : picked.front();
    }
    return *m_quarantineHost;
}

std::optional<member> peer_view::find(const vm_id &peer) const
{
    return m_members.find(peer);
}

std::vector<vm_id> peer_view::peers() const
{
    std::vector<vm_id> near;
    std::vector<vm_id> far;
    for (const auto &each : m_members.members()) {
        if (each.vm.vm == self() || each.state != member_state::Alive)
            continue;
        (each.vm.dataCenter == m_identity.dataCenter ? near : far).push_back(each.vm.vm);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

std::map<std::string, std::size_t> peer_view::countByState() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &each : m_members.members())
        ++counts[std::string(toName(each.state))];
    return counts;
}

std::size_t peer_view::nodes() const
{
    return m_members.size();
}

void peer_view::setVersion(std::uint64_t version)
{
    m_members.setConfiguration({version, 0});
}

void peer_view::announceLeaving(membership_actions &out)
{
    m_members.announceLeaving(out);
    forgetRoles();
}

void peer_view::announceStopped(membership_actions &out)
{
    m_members.announceStopped(out);
}

} // namespace orchidlead::gateway
