#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/servers/server_directory.h"

#include <orchidlead/ids.h>

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Something that servers report of themselves in responses and that nodes forward to each other:
/// a frame with the list `servers`, and how the directory keeps its items.
template <typename Word>
concept server_word = requires(server_directory &directory, const typename Word::item &item,
                               typename Word::frame f)
{
    {
        Word::all(directory)
        } -> std::same_as<std::vector<typename Word::item>>;
    {
        Word::apply(directory, item)
        } -> std::same_as<bool>; ///< whether it is new to this node
    {
        f.servers
        } -> std::same_as<std::vector<typename Word::item> &>;
};

/// Servers that have announced that they are leaving.
struct leaving_word
{
    using item = server_start;
    using frame = leaving_servers_frame;
    static std::vector<item> all(const server_directory &directory)
    {
        return directory.leavingStarts();
    }
    static bool apply(server_directory &directory, const item &reported)
    {
        return directory.onPeerReportedLeaving(reported);
    }
};

/// Servers that have reported that they are brittle.
struct brittle_word
{
    using item = brittle_server;
    using frame = brittle_servers_frame;
    static std::vector<item> all(const server_directory &directory)
    {
        return directory.brittleServers();
    }
    static bool apply(server_directory &directory, const item &reported)
    {
        return directory.onPeerReportedBrittle(reported);
    }
};

/// Exchanges with other nodes what servers have reported in responses.
///
/// A new item is forwarded to this node's receivers (`peer_view::broadcastTargets`) at once. A new
/// receiver gets the full list. Nothing is sent while there are no items.
template <server_word Word>
class server_word_relay
{
public:
    using item = typename Word::item;
    using report_handler = std::function<void(const item &, const vm_id &from)>;

    /// Calls `onPeerReport` for each item that is new to this node.
    server_word_relay(peer_network &peers, server_directory &directory, report_handler onPeerReport)
        : m_peers(peers)
        , m_directory(directory)
        , m_onPeerReport(std::move(onPeerReport))
    { }

    /// Called when a response to this node is the first to report the item.
    void onReported(const item &reported) { sendToReceivers({reported}, nullptr); }
    /// Sends the full list to new receivers; call about every 100 ms.
    void tick();
    /// Handles frames of this word; other frames are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link)
    {
        std::erase_if(m_notified, [&](const auto &entry) { return entry.second.link == link; });
    }

private:
    using link_ptr = std::shared_ptr<peer_link>;

    /// The incarnation of a receiver, and the link over which the full list was sent.
    struct notified_receiver
    {
        incarnation memberIncarnation = 0;
        link_ptr link;
    };

    void sendToReceivers(std::vector<item> newItems, const link_ptr &except);

    peer_network &m_peers;
    server_directory &m_directory;
    report_handler m_onPeerReport;
    std::map<vm_id, notified_receiver> m_notified;
};

// Receivers without an entry in `m_notified` get the full list from the next `tick()`.
template <server_word Word>
void server_word_relay<Word>::sendToReceivers(std::vector<item> newItems, const link_ptr &except)
{
    const peer_frame frame = typename Word::frame{std::move(newItems)};
    for (const auto &[vm, notified] : m_notified) {
        if (notified.link != except)
            notified.link->send(frame);
    }
    tick();
}

template <server_word Word>
void server_word_relay<Word>::tick()
{
    const auto &receivers = m_peers.broadcastTargets();
    std::erase_if(m_notified, [&](const auto &entry) {
        return std::ranges::find(receivers, entry.first) == receivers.end();
    });
    std::optional<peer_frame> full;
    for (const auto &vm : receivers) {
        const auto member = m_peers.view().find(vm);
        const auto memberIncarnation = member ? member->incarnation : 0;
        const auto notified = m_notified.find(vm);
        if (notified != m_notified.end() && notified->second.memberIncarnation == memberIncarnation)
            continue;
        if (!full) {
            auto all = Word::all(m_directory);
            if (all.empty())
                return;
            full = typename Word::frame{std::move(all)};
        }
        if (const auto link = m_peers.linkTo(vm)) {
            link->send(*full);
            m_notified[vm] = {memberIncarnation, link};
        }
    }
}

template <server_word Word>
void server_word_relay<Word>::onFrame(const link_ptr &link, const peer_frame &frame)
{
    const auto *received = std::get_if<typename Word::frame>(&frame);
    if (!received)
        return;
    std::vector<item> newItems;
    for (const auto &each : received->servers) {
        if (Word::apply(m_directory, each))
            newItems.push_back(each);
    }
    if (newItems.empty())
        return;
    const auto from = m_peers.peerOf(link).value_or(vm_id{});
    for (const auto &each : newItems)
        m_onPeerReport(each, from);
    sendToReceivers(std::move(newItems), link);
}

} // namespace orchidlead::gateway
