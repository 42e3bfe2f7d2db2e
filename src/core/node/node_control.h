#pragma once

#include "core/configuration/published_configuration.h"

#include <orchidlead/clock.h>
#include <orchidlead/configuration_manager.h>
#include <orchidlead/ids.h>
#include <orchidlead/membership.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orchidlead {

using published_configuration_manager = configuration_manager<published_configuration>;

/// Action: the members changed, or the platform confirmed its VM list again.
struct members_updated
{
    std::vector<member> members;
    steady_time vmListConfirmedAt;
};

using control_action =
    std::variant<gossip_datagram, member_changed, paused, superseded, members_updated,
                 fetch_from_service, fetch_from_peer, adopt_configuration<published_configuration>,
                 reject_configuration, configuration_event_report>;
using control_actions = std::vector<control_action>;

/// Settings of `node_control`.
struct control_options
{
    membership_options members;
    configuration_manager_options manager;
};

/// Connects membership and the configuration manager, which decides which published configuration
/// is in force on the node: reports from gossip go to the manager, and the manager's decisions are
/// sent with the gossip. Deterministic, without I/O.
class node_control
{
public:
    node_control(const control_options &options, const clock_source &clock,
                 published_configuration_manager::validator validate);

    void setVmList(std::uint64_t version, const std::vector<listed_vm> &vms, control_actions &out);
    /// Records the platform's confirmation that its VM list still has this version.
    void onListConfirmed(std::uint64_t version, control_actions &out);
    void onDatagram(const socket_address &from, std::string_view bytes, control_actions &out);

    void onConfigurationServiceRead(service_call_id call, std::uint64_t version,
                                    std::string content, control_actions &out);
    void onConfigurationServiceUnchanged(service_call_id call, control_actions &out);
    void onConfigurationServiceFailed(service_call_id call, control_actions &out);
    void onPeerContent(const vm_id &vm, std::uint64_t version, std::string content,
                       control_actions &out);
    void onPeerFailed(const vm_id &vm, control_actions &out);

    /// Runs due timers; call every 50 to 100 ms.
    void tick(control_actions &out);
    /// Detects a pause of the process, that is, a time in which it did not run; call before acting
    /// on state that may be from before the pause.
    void detectPause(control_actions &out);

    void announceLeaving(control_actions &out);
    void announceStopped(control_actions &out);

    /// Whether a configuration is in force that peers or the configuration service confirmed since
    /// the start and since the last pause of the process.
    [[nodiscard]] bool readyToServe() const { return m_manager.readyToServe(); }
    [[nodiscard]] const published_configuration_manager &manager() const { return m_manager; }
    [[nodiscard]] const membership &members() const { return m_members; }

private:
    void handleActions(const membership_actions &actions, control_actions &out);
    void handleActions(published_configuration_manager::actions &actions, control_actions &out);
    void reportMembers(control_actions &out);
    [[nodiscard]] steady_time confirmedAt() const;

    /// Runs one input of the membership and handles its actions.
    template <class Input>
    void feedMembers(Input &&input, control_actions &out)
    {
        membership_actions actions;
        input(actions);
        handleActions(actions, out);
    }

    /// Runs one input of the manager and handles its actions.
    template <class Input>
    void feedManager(Input &&input, control_actions &out)
    {
        published_configuration_manager::actions actions;
        input(actions);
        handleActions(actions, out);
    }

    membership m_members;
    published_configuration_manager m_manager;
    steady_time m_reportedConfirmation;
};

} // namespace orchidlead
