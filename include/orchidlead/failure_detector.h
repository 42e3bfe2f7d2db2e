#pragma once

#include <orchidlead/clock.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace orchidlead {

/// Inputs to the time-out after which the server of an unanswered attempt is suspected.
struct suspicion_input
{
    std::chrono::microseconds medianTime{0}; ///< median duration of such an attempt
    std::chrono::microseconds tail{0}; ///< 99th percentile; 0: no samples yet
    /// Time left for this stage and a retry of it.
    std::chrono::microseconds slack{0};
    double suspectedShare = 0.0; ///< fraction of the pool
};

/// Time without an answer after which an attempt's backend server is suspected.
template <class Policy>
concept suspicion_timeout_policy = std::default_initializable<Policy> && requires(
    const Policy &policy, const suspicion_input &view)
{
    {
        policy.suspicionTimeout(view)
        } -> std::convertible_to<std::chrono::microseconds>;
};

/// A fixed multiple of the tail latency.
struct fixed_suspicion_timeout
{
    [[nodiscard]] std::chrono::microseconds suspicionTimeout(const suspicion_input &view) const;
};

/// Shorter when more is at risk: when little slack is left, and when a larger fraction of the pool
/// is already suspected.
struct risk_aware_suspicion_timeout
{
    [[nodiscard]] std::chrono::microseconds suspicionTimeout(const suspicion_input &view) const;
};

struct failure_detector_settings
{
    std::uint32_t failuresToEject = 3; ///< consecutive
    std::chrono::milliseconds firstEjection{1000};
    std::chrono::milliseconds longestEjection{30'000};
    /// Fraction of the pool. The only server of a pool is never ejected.
    double maxEjectedShare = 0.34;
};

enum class server_health { Healthy, Ejected, Probing };

/// Effect of an event on the health of a server.
enum class health_change { None, Ejected, Restored };

/// Ejects members of one pool after consecutive failures, with exponential backoff, and restores
/// them after a successful probe. Ejects at most a fraction of the pool: if more members fail, the
/// cause is probably not in the members.
class failure_detector
{
public:
    explicit failure_detector(const failure_detector_settings &settings = {});

    /// Adds or removes a member. A new member is healthy; an existing one keeps its health.
    void setMember(std::uint32_t slot, bool member);

    [[nodiscard]] health_change onSuccess(std::uint32_t slot);
    [[nodiscard]] health_change onFailure(std::uint32_t slot, steady_time now);

    /// Starts probing the slots whose ejection has ended, and returns them.
    [[nodiscard]] std::vector<std::uint32_t> startDueProbes(steady_time now);
    [[nodiscard]] std::optional<steady_time> nextProbeAt() const;

    [[nodiscard]] server_health health(std::uint32_t slot) const { return m_slots[slot].health; }
    [[nodiscard]] double suspectedShare() const;

private:
    struct slot_state
    {
        bool member = false;
        server_health health = server_health::Healthy;
        std::uint32_t failures = 0; ///< consecutive
        std::uint32_t ejections = 0; ///< consecutive, for the backoff
        steady_time ejectedUntil{};
    };

    void eject(slot_state &state, steady_time now);

    failure_detector_settings m_settings;
    std::vector<slot_state> m_slots;
    std::uint32_t m_members = 0;
    std::uint32_t m_suspected = 0; ///< ejected or probing
};

static_assert(suspicion_timeout_policy<fixed_suspicion_timeout>);
static_assert(suspicion_timeout_policy<risk_aware_suspicion_timeout>);

} // namespace orchidlead
