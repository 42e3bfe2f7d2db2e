#pragma once

#include "core/once/at_most_once.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A deterministic simulation of several gates on a fake network, with callers that resend and with
/// a list of injected faults.
namespace orchidlead::testing {

/// Interface of a gate, whichever guards it has.
class any_gate
{
public:
    virtual ~any_gate() = default;
    virtual std::optional<std::string> mintTicket() = 0;
    virtual at_most_once_verdict onRequest(const non_repeatable_request &request) = 0;
    virtual bool mayDispatch(record_handle record) const = 0;
    virtual void onDispatched(record_handle record) = 0;
    virtual void onFinished(record_handle record, const final_answer &answer) = 0;
    virtual void tick(std::vector<peer_message> &out) = 0;
    virtual void onPeerMessage(const vm_id &from, std::string_view bytes,
                               std::vector<peer_message> &out) = 0;
    virtual void setMembers(std::span<const member> members, steady_time confirmedAt) = 0;
    virtual void startKeyHandover() = 0;
    virtual bool keysHandedOver() const = 0;
};

template <at_most_once_guards Guards>
class gate_adapter final : public any_gate
{
public:
    gate_adapter(const at_most_once_settings &settings, const clock_source &clock)
        : m_gate(settings, clock)
    { }

    std::optional<std::string> mintTicket() override { return m_gate.mintTicket(); }
    at_most_once_verdict onRequest(const non_repeatable_request &r) override
    {
        return m_gate.onRequest(r);
    }
    bool mayDispatch(record_handle r) const override { return m_gate.mayDispatch(r); }
    void onDispatched(record_handle r) override { m_gate.onDispatched(r); }
    void onFinished(record_handle r, const final_answer &a) override { m_gate.onFinished(r, a); }
    void tick(std::vector<peer_message> &out) override { m_gate.tick(out); }
    void onPeerMessage(const vm_id &from, std::string_view bytes,
                       std::vector<peer_message> &out) override
    {
        m_gate.onPeerMessage(from, bytes, out);
    }
    void setMembers(std::span<const member> members, steady_time confirmedAt) override
    {
        m_gate.setMembers(members, confirmedAt);
    }
    void startKeyHandover() override { m_gate.startKeyHandover(); }
    bool keysHandedOver() const override { return m_gate.keysHandedOver(); }

private:
    basic_at_most_once<Guards> m_gate;
};

using gate_factory =
    std::function<std::unique_ptr<any_gate>(const at_most_once_settings &, const clock_source &)>;

template <at_most_once_guards Guards>
gate_factory makeGateFactory()
{
    return [](const at_most_once_settings &settings, const clock_source &clock) {
        return std::make_unique<gate_adapter<Guards>>(settings, clock);
    };
}

enum class fault_kind {
    Restart, ///< the process is killed and restarted on the same VM
    Replace, ///< the VM stops; another is listed in its place
    /// As `Replace`, but the old VM continues to run, and only callers can reach it.
    ReplaceIsolated,
    /// As `ReplaceIsolated` for more than half of the VMs, which can still reach each other.
    ReplaceMajority,
    /// The process is paused, and processes all pending events when it resumes.
    Pause,
    /// As `Pause`, between the check before the next send and the send.
    PauseBeforeSend,
    Partition, ///< the VMs are split into two sides
    PlatformUnreachable, ///< the VM list of the node is not refreshed
    Leave, ///< planned stop
    SkewClock, ///< the wall clock changes within the bound
};

inline constexpr int FaultKindCount = 10;

struct fault
{
    fault_kind kind = fault_kind::Restart;
    std::uint32_t second = 0; ///< seconds from the start
    std::uint32_t target = 0; ///< VM index modulo the number of VMs
    std::uint32_t length = 0; ///< seconds
};

/// Leases, windows and other times are shorter than the daemon's, in similar proportions.
struct simulation_settings
{
    std::uint64_t seed = 1;
    std::uint32_t seconds = 150;
    std::uint32_t vms = 4;
    std::uint32_t callsPerSecond = 8;
    double lossRate = 0.03;
    double duplicationRate = 0.05;
    /// Rate of peer messages that are delayed by up to 6 s, three times the lease.
    double delayRate = 0.03;
    milliseconds maxRequestDelay{12'000}; ///< of a duplicated request
    std::vector<fault> faults;
};

/// Counts of a simulation. `violation` is empty if every invariant held.
struct simulation_result
{
    std::string violation;
    std::uint64_t events = 0;
    std::uint64_t calls = 0;
    std::uint64_t runs = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t repeatedAnswers = 0;
    std::uint64_t peerBytes = 0;
};

/// Runs a simulation to its end or to the first violated invariant.
[[nodiscard]] simulation_result runSimulation(const simulation_settings &settings,
                                              const gate_factory &makeGate);

} // namespace orchidlead::testing
