#include "bench/fleet/peer_fleet.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace orchidlead::gateway {

namespace {

constexpr std::size_t MaxFirstContacts = 3; ///< first contacts in the settings of each node
constexpr milliseconds TickInterval{100};
constexpr std::size_t DatagramHeaderBytes = 28;
constexpr std::size_t LinkHeaderBytes = 40;
constexpr std::uint16_t FirstPort = 1000;

} // namespace

peer_fleet::peer_fleet(std::size_t nodes, std::size_t dataCenters, std::uint32_t seed)
    : m_random(seed)
    , m_nodes(nodes)
{
    std::vector<socket_address> contacts;
    for (std::size_t i = 0; i < nodes; ++i) {
        auto &identity = m_nodes[i].identity;
        identity.dataCenter = data_center_id("dc-" + std::to_string(i % dataCenters));
        identity.vm = vm_id("edge-" + identity.dataCenter.value + "-" + std::to_string(i));
        identity.region = region_id("r");
        identity.address = {"10.0.0.1", static_cast<std::uint16_t>(FirstPort + i)};
        if (contacts.size() < MaxFirstContacts)
            contacts.push_back(identity.address);
    }
    for (auto &each : m_nodes)
        each.identity.firstContacts = contacts;
}

milliseconds peer_fleet::draw(milliseconds least, milliseconds most)
{
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random)};
}

void peer_fleet::push(event each)
{
    each.order = ++m_order;
    m_events.push(std::move(each));
}

void peer_fleet::start(const std::vector<std::size_t> &nodes, milliseconds within)
{
    for (const auto node : nodes) {
        event begin;
        begin.at = m_clock.now() + draw(milliseconds{0}, within);
        begin.node = node;
        begin.starts = true;
        push(std::move(begin));
    }
}

void peer_fleet::startAll(milliseconds within)
{
    std::vector<std::size_t> all(m_nodes.size());
    std::iota(all.begin(), all.end(), 0);
    start(all, within);
}

void peer_fleet::killAll()
{
    for (auto &each : m_nodes)
        each.view.reset();
}

void peer_fleet::run(milliseconds time)
{
    const auto end = m_clock.now() + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto each = m_events.top();
        m_events.pop();
        m_clock.advance(each.at - m_clock.now());
        handle(each);
    }
    m_clock.advance(end - m_clock.now());
}

void peer_fleet::handle(const event &each)
{
    auto &target = m_nodes[each.node];
    membership_actions actions;
    if (each.starts) {
        target.identity.incarnation = ++target.starts * m_nodes.size() + each.node;
        target.view = std::make_unique<peer_view>(m_clock, target.identity,
                                                  [](const pool_key &, const vm_id &) {});
        target.port = std::make_unique<broadcast_port>(broadcast_port{*this, each.node});
        target.relay =
            std::make_unique<lost_data_center_relay<broadcast_port>>(*target.port, m_clock);
        target.lost.clear();
    }
    if (!target.view || (each.start != 0 && each.start != target.starts))
        return;
    if (each.notice) {
        target.relay->onFrame(*each.notice);
        return;
    }
    if (!each.bytes.empty()) {
        target.view->onDatagram(m_nodes[each.from].identity.address, each.bytes, actions);
    } else {
        target.view->tick(actions);
        updateReachability(target, actions);
        event next;
        next.at = m_clock.now() + TickInterval;
        next.node = each.node;
        next.start = target.starts;
        push(std::move(next));
    }
    carryOut(each.node, actions);
}

void peer_fleet::countKind(std::string_view datagram, std::size_t bytes)
{
    if (const auto message = decodeGossip(datagram))
        m_bytesByKind[message.value().kind] += bytes;
}

void peer_fleet::carryOut(std::size_t from, const membership_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *change = std::get_if<member_changed>(&action))
            m_nodes[from].view->onMemberChanged(*change);
        const auto *datagram = std::get_if<gossip_datagram>(&action);
        if (!datagram)
            continue;
        const auto to = static_cast<std::size_t>(datagram->to.port - FirstPort);
        const auto bytes = datagram->bytes.size() + DatagramHeaderBytes;
        if (m_countsKinds)
            countKind(datagram->bytes, bytes);
        event arrival;
        arrival.bytes = datagram->bytes;
        deliver(from, to, bytes, std::move(arrival));
    }
}

void peer_fleet::deliver(std::size_t from, std::size_t to, std::size_t bytes, event arrival)
{
    m_nodes[from].bytesSent += bytes;
    if (dataCenterOf(from) != dataCenterOf(to))
        m_nodes[from].bytesSentToOtherDataCenters += bytes;
    if (m_canDeliver && !m_canDeliver(from, to))
        return;
    arrival.at = m_clock.now() + draw(milliseconds{1}, milliseconds{4});
    arrival.node = to;
    arrival.from = from;
    push(std::move(arrival));
}

void peer_fleet::sendBroadcast(std::size_t from, const vm_id &to, const peer_frame &frame)
{
    const auto known = m_nodes[from].view->find(to);
    if (!known)
        return;
    event arrival;
    arrival.notice = frame;
    deliver(from, static_cast<std::size_t>(known->vm.peerAddress.port - FirstPort),
            encodeFrame(frame).size() + LinkHeaderBytes, std::move(arrival));
}

void peer_fleet::updateReachability(fleet_node &node, membership_actions &actions)
{
    for (const auto &each : node.view->updateReachability(actions)) {
        if (each.type == reachability_event_type::Regained)
            node.lost.erase(each.dataCenter);
        if (each.type != reachability_event_type::Lost)
            continue;
        node.lost.insert(each.dataCenter);
        node.relay->onLost(each.dataCenter);
    }
}

std::size_t peer_fleet::countNodesWithLost(const data_center_id &dataCenter) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_nodes, [&](const fleet_node &each) {
        return each.view && each.lost.contains(dataCenter);
    }));
}

bool peer_fleet::agreed() const
{
    const auto running = static_cast<std::size_t>(
        std::ranges::count_if(m_nodes, [](const auto &each) { return each.view != nullptr; }));
    return std::ranges::all_of(m_nodes, [&](const auto &each) {
        return !each.view || each.view->peers().size() + 1 == running;
    });
}

milliseconds peer_fleet::runUntilAgreed(milliseconds limit)
{
    constexpr milliseconds Step{100};
    milliseconds taken{0};
    while (taken < limit) {
        run(Step);
        taken += Step;
        if (agreed())
            return taken;
    }
    return limit;
}

std::size_t peer_fleet::maxBytesSent() const
{
    return std::ranges::max_element(m_nodes, {}, &fleet_node::bytesSent)->bytesSent;
}

std::size_t peer_fleet::meanOf(std::size_t fleet_node::*counter) const
{
    std::size_t sum = 0;
    for (const auto &each : m_nodes)
        sum += each.*counter;
    return sum / m_nodes.size();
}

std::size_t peer_fleet::meanBytesSent() const
{
    return meanOf(&fleet_node::bytesSent);
}

std::size_t peer_fleet::meanBytesSentToOtherDataCenters() const
{
    return meanOf(&fleet_node::bytesSentToOtherDataCenters);
}

void peer_fleet::partition(const std::optional<data_center_id> &dataCenter)
{
    if (!dataCenter) {
        cut({});
        return;
    }
    cut([this, lost = *dataCenter](std::size_t from, std::size_t to) {
        return (dataCenterOf(from) == lost) == (dataCenterOf(to) == lost);
    });
}

void peer_fleet::resetTraffic()
{
    m_bytesByKind.clear();
    for (auto &each : m_nodes) {
        each.bytesSent = 0;
        each.bytesSentToOtherDataCenters = 0;
    }
}

} // namespace orchidlead::gateway
