#include "gateway/servers/leaving_relay.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

leaving_relay::leaving_relay(peer_network &peers, server_directory &directory,
                             std::function<void(const server_start &, const vm_id &from)> onHeard)
    : m_peers(peers)
    , m_directory(directory)
    , m_onHeard(std::move(onHeard))
{ }

void leaving_relay::onLeavingSaid(const server &which)
{
    tell({which.record.start()}, nullptr);
}

// Receivers that were never told anything get all that is known with the next tick.
void leaving_relay::tell(const std::vector<server_start> &news, const link_ptr &except)
{
    const peer_frame frame = leaving_servers_frame{news};
    for (const auto &[vm, told] : m_told) {
        if (told.link != except)
            told.link->send(frame);
    }
    tick();
}

void leaving_relay::tick()
{
    const auto &receivers = m_peers.newsReceivers();
    std::erase_if(m_told, [&](const auto &entry) {
        return std::ranges::find(receivers, entry.first) == receivers.end();
    });
    const auto known = m_directory.startsThatLeave();
    if (known.empty())
        return;
    const peer_frame frame = leaving_servers_frame{known};
    for (const auto &vm : receivers) {
        const auto member = m_peers.view().find(vm);
        const auto number = member ? member->incarnation : 0;
        const auto told = m_told.find(vm);
        if (told != m_told.end() && told->second.number == number)
            continue;
        if (const auto link = m_peers.linkTo(vm)) {
            link->send(frame);
            m_told[vm] = {number, link};
        }
    }
}

void leaving_relay::onFrame(const link_ptr &link, const peer_frame &frame)
{
    const auto *heard = std::get_if<leaving_servers_frame>(&frame);
    if (!heard)
        return;
    std::vector<server_start> news;
    for (const auto &each : heard->servers) {
        if (m_directory.onLeavingElsewhere(each))
            news.push_back(each);
    }
    if (news.empty())
        return;
    const auto from = m_peers.peerOf(link).value_or(vm_id{});
    for (const auto &each : news)
        m_onHeard(each, from);
    tell(news, link);
}

void leaving_relay::onLinkClosed(const link_ptr &link)
{
    std::erase_if(m_told, [&](const auto &entry) { return entry.second.link == link; });
}

} // namespace orchidlead::gateway
