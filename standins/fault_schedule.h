#pragma once

#include "standins/faults.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orchidlead::standins {

using std::chrono::milliseconds;

/// What the prover does to a fleet.
enum class disruption_kind {
    KillVm, ///< SIGKILL; then another process takes the VM's place
    FreezeVm, ///< SIGSTOP, for longer than every timeout; then SIGCONT
    StopVm, ///< a planned stop; then another process takes the VM's place
    CutDataCenter, ///< from the others and from the platform
    PlatformDown, ///< configuration service and VM list refuse connections
    PlatformHangs, ///< they accept and never answer
    ConfigurationStale, ///< the service shows an older version
    Publish, ///< a new configuration
    PublishRacing, ///< two new configurations at once
    PublishInvalid, ///< a configuration that must be refused
    ServerLeaves, ///< a backend server
    ServerFails, ///< a backend server, in the way that `serverFault` says
};

/// One disruption, with when it begins and how long it lasts.
struct disruption
{
    disruption_kind kind = disruption_kind::Publish;
    milliseconds at{0}; ///< since the start
    milliseconds length{0};
    std::string target; ///< VM, data centre or backend server
    fault_kind serverFault = fault_kind::Slow;
};

/// What may be disrupted.
struct disruption_targets
{
    std::vector<std::vector<std::string>> vmsOfDataCenters;
    std::vector<std::string> dataCenters; ///< that may be cut
    std::vector<std::string> servers;
};

/// Draws disruptions, in order of their beginning. In each lane (the VMs of a data centre, links,
/// platform, publications, backend servers) there is one at a time; lanes overlap as they like.
/// The same seed gives the same schedule.
[[nodiscard]] std::vector<disruption> drawSchedule(const disruption_targets &targets,
                                                   milliseconds length, std::uint64_t seed);

} // namespace orchidlead::standins

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::disruption_kind>{
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::KillVm, "kill"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::FreezeVm, "freeze"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::StopVm, "planned_stop"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::CutDataCenter, "cut_data_center"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::PlatformDown, "platform_down"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::PlatformHangs, "platform_hangs"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::ConfigurationStale, "configuration_stale"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::Publish, "publish"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::PublishRacing, "publish_racing"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::PublishInvalid, "publish_invalid"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::ServerLeaves, "server_leaves"},
    orchidlead::enum_name<orchidlead::standins::disruption_kind>{
        orchidlead::standins::disruption_kind::ServerFails, "server_fails"},
};
