#pragma once

#include "core/membership/gossip_message.h"
#include "gateway/peers/peer_view.h"
#include "gateway/peers/reach_relay.h"

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

/// Many peer views on a simulated network, one clock: what they send each other arrives 1 to 4 ms
/// later, and nodes that are down neither send nor hear. News of lost data centres travel, too.
class peer_fleet
{
public:
    peer_fleet(std::size_t nodes, std::size_t dataCenters, std::uint32_t seed);

    /// What a node can do, in thousandths of a core; counts from its next start on.
    void setCapacity(std::size_t node, std::uint32_t capacity)
    {
        m_nodes[node].identity.capacity = capacity;
    }
    /// Starts a new process of each of these nodes at random within this time.
    void start(const std::vector<std::size_t> &nodes, milliseconds within);
    void startAll(milliseconds within);
    void kill(std::size_t node) { m_nodes[node].view.reset(); }
    void killAll();
    /// From now on datagrams pass only where `passes` says so; none: all do.
    void cut(std::function<bool(std::size_t from, std::size_t to)> passes)
    {
        m_passes = std::move(passes);
    }
    /// Lets time pass.
    void run(milliseconds time);
    /// Runs until every running node believes all running nodes alive and nobody else; gives the
    /// time it took, or `limit`.
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
    /// Most bytes that a node sent since the last call of `forgetTraffic`, headers included.
    [[nodiscard]] std::size_t mostBytesSent() const;
    [[nodiscard]] std::size_t meanBytesSent() const;
    /// The same of bytes that went to other data centres.
    [[nodiscard]] std::size_t meanBytesSentFar() const;
    /// From now on bytes are counted by kind of datagram, too, which takes reading each of them.
    void countKinds() { m_countsKinds = true; }
    /// What all nodes sent since the last call of `forgetTraffic`, by kind of datagram.
    [[nodiscard]] const std::map<gossip_kind, std::size_t> &bytesByKind() const
    {
        return m_bytesByKind;
    }
    void forgetTraffic();
    /// Cuts a data centre off from all others, or with none ends the cut.
    void cutOff(const std::optional<data_center_id> &dataCenter);
    /// How many of the running nodes elsewhere have lost a data centre.
    [[nodiscard]] std::size_t nodesThatLost(const data_center_id &dataCenter) const;

private:
    /// A node's way to the others for news.
    struct news_port
    {
        peer_fleet &fleet;
        std::size_t node;

        [[nodiscard]] const std::vector<vm_id> &newsReceivers()
        {
            return fleet.view(node).newsReceivers();
        }
        [[nodiscard]] bool relaysNews() { return fleet.view(node).relaysNews(); }
        void onUse(const data_center_id &which) { fleet.view(node).onUse(which); }
        void send(const vm_id &to, const peer_frame &frame) { fleet.sendNews(node, to, frame); }
    };
    struct fleet_node
    {
        peer_identity identity;
        std::unique_ptr<peer_view> view;
        std::unique_ptr<news_port> port;
        std::unique_ptr<reach_relay<news_port>> news;
        std::set<data_center_id> lost;
        std::size_t bytesSent = 0;
        std::size_t bytesSentFar = 0; ///< of these, to other data centres
        std::uint64_t starts = 0;
    };
    struct event
    {
        steady_time at;
        std::uint64_t order = 0; ///< events of one moment happen in the order they were made
        std::size_t node = 0;
        std::uint64_t start = 0; ///< of the process for which it is meant; 0: whichever runs
        std::size_t from = 0;
        std::string bytes; ///< empty: a tick, or news
        std::optional<peer_frame> news;
        bool starts = false;
        friend bool operator>(const event &left, const event &right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    [[nodiscard]] std::size_t meanOf(std::size_t fleet_node::*figure) const;
    void handle(const event &each);
    void carryOut(std::size_t from, const membership_actions &actions);
    void sendNews(std::size_t from, const vm_id &to, const peer_frame &frame);
    void followReach(fleet_node &node, membership_actions &actions);
    /// Counts what a node sends and has it arrive, where nothing is cut.
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
    std::function<bool(std::size_t from, std::size_t to)> m_passes;
};

} // namespace orchidlead::gateway
