#pragma once

#include "standins/fleet.h"
#include "standins/loop_driver.h"
#include "standins/process_group.h"
#include "standins/run_history.h"

#include <optional>
#include <string>
#include <vector>

namespace orchidlead::standins {

/// Where the programs are, where logs and settings are written, and what is published.
struct fleet_options
{
    std::string build; ///< build directory, with the stand-ins
    std::string daemon; ///< path of the daemon
    std::string work; ///< an empty directory
    std::string templatesAndCustomers; ///< YAML, see `configurationYaml`
    std::string moreSettings; ///< YAML that is added to the settings of each VM
};

/// Says at which step starting failed.
struct fleet_error
{
    std::string what;
};

/// Starts the processes of a fleet, and reaches their control addresses.
class fleet_runner
{
public:
    fleet_runner(loop_driver &driver, fleet_layout layout, fleet_options options);

    /// Starts the stand-ins; nothing is published yet.
    result<void, fleet_error> startStandIns(std::uint64_t seed);
    /// Starts the daemon of one VM; gives its process.
    result<pid_t, fleet_error> startVm(const std::string &name);
    /// Waits until each of these VMs says that it is ready.
    result<void, fleet_error> awaitReady(const std::vector<std::string> &names,
                                         std::chrono::milliseconds patience);

    /// Publishes the layout as it is now under the next version; gives the version.
    std::optional<std::uint64_t> publishConfiguration();
    /// Publishes any text under the next version.
    [[nodiscard]] bool publishText(const std::string &text);
    [[nodiscard]] bool publishVms();
    /// Replaces the faults of one backend server, or of all where `server` is empty.
    [[nodiscard]] bool setServerFaults(const std::string &server, const std::string &faults);
    /// Replaces the faults of a part of the platform: "configuration", "vms", or "" for both.
    [[nodiscard]] bool setPlatformFaults(const std::string &part, const std::string &faults);
    /// Reads everything that the backend servers ran.
    [[nodiscard]] std::optional<std::vector<run_record>> readRuns();
    [[nodiscard]] std::optional<Json::Value> readPlatformHistory();

    [[nodiscard]] fleet_layout &layout() { return m_layout; }
    [[nodiscard]] process_group &processes() { return m_processes; }
    [[nodiscard]] const fleet_vm *findVm(const std::string &name) const;
    [[nodiscard]] std::vector<socket_address> entries() const;
    [[nodiscard]] const socket_address &backendControl() const { return m_backendControl; }
    /// Where the platform listens, or is found by daemons that start from now on.
    [[nodiscard]] const fleet_platform &platform() const { return m_platform; }
    void setPlatform(const fleet_platform &platform) { m_platform = platform; }

private:
    result<Json::Value, fleet_error> startStandIn(const std::string &name,
                                                  const std::vector<std::string> &options);
    [[nodiscard]] std::string writeFile(const std::string &name, const std::string &text) const;

    loop_driver &m_driver;
    fleet_layout m_layout;
    fleet_options m_options;
    process_group m_processes;
    fleet_platform m_platform;
    socket_address m_platformControl;
    socket_address m_backendControl;
};

/// Gives each VM and backend server of the layout free ports on the loopback interface.
void assignPorts(fleet_layout &layout);

/// Makes an empty directory of its own for a run; throws where that fails.
[[nodiscard]] std::string makeWorkDirectory(const std::string &prefix);

} // namespace orchidlead::standins
