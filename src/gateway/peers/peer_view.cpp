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

// Probes of peers. A failed role holder delays all requests of a service, so silence is detected
// within a second. A probe costs two datagrams of about 150 bytes.
constexpr milliseconds ProbeInterval{400};
constexpr milliseconds ProbeTimeout{120};
// Up to this number of members in other data centres, each is probed as often as a member of this
// data centre. With more of them each is probed less often, since it is also probed by its own data
// centre and by many nodes of others.
constexpr std::size_t FullRateRemoteMembers = 24;
constexpr milliseconds SuspicionMin{1200};
constexpr milliseconds SuspicionMax{2000};
constexpr milliseconds SyncInterval{250};
// Largest number of nodes that are tracked. No list of nodes exists, so all count as unlisted. This
// is ten times the expected number; a record takes about 500 bytes.
constexpr std::size_t MaxNodes = 4096;
// How often silent nodes are contacted: while no peer is known to be alive, and otherwise.
constexpr milliseconds IsolatedContactInterval{300};
constexpr milliseconds ContactInterval{2000};
// Silent nodes contacted per round.
constexpr std::size_t MaxContactsPerRound = 8;
// How long a frame shows that its sender runs. A member becomes suspected after 0.8 s without
// answers to probes and dead after 1.2 s more, so a process that has ended or hangs keeps its pools
// no longer than by these probes alone.
constexpr milliseconds FrameLifetime{1000};
// How long a peer that did not answer gets no role.
constexpr milliseconds AvoidanceTime{1500};
// A node knows all others within this time of its start. Before, it may consider itself the only
// one.
constexpr milliseconds DiscoveryTime{2000};
// Rendezvous hash key for the order of nodes that read the store or relay publications.
constexpr std::string_view StoreReaderRoleKey = "store reader";
// Broadcast relays per data centre: when one of them fails, the other one still relays.
constexpr std::size_t BroadcastRelays = 2;
// Smallest number of high-capacity nodes that hosts are picked from.
constexpr std::size_t MinHostCandidates = 4;
// Rendezvous hash key for the nodes among which the keepers of streams are drawn.
constexpr std::string_view OriginKeeperRoleKey = "stream origin";
// Nodes per data centre among which the keepers of streams are drawn. It bounds the links of a
// node.
constexpr std::size_t MaxOriginKeepers = 16;
// Keepers of one stream in the data centre of the node that it goes through.
constexpr std::size_t LocalOriginKeepers = 2;
// Other data centres with a keeper of the stream.
constexpr std::size_t RemoteOriginDataCenters = 2;
// Nodes that are asked in each data centre. A node more than there are keepers finds a record whose
// keepers were drawn before a member appeared or ended.
constexpr std::size_t AskedOriginKeepers = LocalOriginKeepers + 1;
// Rendezvous hash key for the node that decides on the quarantine of requests.
constexpr std::string_view QuarantineRoleKey = "request quarantine";

/// Returns the next `count` items in round-robin order. The list may change between calls.
std::vector<socket_address> takeRoundRobin(const std::vector<socket_address> &all,
                                           std::size_t count, std::size_t &next)
{
    std::vector<socket_address> taken;
    for (std::size_t i = 0; i < std::min(count, all.size()); ++i)
        taken.push_back(all[next++ % all.size()]);
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
    options.fullRateRemoteMembers = FullRateRemoteMembers;
    options.probeTimeout = ProbeTimeout;
    options.suspicionMin = SuspicionMin;
    options.suspicionMax = SuspicionMax;
    options.syncInterval = SyncInterval;
    options.maxMembers = MaxNodes;
    options.maxUnlisted = MaxNodes;
    return options;
}

} // namespace

peer_view::peer_view(const clock_source &clock, const peer_identity &identity,
                     std::function<void(const pool_key &, const vm_id &)> onHostChanged)
    : m_clock(clock)
    , m_identity(identity)
    , m_onHostChanged(std::move(onHostChanged))
    , m_members(clock, toOptions(identity))
    , m_reachability(clock, identity.dataCenter)
    , m_nextContactIndex(static_cast<std::size_t>(identity.incarnation))
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
        invalidateRoles();
    updateAnsweringMembers();
    if (m_clock.now() >= m_nextContact)
        contactSilentMembers(out);
}

// An accepted message appends a `peer_report` of its sender to `out`; a rejected one appends none.
void peer_view::onDatagram(const socket_address &from, std::string_view bytes,
                           membership_actions &out)
{
    m_members.onDatagram(from, bytes, out);
    const auto reported = std::ranges::find_if(
        out, [](const auto &each) { return std::holds_alternative<peer_report>(each); });
    if (reported == out.end())
        return;
    if (const auto sender = m_members.find(std::get<peer_report>(*reported).vm))
        m_reachability.onLivenessSignal(sender->vm.dataCenter);
}

std::vector<reachability_event> peer_view::updateReachability(membership_actions &out)
{
    auto events = m_reachability.tick();
    for (const auto &each : events) {
        if (each.type == reachability_event_type::ProbePeers)
            probeDataCenter(each.dataCenter, each.probeCount, out);
        else if (each.type != reachability_event_type::ProbeServers)
            invalidateRoles();
    }
    std::erase_if(
        events, [](const auto &each) { return each.type == reachability_event_type::ProbePeers; });
    return events;
}

// First contacts may be down, and after a network partition each side considers the members of the
// other dead. Silent members are therefore contacted again and again, or the two sides would never
// rejoin. A few per round are enough: every node does so, and an answer lists all other members.
void peer_view::contactSilentMembers(membership_actions &out)
{
    std::vector<socket_address> silent = m_identity.firstContacts;
    bool isolated = true;
    for (const auto &each : m_members.members()) {
        if (each.vm.vm == self())
            continue;
        const bool heard = each.state == member_state::Alive || each.state == member_state::Leaving;
        isolated = isolated && !heard;
        if (heard)
            std::erase(silent, each.vm.peerAddress);
        else if (std::ranges::find(silent, each.vm.peerAddress) == silent.end())
            silent.push_back(each.vm.peerAddress);
    }
    m_nextContact = m_clock.now() + (isolated ? IsolatedContactInterval : ContactInterval);
    m_members.contact(takeRoundRobin(silent, MaxContactsPerRound, m_nextContactIndex), out);
}

// Round robin, since some of the nodes may be down.
void peer_view::probeDataCenter(const data_center_id &dataCenter, std::size_t count,
                                membership_actions &out)
{
    std::vector<socket_address> there;
    for (const auto &each : m_members.members()) {
        if (each.vm.dataCenter == dataCenter)
            there.push_back(each.vm.peerAddress);
    }
    m_members.contact(takeRoundRobin(there, count, m_nextProbeIndex), out);
}

void peer_view::avoidPeer(const vm_id &peer)
{
    m_avoided[peer] = m_clock.now() + AvoidanceTime;
    invalidateRoles();
}

bool peer_view::isAvoided(const vm_id &peer) const
{
    const auto found = m_avoided.find(peer);
    return found != m_avoided.end() && m_clock.now() < found->second;
}

// Called for each piece. A lookup hashes all members, so the result is cached until an input
// changes.
vm_id peer_view::hostOf(const pool_key &pool)
{
    auto &kept = m_hosts[pool];
    if (kept.isValid)
        return kept.vm;
    const auto before = std::exchange(kept.vm, pickHost(pool));
    kept.isValid = true;
    if (kept.vm != before)
        m_onHostChanged(pool, kept.vm);
    return kept.vm;
}

// In a network partition each side has a host for the pool. The members considered alive on all
// sides are no more than all nodes, so the fractions add up to at most 1. Called for each
// placement, so the result is cached.
double peer_view::aliveFraction() const
{
    if (m_clock.now() - m_startedAt < DiscoveryTime)
        return 0.0;
    if (!m_aliveFraction)
        m_aliveFraction =
            static_cast<double>(candidates({}).size()) / static_cast<double>(m_members.size());
    return *m_aliveFraction;
}

// A new host starts sending at once after a change of hosts. Within one window over which a server
// counts requests, the old and the new host together stay below 1.5 times the server's limit.
double peer_view::rateShare(const pool_key &pool)
{
    return hostOf(pool) == self() ? aliveFraction() : 0.0;
}

void peer_view::invalidateRoles()
{
    for (auto &[pool, kept] : m_hosts)
        kept.isValid = false;
    m_relayOrder.clear();
    m_broadcastTargets.reset();
    m_quarantineHost.reset();
    m_dataCenters.clear();
    m_originKeeperPools.clear();
    m_aliveFraction.reset();
}

// A member that has announced its stop becomes dead without having been suspected.
void peer_view::onMemberChanged(const member_changed &change)
{
    const auto &vm = change.now.vm.vm;
    const bool isPresumedDead = change.now.state == member_state::Dead
        && (change.before == member_state::Suspect || m_unresponsive.contains(vm));
    if (change.now.state == member_state::Suspect || isPresumedDead)
        m_unresponsive.insert(vm);
    else
        m_unresponsive.erase(vm);
    m_answering.erase(vm);
    if (answersOnLink(vm))
        m_answering.insert(vm);
    invalidateRoles();
}

bool peer_view::answersOnLink(const vm_id &peer) const
{
    const auto found = m_lastFrames.find(peer);
    return found != m_lastFrames.end() && m_clock.now() - found->second < FrameLifetime
        && m_unresponsive.contains(peer);
}

void peer_view::updateAnsweringMembers()
{
    std::erase_if(m_unresponsive, [&](const vm_id &each) { return !m_members.find(each); });
    std::set<vm_id> answering;
    for (const auto &each : m_unresponsive) {
        if (answersOnLink(each))
            answering.insert(each);
    }
    if (std::exchange(m_answering, answering) != answering)
        invalidateRoles();
}

template <class Predicate>
std::vector<peer_view::candidate> peer_view::candidatesAmong(const data_center_id &dataCenter,
                                                             const region_id &region,
                                                             Predicate isRunning) const
{
    std::vector<candidate> found;
    for (const auto &each : m_members.members()) {
        const bool own = each.vm.vm == self();
        const bool usable = isRunning(each) && !isAvoided(each.vm.vm)
            && m_reachability.isReachable(each.vm.dataCenter);
        const bool there = (dataCenter.empty() || each.vm.dataCenter == dataCenter)
            && (region.empty() || each.vm.region == region);
        if (there && (usable || (own && each.state != member_state::Leaving)))
            found.push_back({each.vm.vm, each.vm.capacity});
    }
    return found;
}

std::vector<peer_view::candidate> peer_view::candidates(const data_center_id &dataCenter,
                                                        const region_id &region) const
{
    return candidatesAmong(dataCenter, region,
                           [](const member &each) { return each.state == member_state::Alive; });
}

// Nodes take different times to suspect a slow host. If each of them moved the pool as soon as it
// does, several hosts would count the requests of the same servers.
std::vector<peer_view::candidate> peer_view::hostCandidates(const data_center_id &dataCenter,
                                                            const region_id &region) const
{
    return candidatesAmong(dataCenter, region, [&](const member &each) {
        return each.state == member_state::Alive || m_answering.contains(each.vm.vm);
    });
}

std::vector<vm_id> peer_view::idsOf(const std::vector<candidate> &candidates)
{
    std::vector<vm_id> names;
    names.reserve(candidates.size());
    for (const auto &each : candidates)
        names.push_back(each.vm);
    return names;
}

// A host's load grows with the size of its data centre, regardless of its capacity, so hosts are
// nodes of high capacity. There are several, so that hosts of different pools are spread.
std::vector<vm_id> peer_view::highestCapacityOf(std::vector<candidate> candidates)
{
    if (candidates.size() > MinHostCandidates) {
        std::ranges::sort(candidates, std::greater{}, &candidate::capacity);
        const auto least = candidates[MinHostCandidates - 1].capacity;
        std::erase_if(candidates, [&](const candidate &each) { return each.capacity < least; });
    }
    return idsOf(candidates);
}

// A pool whose data centre has no node left is hosted in another one: of its region where the pool
// has one, else anywhere.
vm_id peer_view::pickHost(const pool_key &pool) const
{
    auto hosts = hostCandidates(pool.dataCenter, pool.region);
    if (hosts.empty() && !pool.region.empty())
        hosts = hostCandidates({}, pool.region);
    if (hosts.empty())
        hosts = hostCandidates({});
    const auto picked = rendezvousPick(pool.service.value, highestCapacityOf(std::move(hosts)), 1);
    return picked.empty() ? self() : picked.front();
}

const std::vector<vm_id> &peer_view::relayOrder()
{
    if (m_relayOrder.empty()) {
        const auto nodes = candidates(m_identity.dataCenter);
        m_relayOrder = rendezvousPick(StoreReaderRoleKey, idsOf(nodes), nodes.size());
        std::map<vm_id, std::uint32_t> capacities;
        for (const auto &each : nodes)
            capacities.emplace(each.vm, each.capacity);
        std::ranges::stable_sort(m_relayOrder, std::greater{},
                                 [&](const vm_id &each) { return capacities.at(each); });
    }
    return m_relayOrder;
}

std::vector<vm_id> peer_view::broadcastRelaysIn(const data_center_id &dataCenter) const
{
    return rendezvousPick(StoreReaderRoleKey, highestCapacityOf(candidates(dataCenter)),
                          BroadcastRelays);
}

const std::vector<vm_id> &peer_view::broadcastTargets()
{
    if (m_broadcastTargets)
        return *m_broadcastTargets;
    auto receivers = broadcastRelaysIn(m_identity.dataCenter);
    m_isBroadcastRelay = std::ranges::find(receivers, self()) != receivers.end();
    if (m_isBroadcastRelay) {
        receivers = idsOf(candidates(m_identity.dataCenter));
        std::set<data_center_id> others;
        for (const auto &each : m_members.members())
            others.insert(each.vm.dataCenter);
        others.erase(m_identity.dataCenter);
        for (const auto &dataCenter : others)
            std::ranges::copy(broadcastRelaysIn(dataCenter), std::back_inserter(receivers));
        std::erase(receivers, self());
    }
    return m_broadcastTargets.emplace(std::move(receivers));
}

bool peer_view::isBroadcastRelay()
{
    std::ignore = broadcastTargets();
    return m_isBroadcastRelay;
}

const vm_id &peer_view::quarantineHost()
{
    if (!m_quarantineHost) {
        const auto picked = rendezvousPick(QuarantineRoleKey, highestCapacityOf(candidates({})), 1);
        m_quarantineHost = picked.empty() ? self() : picked.front();
    }
    return *m_quarantineHost;
}

const std::vector<data_center_id> &peer_view::dataCenters()
{
    if (m_dataCenters.empty()) {
        std::set<data_center_id> found{m_identity.dataCenter};
        for (const auto &each : m_members.members())
            found.insert(each.vm.dataCenter);
        m_dataCenters.assign(found.begin(), found.end());
    }
    return m_dataCenters;
}

const std::vector<vm_id> &peer_view::originKeeperPool(const data_center_id &dataCenter)
{
    const auto [entry, isNew] = m_originKeeperPools.try_emplace(dataCenter);
    if (isNew)
        entry->second =
            rendezvousPick(OriginKeeperRoleKey, idsOf(candidates(dataCenter)), MaxOriginKeepers);
    return entry->second;
}

std::vector<vm_id> peer_view::originKeepers(const request_digest &stream)
{
    const auto key = toText(stream);
    auto keepers = rendezvousPick(key, originKeeperPool(m_identity.dataCenter), LocalOriginKeepers);
    auto others = dataCenters();
    std::erase_if(others, [&](const data_center_id &each) {
        return each == m_identity.dataCenter || originKeeperPool(each).empty();
    });
    std::ranges::sort(others, std::greater{}, [&](const data_center_id &each) {
        return rendezvousWeight(key, each.value);
    });
    others.resize(std::min(others.size(), RemoteOriginDataCenters));
    for (const auto &each : others)
        std::ranges::copy(rendezvousPick(key, originKeeperPool(each), 1),
                          std::back_inserter(keepers));
    std::erase(keepers, self());
    return keepers;
}

std::vector<vm_id> peer_view::originCandidates(const request_digest &stream)
{
    const auto key = toText(stream);
    std::vector<vm_id> found;
    for (const auto &each : dataCenters())
        std::ranges::copy(rendezvousPick(key, originKeeperPool(each), AskedOriginKeepers),
                          std::back_inserter(found));
    std::erase(found, self());
    return found;
}

std::optional<member> peer_view::find(const vm_id &peer) const
{
    return m_members.find(peer);
}

// A suspected or leaving member still runs. The record of another start says nothing of the
// process: this node may not know yet that the node has started again. The address of an earlier
// start can be another one.
process_knowledge peer_view::knowledgeOf(const peer_process &process) const
{
    const auto known = find(process.vm);
    if (!known)
        return {};
    process_knowledge knowledge;
    const bool isSameStart = known->incarnation == process.start;
    const bool isStartKnown = process.start != 0;
    const bool hasRestarted = isStartKnown && known->incarnation > process.start;
    const bool isDead = known->state == member_state::Dead && (isSameStart || !isStartKnown);
    knowledge.hasEnded = hasRestarted || isDead;
    knowledge.lastReceivedAt = known->lastReceivedAt;
    if (isSameStart)
        knowledge.address = known->vm.peerAddress;
    return knowledge;
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

bool peer_view::hasPeerIn(const data_center_id &dataCenter) const
{
    return std::ranges::any_of(m_members.members(), [&](const auto &each) {
        return each.vm.vm != self() && each.state == member_state::Alive
            && each.vm.dataCenter == dataCenter;
    });
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
    invalidateRoles();
}

void peer_view::announceStopped(membership_actions &out)
{
    m_members.announceStopped(out);
}

} // namespace orchidlead::gateway
