#pragma once

#include "core/node/node_control.h"
#include "daemon/configuration_parser.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/udp_socket.h"
#include "wire/configuration_service_client.h"
#include "wire/vm_list_client.h"

#include <orchidlead/clock.h>
#include <orchidlead/result.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace orchidlead::daemon {

/// Where a node finds the platform and listens for its peers.
struct control_shell_options
{
    control_options control;
    socket_address peerListen;
    socket_address configurationService;
    socket_address vmList;
    wire::published_watch_options vmListWatch;
};

/// What shares the gossip port with the gossip.
enum class datagram_kind {
    Gate, ///< a message of the at-most-once gate
    ServerNews, ///< which backend servers are leaving or back
};

/// What the control part reports to the rest of the daemon.
struct control_events
{
    std::function<void(const adopt_configuration<published_configuration> &)> onConfiguration;
    std::function<void(const reject_configuration &)> onRefused;
    std::function<void(const configuration_event_report &)> onConfigurationReport;
    std::function<void(const members_updated &)> onMembers;
    std::function<void(const member_changed &)> onMemberChanged;
    std::function<void(const paused &)> onPaused;
    std::function<void(const superseded &)> onSuperseded;
    std::function<void(const fetch_from_peer &)> fetchFromPeer;
    /// A datagram that isn't gossip, without its mark.
    std::function<void(datagram_kind kind, const socket_address &from, std::string_view bytes)>
        onDatagram;
};

/// Feeds gossip, the platform's documents and the time into the control part, and carries out what
/// it decides.
class control_shell
{
public:
    control_shell(net::event_loop &loop, net::http_client &client, const clock_source &clock,
                  control_shell_options options, control_events events);
    ~control_shell();
    control_shell(const control_shell &) = delete;
    control_shell &operator=(const control_shell &) = delete;

    /// Binds the gossip port and begins to read what the platform publishes.
    [[nodiscard]] result<void, net::net_error> start();

    /// Notices a pause of the process; to be called before a request is taken.
    void detectPause();
    void announceLeaving();
    void announceStopped();
    /// Sends a datagram that isn't gossip from the gossip port.
    void sendDatagram(datagram_kind kind, const socket_address &to, std::string_view bytes);
    void onPeerContent(const vm_id &vm, std::uint64_t version, std::string content);
    void onPeerFailed(const vm_id &vm);

    [[nodiscard]] const node_control &state() const { return m_control; }
    [[nodiscard]] const wire::read_counts &configurationReads() const { return m_service.counts(); }
    [[nodiscard]] const wire::read_counts &vmListReads() const { return m_vmList.counts(); }

private:
    void carryOut(const control_actions &actions);
    void perform(const gossip_datagram &action);
    void perform(const fetch_from_service &action);
    void perform(const adopt_configuration<published_configuration> &action);
    void perform(const reject_configuration &action);
    void perform(const configuration_event_report &action);
    void perform(const members_updated &action);
    void perform(const member_changed &action);
    void perform(const paused &action);
    void perform(const superseded &action);
    void perform(const fetch_from_peer &action);
    void onServiceResult(service_call_id call,
                         wire::configuration_service_client::outcome_type outcome);
    void onDatagram(const socket_address &from, std::string_view bytes);
    void tick();

    template <class Event>
    void feed(Event &&event)
    {
        control_actions actions;
        event(actions);
        carryOut(actions);
    }

    net::event_loop &m_loop;
    const control_shell_options m_options;
    control_events m_events;
    configuration_parser m_parser;
    node_control m_control;
    wire::configuration_service_client m_service;
    wire::vm_list_watch m_vmList;
    std::unique_ptr<net::udp_socket> m_socket;
    std::uint64_t m_listVersion = 0;
    net::timer_id m_timer = 0;
};

} // namespace orchidlead::daemon
