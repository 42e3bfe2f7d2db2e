#pragma once

#include "standins/demo_fleet.h"
#include "standins/fault_schedule.h"
#include "standins/fleet_runner.h"
#include "standins/history_checker.h"
#include "standins/load_caller.h"
#include "standins/peer_relay.h"
#include "standins/version_sampler.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::standins {

/// How long and how hard a run is.
struct prover_options
{
    std::string build;
    std::string daemon;
    std::uint64_t seed = 1;
    milliseconds length{45000};
    double requestsPerSecond = 40.0;
    milliseconds warmUp{0}; ///< age of the fleet before requests are sent
    std::optional<std::vector<disruption>> schedule; ///< in place of the drawn one
};

/// Starts a fleet in two data centres, sends requests, disrupts it as a schedule says, and collects
/// what all sides saw.
class prover
{
public:
    prover(net::event_loop &loop, const prover_options &options);

    result<void, fleet_error> start();
    result<void, fleet_error> run();

    [[nodiscard]] const run_evidence &evidence() const { return m_evidence; }
    [[nodiscard]] const std::vector<disruption> &schedule() const { return m_schedule; }
    [[nodiscard]] std::string logDirectory() { return m_fleet.processes().directory(); }
    [[nodiscard]] peer_relay::counts relayed() const { return m_relay->counted(); }

    void stop();

private:
    /// A VM whose process ends and is replaced.
    struct replacement
    {
        std::string vm;
        steady_time from;
        bool planned = false;
        bool started = false; ///< the new process runs, and isn't ready yet
    };

    [[nodiscard]] static fleet_options makeOptions(const prover_options &options);
    result<void, fleet_error> placeRelay();
    result<void, fleet_error> startVm(const std::string &name);
    [[nodiscard]] std::vector<disruption> drawDisruptions() const;

    void writeHistories();
    void disrupt(const disruption &one);
    void endDisruption(const disruption &one);
    void kill(const std::string &vm);
    void freeze(const std::string &vm);
    void thaw(const std::string &vm);
    void beginPlannedStop(const std::string &vm);
    void replace(const std::string &vm);
    void watchReplacements();
    void cut(const std::string &dataCenter);
    void heal(const std::string &dataCenter);
    void publish(disruption_kind kind);
    void letServerLeave(const std::string &server);
    void letServerReturn(const std::string &server);
    void setServerFaults(const std::string &server, const std::string &faults);
    void setPlatformFaults(const std::string &part, const std::string &faults);
    void note(bool done, const std::string &what);
    void disturb(const std::string &vm, steady_time from);

    net::event_loop &m_loop;
    prover_options m_options;
    system_clock_source m_clock;
    std::unique_ptr<net::http_client> m_client;
    loop_driver m_driver;
    fleet_runner m_fleet;
    std::unique_ptr<peer_relay> m_relay;
    version_sampler m_sampler;
    std::vector<disruption> m_schedule;
    std::vector<replacement> m_replacements;
    std::map<std::string, steady_time> m_frozen; // by VM
    std::map<std::string, steady_time> m_cutSince; // by data centre
    std::map<std::string, std::string> m_serverFaults; // by server
    run_evidence m_evidence;
    std::string m_failure; // of a control call
};

} // namespace orchidlead::standins
