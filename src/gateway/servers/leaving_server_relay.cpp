#include "gateway/servers/leaving_server_relay.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

leaving_server_relay::leaving_server_relay(
    peer_network &peers, server_directory &directory,
    std::function<void(const server_start &, const vm_id &from)> onPeerReport)
    : m_peers(peers)
    , m_directory(directory)
    , m_onPeerReport(std::move(onPeerReport))
{ }

void leaving_server_relay::onLeavingAnnounced(const server &backend)
{
    sendToReceivers({backend.record.start()}, nullptr);
}

// Receivers without an entry in `m_notified` get the full list from the next `tick()`.
void leaving_server_relay::sendToReceivers(const std::vector<server_start> &newlyLeaving,
                                           const link_ptr &except)
{
    const peer_frame frame = leaving_servers_frame{newlyLeaving};
    for (const auto &[vm, notified] : m_notified) {
        if (notified.link != except)
            notified.link->send(frame);
    }
    tick();
}

void leaving_server_relay::tick()
{
    const auto &receivers = m_peers.broadcastTargets();
    std::erase_if(m_notified, [&](const auto &entry) {
        return std::ranges::find(receivers, entry.first) == receivers.end();
    });
    const auto allLeaving = m_directory.leavingStarts();
    if (allLeaving.empty())
        return;
    const peer_frame frame = leaving_servers_frame{allLeaving};
    for (const auto &vm : receivers) {
        const auto member = m_peers.view().find(vm);
        const auto memberIncarnation = member ? member->incarnation : 0;
        const auto notified = m_notified.find(vm);
        if (notified != m_notified.end() && notified->second.memberIncarnation == memberIncarnation)
            continue;
        if (const auto link = m_peers.linkTo(vm)) {
            link->send(frame);
            m_notified[vm] = {memberIncarnation, link};
        }
    }
}

void leaving_server_relay::onFrame(const link_ptr &link, const peer_frame &frame)
{
    const auto *received = std::get_if<leaving_servers_frame>(&frame);
    if (!received)
        return;
    std::vector<server_start> newlyLeaving;
    for (const auto &each : received->servers) {
        if (m_directory.onPeerReportedLeaving(each))
            newlyLeaving.push_back(each);
    }
    if (newlyLeaving.empty())
        return;
    const auto from = m_peers.peerOf(link).value_or(vm_id{});
    for (const auto &each : newlyLeaving)
        m_onPeerReport(each, from);
    sendToReceivers(newlyLeaving, link);
}

void leaving_server_relay::onLinkClosed(const link_ptr &link)
{
    std::erase_if(m_notified, [&](const auto &entry) { return entry.second.link == link; });
}

} // namespace orchidlead::gateway
