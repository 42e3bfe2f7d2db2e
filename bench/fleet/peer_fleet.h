#pragma once

#include "core/membership/gossip_message.h"
#include "gateway/peers/lost_data_center_relay.h"
#include "gateway/peers/peer_view.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::gateway {

/// Simulates many peer views on one network and one clock, with broadcasts of lost data centres.
/// Messages arrive after 1 to 4 ms. Nodes that are down neither send nor receive.
class peer_fleet
{
public:
    peer_fleet(std::size_t nodes, std::size_t dataCenters, std::uint32_t seed);

    /// Sets the capacity of a node in thousandths of a core, from its next start on.
    void setCapacity(std::size_t node, std::uint32_t capacity)
    {
        m_nodes[node].identity.capacity = capacity;
    }
    /// Starts a new process of each of these nodes, at random times within `within`.
    void start(const std::vector<std::size_t> &nodes, milliseconds within);
    void startAll(milliseconds within);
    void kill(std::size_t node) { m_nodes[node].view.reset(); }
    void killAll();
    /// Delivers messages only where `canDeliver` returns true; all messages if it is empty.
    void cut(std::function<bool(std::size_t from, std::size_t to)> canDeliver)
    {
        m_canDeliver = std::move(canDeliver);
    }
    /// Advances the simulation by this time.
    void run(milliseconds time);
    /// Runs until every running node considers exactly the running nodes alive. Returns the time
    /// this took, or `limit`.
    milliseconds runUntilAgreed(milliseconds limit);

    [[nodiscard]] const clock_source &clock() const { return m_clock; }
    [[nodiscard]] bool runs(std::size_t node) const { return m_nodes[node].view != nullptr; }
    [[nodiscard]] std::uint64_t starts(std::size_t node) const { return m_nodes[node].starts; }
    [[nodiscard]] const data_center_id &dataCenterOf(std::size_t node) const
    {
        return m_nodes[node].identity.dataCenter;
    }
    [[nodiscard]] bool agreed() const;
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] peer_view &view(std::size_t node) { return *m_nodes[node].view; }
    /// Returns the highest number of bytes that one node sent since the last call of
    /// `resetTraffic`, headers included.
    [[nodiscard]] std::size_t maxBytesSent() const;
    [[nodiscard]] std::size_t meanBytesSent() const;
    /// Returns the mean number of bytes that a node sent to other data centres in that time.
    [[nodiscard]] std::size_t meanBytesSentToOtherDataCenters() const;
    /// Also counts bytes by kind of datagram from now on, which takes decoding each datagram.
    void countKinds() { m_countsKinds = true; }
    /// Returns the bytes that all nodes sent since the last call of `resetTraffic`, by kind of
    /// datagram.
    [[nodiscard]] const std::map<gossip_kind, std::size_t> &bytesByKind() const
    {
        return m_bytesByKind;
    }
    void resetTraffic();
    /// Partitions a data centre from all others; an empty argument heals the partition.
    void partition(const std::optional<data_center_id> &dataCenter);
    /// Returns the number of running nodes that consider a data centre lost.
    [[nodiscard]] std::size_t countNodesWithLost(const data_center_id &dataCenter) const;

private:
    /// The network as the broadcast relay of one node uses it.
    struct broadcast_port
    {
        peer_fleet &fleet;
        std::size_t node;

        [[nodiscard]] const std::vector<vm_id> &broadcastTargets()
        {
            return fleet.view(node).broadcastTargets();
        }
        [[nodiscard]] bool isBroadcastRelay() { return fleet.view(node).isBroadcastRelay(); }
        void onTraffic(const data_center_id &which) { fleet.view(node).onTraffic(which); }
        void send(const vm_id &to, const peer_frame &frame)
        {
            fleet.sendBroadcast(node, to, frame);
        }
    };
    struct fleet_node
    {
        peer_identity identity;
        std::unique_ptr<peer_view> view;
        std::unique_ptr<broadcast_port> port;
        std::unique_ptr<lost_data_center_relay<broadcast_port>> relay;
        std::set<data_center_id> lost;
        std::size_t bytesSent = 0;
        std::size_t bytesSentToOtherDataCenters = 0; ///< included in `bytesSent`
        std::uint64_t starts = 0;
    };
    struct event
    {
        steady_time at;
        std::uint64_t order = 0; ///< events of the same time are handled in order of creation
        std::size_t node = 0;
        std::uint64_t start = 0; ///< number of the process the event is for; 0: any
        std::size_t from = 0;
        std::string bytes; ///< of a datagram; empty: a start, a tick or a broadcast
        std::optional<peer_frame> notice; ///< a broadcast
        bool starts = false;
        friend bool operator>(const event &left, const event &right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    [[nodiscard]] std::size_t meanOf(std::size_t fleet_node::*counter) const;
    void handle(const event &each);
    void carryOut(std::size_t from, const membership_actions &actions);
    void sendBroadcast(std::size_t from, const vm_id &to, const peer_frame &frame);
    void updateReachability(fleet_node &node, membership_actions &actions);
    /// Counts the bytes of a message and schedules its arrival, unless the path is cut.
    void deliver(std::size_t from, std::size_t to, std::size_t bytes, event arrival);
    void countKind(std::string_view datagram, std::size_t bytes);
    void push(event each);
    [[nodiscard]] milliseconds draw(milliseconds least, milliseconds most);

    manual_clock m_clock;
    std::mt19937 m_random;
    std::vector<fleet_node> m_nodes;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::map<gossip_kind, std::size_t> m_bytesByKind;
    bool m_countsKinds = false;
    std::function<bool(std::size_t from, std::size_t to)> m_canDeliver;
};

} // namespace orchidlead::gateway
