#pragma once

#include "gateway/peers/peer_frames.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <concepts>
#include <map>
#include <vector>

namespace orchidlead::gateway {

/// The other nodes, as far as news go to them.
template <class Network>
concept news_network = requires(Network &network, const vm_id &to, const peer_frame &frame,
                                const data_center_id &dataCenter)
{
    {
        network.newsReceivers()
        } -> std::convertible_to<std::vector<vm_id>>;
    {
        network.relaysNews()
        } -> std::same_as<bool>;
    network.send(to, frame);
    network.onUse(dataCenter);
};

/// Tells other nodes which data centres this node has lost, and looks into those that others lost.
///
/// A data centre is lost within half a second by nodes that have work there, and by others only
/// after seconds. What one node loses may be its own link, so the others don't believe it: each
/// looks for itself, and at once.
template <news_network Network>
class reach_relay
{
public:
    reach_relay(Network &network, const clock_source &clock)
        : m_network(network)
        , m_clock(clock)
    { }

    /// This node has lost that data centre.
    void onLost(const data_center_id &which) { tell(which); }

    /// A frame about a lost data centre; others are ignored. Who isn't a relay of news was told by
    /// one, which tells all others, too.
    void onFrame(const peer_frame &frame)
    {
        const auto *heard = std::get_if<lost_data_center_frame>(&frame);
        if (!heard)
            return;
        m_network.onUse(heard->dataCenter);
        if (m_network.relaysNews())
            tell(heard->dataCenter);
        else
            m_toldAt[heard->dataCenter] = m_clock.now();
    }

private:
    /// All nodes lose a data centre at about the same time: what the first of them tells is enough.
    static constexpr milliseconds TellAgain{2000};

    void tell(const data_center_id &which)
    {
        const auto now = m_clock.now();
        const auto [told, isFirst] = m_toldAt.try_emplace(which, now);
        if (!isFirst && now - told->second < TellAgain)
            return;
        told->second = now;
        for (const auto &vm : m_network.newsReceivers())
            m_network.send(vm, lost_data_center_frame{which});
    }

    Network &m_network;
    const clock_source &m_clock;
    std::map<data_center_id, steady_time> m_toldAt;
};

} // namespace orchidlead::gateway
