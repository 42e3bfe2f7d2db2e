#pragma once

#include "gateway/peers/peer_frames.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <concepts>
#include <map>
#include <vector>

namespace orchidlead::gateway {

/// A network that sends broadcasts to other nodes.
template <class Network>
concept broadcast_network = requires(Network &network, const vm_id &to, const peer_frame &frame,
                                     const data_center_id &dataCenter)
{
    {
        network.broadcastTargets()
        } -> std::convertible_to<std::vector<vm_id>>;
    {
        network.isBroadcastRelay()
        } -> std::same_as<bool>;
    network.send(to, frame);
    network.onTraffic(dataCenter);
};

/// Broadcasts which data centres this node has lost, and has this node check those that peers lost.
///
/// Nodes that have work in a data centre detect its loss within half a second, others only after
/// seconds. The fault may be the detecting node's own link, so receivers do not adopt the report:
/// each starts probing the data centre at once.
template <broadcast_network Network>
class lost_data_center_relay
{
public:
    lost_data_center_relay(Network &network, const clock_source &clock)
        : m_network(network)
        , m_clock(clock)
    { }

    /// Broadcasts that this node has lost the data centre.
    void onLost(const data_center_id &which) { broadcast(which); }

    /// Handles a frame about a lost data centre; ignores other frames. A node that is no broadcast
    /// relay does not forward the frame: the relay that sent it sends it to all other nodes, too.
    void onFrame(const peer_frame &frame)
    {
        const auto *notice = std::get_if<lost_data_center_frame>(&frame);
        if (!notice)
            return;
        m_network.onTraffic(notice->dataCenter);
        if (m_network.isBroadcastRelay())
            broadcast(notice->dataCenter);
        else
            m_lastBroadcast[notice->dataCenter] = m_clock.now();
    }

private:
    /// All nodes lose a data centre at about the same time, so one broadcast is enough.
    static constexpr milliseconds RebroadcastInterval{2000};

    void broadcast(const data_center_id &which)
    {
        const auto now = m_clock.now();
        const auto [last, isFirst] = m_lastBroadcast.try_emplace(which, now);
        if (!isFirst && now - last->second < RebroadcastInterval)
            return;
        last->second = now;
        for (const auto &vm : m_network.broadcastTargets())
            m_network.send(vm, lost_data_center_frame{which});
    }

    Network &m_network;
    const clock_source &m_clock;
    std::map<data_center_id, steady_time> m_lastBroadcast;
};

} // namespace orchidlead::gateway
