#include "daemon/control_shell.h"

#include <array>
#include <string>
#include <utility>

namespace orchidlead::daemon {

namespace {

constexpr milliseconds TickInterval{50};

struct datagram_mark
{
    datagram_kind kind;
    std::string_view mark;
};

// Gossip is packed and begins with a number or an array, never with these letters.
constexpr std::array DatagramMarks{
    datagram_mark{datagram_kind::Gate, "OLG1"},
    datagram_mark{datagram_kind::ServerNews, "OLL1"},
};

} // namespace

control_shell::control_shell(net::event_loop &loop, net::http_client &client,
                             const clock_source &clock, control_shell_options options,
                             control_events events)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_parser(loop)
    , m_control(m_options.control, clock,
                [this](std::uint64_t version, std::string_view content) {
                    return m_parser.resultOf(version, content);
                })
    , m_service(client, {m_options.configurationService})
    , m_vmList(loop, client, clock, {m_options.vmList}, m_options.vmListWatch,
               {[this](const wire::vm_list &list) {
                    m_listVersion = list.version;
                    feed([&](auto &out) { m_control.setVmList(list.version, list.vms, out); });
                },
                [this](steady_time) {
                    feed([&](auto &out) { m_control.onListConfirmed(m_listVersion, out); });
                },
                {}})
{ }

control_shell::~control_shell()
{
    m_loop.cancelTimer(m_timer);
}

result<void, net::net_error> control_shell::start()
{
    auto socket = net::udp_socket::create(
        m_loop, m_options.peerListen,
        [this](const socket_address &from, std::string_view bytes) { onDatagram(from, bytes); });
    if (!socket)
        return failure(std::move(socket).error());
    m_socket = std::move(socket).value();
    m_vmList.start();
    tick();
    return success();
}

void control_shell::onDatagram(const socket_address &from, std::string_view bytes)
{
    for (const auto &[kind, mark] : DatagramMarks) {
        if (bytes.starts_with(mark)) {
            m_events.onDatagram(kind, from, bytes.substr(mark.size()));
            return;
        }
    }
    feed([&](auto &out) { m_control.onDatagram(from, bytes, out); });
}

void control_shell::sendDatagram(datagram_kind kind, const socket_address &to,
                                 std::string_view bytes)
{
    std::string datagram;
    for (const auto &[known, mark] : DatagramMarks) {
        if (known == kind)
            datagram = mark;
    }
    datagram += bytes;
    if (m_socket)
        m_socket->send(to, datagram);
}

void control_shell::detectPause()
{
    feed([&](auto &out) { m_control.detectPause(out); });
}

void control_shell::announceLeaving()
{
    feed([&](auto &out) { m_control.announceLeaving(out); });
}

void control_shell::announceStopped()
{
    feed([&](auto &out) { m_control.announceStopped(out); });
}

void control_shell::onPeerContent(const vm_id &vm, std::uint64_t version, std::string content)
{
    m_parser.parse(version, std::move(content), [this, vm, version](std::string parsed) {
        feed([&](auto &out) { m_control.onPeerContent(vm, version, std::move(parsed), out); });
    });
}

void control_shell::onPeerFailed(const vm_id &vm)
{
    feed([&](auto &out) { m_control.onPeerFailed(vm, out); });
}

void control_shell::carryOut(const control_actions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &typed) { perform(typed); }, action);
}

void control_shell::perform(const gossip_datagram &action)
{
    if (m_socket)
        m_socket->send(action.to, action.bytes);
}

void control_shell::perform(const fetch_from_service &action)
{
    m_service.read({action.after, action.wait}, [this, call = action.call](auto outcome) {
        onServiceResult(call, std::move(outcome));
    });
}

void control_shell::onServiceResult(service_call_id call,
                                    wire::configuration_service_client::outcome_type outcome)
{
    if (!outcome) {
        feed([&](auto &out) { m_control.onConfigurationServiceFailed(call, out); });
    } else if (auto &read = outcome.value()) {
        const std::uint64_t version = read->version;
        m_parser.parse(
            version, std::move(read->content), [this, call, version](std::string parsed) {
                feed([&](auto &out) {
                    m_control.onConfigurationServiceRead(call, version, std::move(parsed), out);
                });
            });
    } else {
        feed([&](auto &out) { m_control.onConfigurationServiceUnchanged(call, out); });
    }
}

void control_shell::perform(const adopt_configuration<published_configuration> &action)
{
    m_events.onConfiguration(action);
}

void control_shell::perform(const reject_configuration &action)
{
    m_events.onRefused(action);
}

void control_shell::perform(const configuration_event_report &action)
{
    m_events.onConfigurationReport(action);
}

void control_shell::perform(const members_updated &action)
{
    m_events.onMembers(action);
}

void control_shell::perform(const member_changed &action)
{
    m_events.onMemberChanged(action);
}

void control_shell::perform(const paused &action)
{
    m_vmList.restart();
    m_events.onPaused(action);
}

void control_shell::perform(const superseded &action)
{
    m_events.onSuperseded(action);
}

void control_shell::perform(const fetch_from_peer &action)
{
    m_events.fetchFromPeer(action);
}

void control_shell::tick()
{
    feed([&](auto &out) { m_control.tick(out); });
    m_timer = m_loop.callAfter(TickInterval, [this] { tick(); });
}

} // namespace orchidlead::daemon
