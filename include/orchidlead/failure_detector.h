#pragma once

#include <orchidlead/clock.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace orchidlead {

/// What is known when an attempt's silence is judged.
struct silence_view
{
    std::chrono::microseconds typical{0}; ///< median time of such an attempt
    std::chrono::microseconds tail{0}; ///< 99th percentile; 0: nothing seen yet
    std::chrono::microseconds slack{0}; ///< time left for this stage and a second try of it
    double suspectedShare = 0.0; ///< of the pool
};

/// After how much silence an attempt's backend server is suspected.
template <class Policy>
concept silence_threshold = std::default_initializable<Policy> && requires(const Policy &policy,
                                                                           const silence_view &view)
{
    {
        policy.after(view)
        } -> std::convertible_to<std::chrono::microseconds>;
};

/// Suspects after a fixed multiple of the usual tail.
struct fixed_silence_threshold
{
    [[nodiscard]] std::chrono::microseconds after(const silence_view &view) const;
};

/// Suspects earlier where more is at risk: where little slack is left, and where more of the
/// pool is already suspected; later where little is at risk.
struct risk_aware_silence_threshold
{
    [[nodiscard]] std::chrono::microseconds after(const silence_view &view) const;
};

struct failure_detector_settings
{
    std::uint32_t failuresToEject = 3; ///< in a row
    std::chrono::milliseconds firstEjection{1000};
    std::chrono::milliseconds longestEjection{30'000};
    double maxEjectedShare = 0.34; ///< of the pool; a pool of one is never ejected
};

enum class server_health { Healthy, Ejected, Probing };

/// What an event changed.
enum class health_change { None, Ejected, Restored };

/// Ejects members of one pool that fail several times in a row, for doubling times, and takes
/// them back after a successful probe. Never ejects more than a share of the pool: beyond that
/// the fault is likely not the members'.
class failure_detector
{
public:
    explicit failure_detector(const failure_detector_settings &settings = {});

    /// Tells which slots are members now; new ones are healthy, kept ones keep their health.
    void setMember(std::uint32_t slot, bool member);

    [[nodiscard]] health_change onSuccess(std::uint32_t slot);
    [[nodiscard]] health_change onFailure(std::uint32_t slot, steady_time now);

    /// Lets slots whose ejection is over be probed; returns them.
    [[nodiscard]] std::vector<std::uint32_t> takeDue(steady_time now);
    [[nodiscard]] std::optional<steady_time> nextDue() const;

    [[nodiscard]] server_health health(std::uint32_t slot) const { return m_slots[slot].health; }
    [[nodiscard]] double suspectedShare() const;

private:
    struct slot_state
    {
        bool member = false;
        server_health health = server_health::Healthy;
        std::uint32_t failures = 0; ///< in a row
        std::uint32_t ejections = 0; ///< in a row, for the doubling
        steady_time until{};
    };

    void eject(slot_state &state, steady_time now);

    failure_detector_settings m_settings;
    std::vector<slot_state> m_slots;
    std::uint32_t m_members = 0;
    std::uint32_t m_suspected = 0; ///< ejected or being probed
};

static_assert(silence_threshold<fixed_silence_threshold>);
static_assert(silence_threshold<risk_aware_silence_threshold>);

} // namespace orchidlead
