#include "gateway/peers/peer_network.h"

#include <utility>

namespace orchidlead::gateway {

namespace {

constexpr milliseconds TickInterval{100};

peer_identity toIdentity(const gateway_settings &settings, std::uint64_t incarnation)
{
    constexpr double MillicoresPerCore = 1000.0;
    return {settings.vm,
            settings.dataCenter,
            settings.region,
            settings.listen.peers,
            incarnation,
            settings.firstContacts,
            static_cast<std::uint32_t>(settings.capacity * MillicoresPerCore)};
}

} // namespace

peer_network::peer_network(http::io_loop &loop, wire::log &log, const gateway_settings &settings,
                           std::uint64_t incarnation, peer_events events)
    : m_loop(loop)
    , m_log(log)
    , m_address(settings.listen.peers)
    , m_events(std::move(events))
    , m_view(loop.clock(), toIdentity(settings, incarnation), m_events.onHostChanged)
    , m_checksReachability(!settings.disabledPolicies.contains(policy::DataCenterReach))
{ }

peer_network::~peer_network()
{
    for (const auto &[peer, opened] : std::exchange(m_links, {}))
        opened.link->closeSilently();
    for (const auto &weak : m_accepted) {
        if (const auto link = weak.lock())
            link->closeSilently();
    }
}

std::optional<http::listen_error> peer_network::start()
{
    auto datagrams = http::datagram_socket::create(
        m_loop, m_address,
        [this](const socket_address &from, std::string_view bytes) { onDatagram(from, bytes); });
    if (!datagrams)
        return http::listen_error{datagrams.error().what};
    auto links = http::acceptor::create(
        m_loop, m_address,
        [this](std::shared_ptr<http::stream_socket> socket) { accept(std::move(socket)); });
    if (!links)
        return std::move(links).error();
    m_datagrams = std::move(datagrams).value();
    m_acceptor = std::move(links).value();
    tick();
    return std::nullopt;
}

void peer_network::tick()
{
    membership_actions actions;
    m_view.tick(actions);
    carryOut(actions);
    closeDeadLinks();
    updateReachability();
    m_loop.callAfter(TickInterval, [this] { tick(); });
}

void peer_network::onDatagram(const socket_address &from, std::string_view bytes)
{
    membership_actions actions;
    m_view.onDatagram(from, bytes, actions);
    carryOut(actions);
}

void peer_network::updateReachability()
{
    if (!m_checksReachability)
        return;
    membership_actions actions;
    const auto events = m_view.updateReachability(actions);
    carryOut(actions);
    for (const auto &event : events) {
        m_events.onReachability(event);
        if (event.type == reachability_event_type::Lost)
            closeLinksTo(event.dataCenter);
    }
}

// Closing the links makes requests that wait for an answer from the data centre fail over at once.
void peer_network::closeLinksTo(const data_center_id &dataCenter)
{
    std::vector<std::shared_ptr<peer_link>> links;
    for (const auto &[peer, opened] : m_links) {
        if (opened.dataCenter == dataCenter)
            links.push_back(opened.link);
    }
    for (const auto &link : links)
        link->close();
}

void peer_network::carryOut(const membership_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *datagram = std::get_if<gossip_datagram>(&action))
            m_datagrams->send(datagram->to, datagram->bytes);
        else if (const auto *change = std::get_if<member_changed>(&action))
            onMemberChanged(*change);
        else if (const auto *report = std::get_if<peer_report>(&action))
            m_events.onPeerVersion(report->vm, report->configuration.version);
        else if (const auto *pause = std::get_if<paused>(&action))
            m_log.write(
                wire::log_level::Warning, wire::node_event::PauseNoticed,
                std::to_string(std::chrono::duration_cast<milliseconds>(pause->duration).count())
                    + " ms");
    }
}

void peer_network::onMemberChanged(const member_changed &change)
{
    m_log.write(wire::log_level::Info, wire::node_event::MemberChanged,
                change.now.vm.vm.value + " " + std::string(toName(change.now.state)));
    m_view.onMemberChanged(change);
    if (change.now.state != member_state::Dead)
        return;
    m_deadMembers.insert(change.now.vm.vm);
    closeDeadLinks();
}

// Requests that wait for an answer of the member fail over when its link is closed.
void peer_network::closeDeadLinks()
{
    std::vector<std::shared_ptr<peer_link>> links;
    std::erase_if(m_deadMembers, [&](const vm_id &vm) {
        if (m_view.answersOnLink(vm))
            return false;
        const auto known = m_view.find(vm);
        const auto found = m_links.find(vm);
        if (found != m_links.end() && (!known || known->state == member_state::Dead))
            links.push_back(found->second.link);
        return true;
    });
    for (const auto &link : links)
        link->close();
}

std::shared_ptr<peer_link> peer_network::linkTo(const vm_id &peer)
{
    if (const auto found = m_links.find(peer); found != m_links.end()) {
        onTraffic(found->second.dataCenter);
        return found->second.link;
    }
    const auto known = m_view.find(peer);
    if (!known)
        return nullptr;
    const auto &dataCenter = known->vm.dataCenter;
    onTraffic(dataCenter);
    auto link = std::make_shared<peer_link>(m_loop, linkEvents(peer, dataCenter));
    m_links[peer] = {link, dataCenter};
    link->open(known->vm.peerAddress, m_connect);
    return link;
}

void peer_network::send(const vm_id &peer, const peer_frame &frame)
{
    if (const auto link = linkTo(peer))
        link->send(frame);
}

void peer_network::ping(const socket_address &address)
{
    membership_actions actions;
    m_view.ping(address, actions);
    carryOut(actions);
}

std::unique_ptr<connection_trial>
peer_network::tryConnect(const socket_address &address,
                         std::function<void(connect_result)> onResult)
{
    return std::make_unique<connection_trial>(m_loop, address, m_connect, std::move(onResult));
}

std::vector<relay_candidate> peer_network::relayCandidates(
    std::uint16_t port, const std::function<region_id(const data_center_id &)> &regionOf) const
{
    std::vector<relay_candidate> found;
    for (const auto &peer : m_view.peers()) {
        if (const auto known = m_view.find(peer); known && !known->vm.leaving)
            found.push_back({peer,
                             {known->vm.peerAddress.ip, port},
                             known->vm.dataCenter,
                             regionOf(known->vm.dataCenter)});
    }
    return found;
}

std::optional<vm_id> peer_network::peerOf(const std::shared_ptr<peer_link> &link) const
{
    for (const auto &[peer, each] : m_links) {
        if (each.link == link)
            return peer;
    }
    return std::nullopt;
}

peer_link::events peer_network::linkEvents(const vm_id &peer, const data_center_id &from)
{
    peer_link::events handlers;
    handlers.onFrame = [this, peer, from](const std::shared_ptr<peer_link> &link,
                                          peer_frame &&frame) {
        m_view.onLivenessSignalFrom(from);
        if (!peer.empty())
            m_view.onFrameFrom(peer);
        m_events.onFrame(link, std::move(frame));
    };
    handlers.onClosed = [this](const std::shared_ptr<peer_link> &link) {
        if (const auto closed = peerOf(link)) {
            avoidPeer(*closed);
            m_view.onLinkClosed(*closed);
            m_links.erase(*closed);
        }
        m_events.onLinkClosed(link);
    };
    return handlers;
}

void peer_network::accept(std::shared_ptr<http::stream_socket> socket)
{
    std::erase_if(m_accepted, [](const auto &weak) { return weak.expired(); });
    const auto link = std::make_shared<peer_link>(m_loop, linkEvents({}, {}));
    m_accepted.push_back(link);
    link->accept(std::move(socket));
}

void peer_network::announceLeaving()
{
    membership_actions actions;
    m_view.announceLeaving(actions);
    carryOut(actions);
}

void peer_network::announceStopped()
{
    membership_actions actions;
    m_view.announceStopped(actions);
    carryOut(actions);
}

} // namespace orchidlead::gateway
