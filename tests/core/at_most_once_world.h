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

/// Several gates over a fake network, with callers who resend and faults from a list.
namespace orchidlead::testing {

/// A gate of any guards.
class any_gate
{
public:
    virtual ~any_gate() = default;
    virtual std::optional<std::string> mintTicket() = 0;
    virtual once_verdict onRequest(const once_request &request) = 0;
    virtual bool mayDispatch(record_handle record) const = 0;
    virtual void onDispatched(record_handle record) = 0;
    virtual void onFinished(record_handle record, const final_answer &answer) = 0;
    virtual void tick(std::vector<peer_message> &out) = 0;
    virtual void onPeerMessage(const vm_id &from, std::string_view bytes,
                               std::vector<peer_message> &out) = 0;
    virtual void setMembers(std::span<const member> members, steady_time confirmedAt) = 0;
    virtual void startLeaving() = 0;
    virtual bool handedOver() const = 0;
};

template <at_most_once_guards Guards>
class gate_of final : public any_gate
{
public:
    gate_of(const at_most_once_settings &settings, const clock_source &clock)
        : m_gate(settings, clock)
    { }

    std::optional<std::string> mintTicket() override { return m_gate.mintTicket(); }
    once_verdict onRequest(const once_request &r) override { return m_gate.onRequest(r); }
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
    void startLeaving() override { m_gate.startLeaving(); }
    bool handedOver() const override { return m_gate.handedOver(); }

private:
    basic_at_most_once<Guards> m_gate;
};

using gate_factory =
    std::function<std::unique_ptr<any_gate>(const at_most_once_settings &, const clock_source &)>;

template <at_most_once_guards Guards>
gate_factory gatesWith()
{
    return [](const at_most_once_settings &settings, const clock_source &clock) {
        return std::make_unique<gate_of<Guards>>(settings, clock);
    };
}

enum class fault_kind {
    Restart, ///< the process is killed, and a new one starts on the same VM
    Replace, ///< the VM is gone; another is listed in its place
    ReplaceCutOff, ///< as `Replace`, but the old VM goes on, cut off from all but callers
    ReplaceMost, ///< `ReplaceCutOff` for more than half of the VMs, which go on together
    Pause, ///< the process stands still, and then acts on what it has
    PauseBeforeSend, ///< as `Pause`, between the last check and the next send
    Cut, ///< the VMs are split into two sides
    CutFromPlatform, ///< the VM's list is not refreshed
    Leave, ///< planned stop
    SkewClock, ///< the time of day moves within the bound
};

inline constexpr int FaultKinds = 10;

struct fault
{
    fault_kind kind = fault_kind::Restart;
    std::uint32_t second = 0; ///< when
    std::uint32_t target = 0; ///< which VM, modulo their number
    std::uint32_t length = 0; ///< seconds
};

/// Times are a good deal shorter than the daemon's, in the same proportions.
struct world_settings
{
    std::uint64_t seed = 1;
    std::uint32_t seconds = 150;
    std::uint32_t vms = 4;
    std::uint32_t callsPerSecond = 8;
    double lossRate = 0.03;
    double doubleRate = 0.05;
    double slowRate = 0.03; ///< of messages between peers, delayed by up to two leases
    milliseconds maxRequestDelay{12'000}; ///< of a doubled or slow request
    std::vector<fault> faults;
};

/// What happened; `violation` is empty where every invariant held.
struct world_result
{
    std::string violation;
    std::uint64_t events = 0;
    std::uint64_t calls = 0;
    std::uint64_t runs = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t answersAgain = 0;
    std::uint64_t peerBytes = 0;
};

/// Runs one world to its end, or to the first broken invariant.
[[nodiscard]] world_result runWorld(const world_settings &settings, const gate_factory &makeGate);

} // namespace orchidlead::testing
