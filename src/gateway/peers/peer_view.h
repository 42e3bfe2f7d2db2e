#pragma once

#include "gateway/peers/data_center_reach.h"
#include "gateway/servers/pool_key.h"

#include <orchidlead/clock.h>
#include <orchidlead/membership.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Who this node is among its peers, and whom it asks first.
struct peer_identity
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    socket_address address;
    std::uint64_t incarnation = 0;
    std::vector<socket_address> firstContacts; ///< may be away, and may hold this node itself
    std::uint32_t capacity = 0; ///< in thousandths of a core; 0: not known
};

/// The other nodes as this node believes them to be, and the roles that follow from it. No I/O.
///
/// Members find each other through first contacts and gossip; nothing lists them. What a node
/// believes is soft: roles go to whom it believes alive, and moving one loses nothing but time.
class peer_view
{
public:
    /// `onHostChanged`: a pool that this node asks for has another host from now on.
    peer_view(const clock_source &clock, const peer_identity &identity,
              std::function<void(const pool_key &, const vm_id &host)> onHostChanged);

    /// Runs timers; call every 100 ms or so. Gives what is to be sent and what changed.
    void tick(membership_actions &out);
    void onDatagram(const socket_address &from, std::string_view bytes, membership_actions &out);
    /// Looks into data centres that are silent; call after `tick`. Gives what is new of them, and
    /// which of them are to be asked through their servers.
    [[nodiscard]] std::vector<reach_event> followReach(membership_actions &out);
    /// A node or server of that data centre gave a sign of life.
    void onHeardFrom(const data_center_id &which) { m_reach.onHeard(which); }
    /// This node has work in that data centre: its silence matters.
    void onUse(const data_center_id &which) { m_reach.onUse(which); }
    /// A member changed its state: roles are picked anew.
    void onMemberChanged() { forgetRoles(); }
    /// A peer didn't answer: it gets no role for a while.
    void avoid(const vm_id &peer);

    [[nodiscard]] const vm_id &self() const { return m_identity.vm; }
    [[nodiscard]] const region_id &region() const { return m_identity.region; }
    /// Gives the node that hosts a pool as this node sees it; may be itself.
    [[nodiscard]] vm_id hostOf(const pool_key &pool);
    /// Gives the nodes of the own data centre in the order in which what is published goes from one
    /// to the next: the first ones read the store, those that can do more come first. Nodes that
    /// believe the same members alive give the same order. Holds this node unless it leaves.
    [[nodiscard]] const std::vector<vm_id> &relayOrder();
    /// Gives the nodes that this node tells what it hears first, so that all hear it in three
    /// steps: two nodes of each data centre relay it to each other and to all of theirs, the others
    /// tell the two of their own.
    [[nodiscard]] const std::vector<vm_id> &newsReceivers();
    /// Whether this node is one of those two of its data centre.
    [[nodiscard]] bool relaysNews();
    /// Gives the node that decides on requests under which servers end; may be itself.
    [[nodiscard]] const vm_id &quarantineHost();
    /// Part of what each server of a pool bears from all nodes that this node may let go to it:
    /// nothing where it isn't the pool's host, or has just started.
    [[nodiscard]] double rateShare(const pool_key &pool);
    [[nodiscard]] std::optional<member> find(const vm_id &peer) const;
    /// Peers that are believed alive, nearest first.
    [[nodiscard]] std::vector<vm_id> peers() const;
    /// How many members are in each state, this node included.
    [[nodiscard]] std::map<std::string, std::size_t> countByState() const;
    /// How many nodes there may be, this one and those given up lately included.
    [[nodiscard]] std::size_t nodes() const;

    void setVersion(std::uint64_t version);
    void announceLeaving(membership_actions &out);
    void announceStopped(membership_actions &out);

private:
    /// A pool's host, as picked when members or avoided peers last changed.
    struct picked_host
    {
        vm_id vm;
        bool current = false;
    };

    void contactOthers(membership_actions &out);
    /// Asks some nodes of a data centre for a sign of life, others each time.
    void askIn(const data_center_id &dataCenter, std::size_t count, membership_actions &out);
    void forgetRoles();
    /// The part of the nodes that this node knows which it believes alive; none while it has just
    /// started and may not know the others.
    [[nodiscard]] double partAlive() const;
    [[nodiscard]] bool avoided(const vm_id &peer) const;
    [[nodiscard]] std::vector<vm_id> relaysIn(const data_center_id &dataCenter) const;
    [[nodiscard]] vm_id pickHost(const pool_key &pool) const;
    /// A member that may have a role.
    struct candidate
    {
        vm_id vm;
        std::uint32_t capacity = 0;
    };

    /// Members that are alive and not avoided; this node unless it leaves. Of one data centre, of
    /// one region, or, where neither is named, of all.
    [[nodiscard]] std::vector<candidate> candidates(const data_center_id &dataCenter,
                                                    const region_id &region = {}) const;
    [[nodiscard]] static std::vector<vm_id> namesOf(const std::vector<candidate> &candidates);
    /// Those that can do most: some at least, and all that can do as much as the last of them.
    [[nodiscard]] static std::vector<vm_id> strongestOf(std::vector<candidate> candidates);

    const clock_source &m_clock;
    peer_identity m_identity;
    std::function<void(const pool_key &, const vm_id &)> m_onHostChanged;
    membership m_members;
    data_center_reach m_reach;
    std::map<vm_id, steady_time> m_avoided;
    std::map<pool_key, picked_host> m_hosts;
    std::vector<vm_id> m_relayOrder; ///< empty: not picked since something changed
    std::optional<std::vector<vm_id>> m_newsReceivers; ///< empty: as above
    bool m_relaysNews = false; ///< as `m_newsReceivers` was picked
    std::optional<vm_id> m_quarantineHost; ///< empty: as above
    mutable std::optional<double> m_partAlive; ///< empty: as above
    std::size_t m_lastAsked = 0; ///< turns through the members of a silent data centre
    std::size_t m_lastContacted; ///< the same through members of which nothing is heard
    steady_time m_nextContact{};
    steady_time m_startedAt;
};

} // namespace orchidlead::gateway
