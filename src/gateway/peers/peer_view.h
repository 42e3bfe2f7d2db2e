#pragma once

#include "gateway/peers/data_center_reachability.h"
#include "gateway/peers/process_end_detector.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/servers/pool_key.h"

#include <orchidlead/clock.h>
#include <orchidlead/membership.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Identity of this node among its peers, and the nodes it contacts to join them.
struct peer_identity
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    socket_address address;
    std::uint64_t incarnation = 0;
    std::vector<socket_address> firstContacts; ///< some may be down; may hold this node itself
    std::uint32_t capacity = 0; ///< in thousandths of a core; 0: unknown
};

/// This node's view of cluster membership, and the role assignment derived from it. Does no I/O.
///
/// Members discover each other through first contacts and gossip; no list of members exists. Views
/// may differ between nodes. Roles are assigned to members considered alive, and moving a role
/// costs time but loses no state that matters.
class peer_view
{
public:
    /// `onHostChanged` is called when a pool that this node has looked up gets another host.
    peer_view(const clock_source &clock, const peer_identity &identity,
              std::function<void(const pool_key &, const vm_id &host)> onHostChanged);

    /// Runs timers; call about every 100 ms. Appends datagrams to send and changes to `out`.
    void tick(membership_actions &out);
    void onDatagram(const socket_address &from, std::string_view bytes, membership_actions &out);
    /// Probes the nodes of silent data centres; call after `tick`. Returns changes of reachability
    /// and the data centres whose servers the caller is to probe.
    [[nodiscard]] std::vector<reachability_event> updateReachability(membership_actions &out);
    /// Records a message or answer from a node or server of the data centre.
    void onLivenessSignalFrom(const data_center_id &which)
    {
        m_reachability.onLivenessSignal(which);
    }
    /// As `data_center_reachability::lastSignalFrom`.
    [[nodiscard]] std::optional<steady_time> lastSignalFrom(const data_center_id &which) const
    {
        return m_reachability.lastSignalFrom(which);
    }
    /// Records that this node has work in the data centre, so that its silence is noticed sooner.
    void onTraffic(const data_center_id &which) { m_reachability.onTraffic(which); }
    /// Reassigns roles after a member changed its state.
    void onMemberChanged(const member_changed &change);
    /// Records that a frame of a peer arrived over a link that this node opened: the process runs,
    /// although its answers to probes may arrive too late while it gets little processor time.
    void onFrameFrom(const vm_id &peer) { m_lastFrames[peer] = m_clock.now(); }
    /// Called when the link to a peer that this node opened was closed.
    void onLinkClosed(const vm_id &peer) { m_lastFrames.erase(peer); }
    /// Returns whether frames of a peer arrive although probes of it failed.
    [[nodiscard]] bool answersOnLink(const vm_id &peer) const;
    /// Assigns no role to a peer for a while, since it did not answer.
    void avoidPeer(const vm_id &peer);

    [[nodiscard]] const vm_id &self() const { return m_identity.vm; }
    /// Returns this process of this node.
    [[nodiscard]] peer_process process() const { return {self(), m_identity.incarnation}; }
    [[nodiscard]] const region_id &region() const { return m_identity.region; }
    /// Returns the node that hosts a pool in this node's view; may be this node.
    [[nodiscard]] vm_id hostOf(const pool_key &pool);
    /// Returns the nodes of this data centre in the order in which they pass on publications, those
    /// of higher capacity first. The first ones read the store. Nodes that consider the same
    /// members alive return the same order. Contains this node unless it is leaving.
    [[nodiscard]] const std::vector<vm_id> &relayOrder();
    /// Returns the nodes that this node sends a broadcast to. A broadcast reaches all nodes in
    /// three hops: a node sends it to the two relays of its own data centre, and the relays send it
    /// to the relays of all other data centres and to all nodes of their own.
    [[nodiscard]] const std::vector<vm_id> &broadcastTargets();
    /// Whether this node is one of the two broadcast relays of its data centre.
    [[nodiscard]] bool isBroadcastRelay();
    /// Returns the node that decides on the quarantine of requests suspected of crashing servers;
    /// may be this node.
    [[nodiscard]] const vm_id &quarantineHost();
    /// Returns the nodes that keep where a stream began: two of this data centre and one each of
    /// two others, so that a record outlives nodes and data centres.
    [[nodiscard]] std::vector<vm_id> originKeepers(const request_digest &stream);
    /// Returns the nodes of all data centres that may keep where a stream began, without this one.
    [[nodiscard]] std::vector<vm_id> originCandidates(const request_digest &stream);
    /// Returns the share of the total request rate limit of a pool's servers that this node may
    /// use; 0 where this node is not the pool's host or has just started.
    [[nodiscard]] double rateShare(const pool_key &pool);
    [[nodiscard]] std::optional<member> find(const vm_id &peer) const;
    /// Returns what the membership knows of a process of another node.
    [[nodiscard]] process_knowledge knowledgeOf(const peer_process &process) const;
    /// Sends a probe to the address of a node. Its answer is recorded in `member::lastReceivedAt`.
    void ping(const socket_address &address, membership_actions &out)
    {
        m_members.contact({address}, out);
    }
    /// Returns the peers considered alive, those of this data centre first.
    [[nodiscard]] std::vector<vm_id> peers() const;
    /// Returns whether a peer in the data centre is considered alive, even if it is avoided.
    [[nodiscard]] bool hasPeerIn(const data_center_id &dataCenter) const;
    [[nodiscard]] const data_center_id &dataCenter() const { return m_identity.dataCenter; }
    /// Returns the number of members in each state, this node included.
    [[nodiscard]] std::map<std::string, std::size_t> countByState() const;
    /// Returns the number of known nodes, this node and recently failed ones included.
    [[nodiscard]] std::size_t nodes() const;

    void setVersion(std::uint64_t version);
    void announceLeaving(membership_actions &out);
    void announceStopped(membership_actions &out);

private:
    /// A pool's host, valid until members, reachability or avoided peers change.
    struct cached_host
    {
        vm_id vm;
        bool isValid = false;
    };

    void contactSilentMembers(membership_actions &out);
    /// Probes `count` nodes of a data centre, in round-robin order over calls.
    void probeDataCenter(const data_center_id &dataCenter, std::size_t count,
                         membership_actions &out);
    void invalidateRoles();
    /// Reassigns roles if other members than before answer on their links only.
    void updateAnsweringMembers();
    /// Returns the fraction of known nodes that may hold a role; 0 shortly after the start, when
    /// this node may not know the others yet.
    [[nodiscard]] double aliveFraction() const;
    [[nodiscard]] bool isAvoided(const vm_id &peer) const;
    [[nodiscard]] std::vector<vm_id> broadcastRelaysIn(const data_center_id &dataCenter) const;
    [[nodiscard]] vm_id pickHost(const pool_key &pool) const;
    /// A member that a role may be assigned to.
    struct candidate
    {
        vm_id vm;
        std::uint32_t capacity = 0;
    };

    /// Returns the nodes of a data centre among which the keepers of streams are drawn.
    [[nodiscard]] const std::vector<vm_id> &originKeeperPool(const data_center_id &dataCenter);
    [[nodiscard]] const std::vector<data_center_id> &dataCenters();
    /// Returns members that are alive, reachable and not avoided, and this node unless it is
    /// leaving. An empty data centre or region matches all.
    [[nodiscard]] std::vector<candidate> candidates(const data_center_id &dataCenter,
                                                    const region_id &region = {}) const;
    /// As `candidates`, with the members that answer on their links only.
    [[nodiscard]] std::vector<candidate> hostCandidates(const data_center_id &dataCenter,
                                                        const region_id &region = {}) const;
    /// Returns the reachable members that match and aren't avoided, if `isRunning` returns true for
    /// them, and this node unless it is leaving.
    template <class Predicate>
    [[nodiscard]] std::vector<candidate> candidatesAmong(const data_center_id &dataCenter,
                                                         const region_id &region,
                                                         Predicate isRunning) const;
    [[nodiscard]] static std::vector<vm_id> idsOf(const std::vector<candidate> &candidates);
    /// Returns the candidates of highest capacity: at least `MinHostCandidates` where there are so
    /// many, and all others of the same capacity as the last of these.
    [[nodiscard]] static std::vector<vm_id> highestCapacityOf(std::vector<candidate> candidates);

    const clock_source &m_clock;
    peer_identity m_identity;
    std::function<void(const pool_key &, const vm_id &)> m_onHostChanged;
    membership m_members;
    data_center_reachability m_reachability;
    std::map<vm_id, steady_time> m_avoided;
    std::map<vm_id, steady_time> m_lastFrames; ///< of peers that this node has opened a link to
    /// Members that didn't answer probes and announced no stop: suspected, or dead since.
    std::set<vm_id> m_unresponsive;
    /// Those of them that kept their pools when this was last checked, as frames arrived.
    std::set<vm_id> m_answering;
    std::map<pool_key, cached_host> m_hosts;
    std::vector<vm_id> m_relayOrder; ///< cache; empty: to be computed
    std::optional<std::vector<vm_id>> m_broadcastTargets; ///< cache
    bool m_isBroadcastRelay = false; ///< computed with `m_broadcastTargets`
    std::optional<vm_id> m_quarantineHost; ///< cache
    std::vector<data_center_id> m_dataCenters; ///< cache; empty: to be computed
    std::map<data_center_id, std::vector<vm_id>> m_originKeeperPools; ///< cache
    mutable std::optional<double> m_aliveFraction; ///< cache
    std::size_t m_nextProbeIndex = 0; ///< round robin over members of a silent data centre
    std::size_t m_nextContactIndex; ///< round robin over silent members and first contacts
    steady_time m_nextContact{};
    steady_time m_startedAt;
};

} // namespace orchidlead::gateway
