#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <optional>

namespace orchidlead {

/// Phases of a planned stop.
enum class stop_phase {
    Running,
    /// Reports that the node isn't ready, so that the load balancer notices, and still serves.
    Noticing,
    /// Refuses new requests and finishes open ones.
    Draining,
    Closing, ///< waits for the last answers
    Stopped,
};

template <>
inline constexpr std::array enumNames<stop_phase>{
    enum_name<stop_phase>{stop_phase::Running, "running"},
    enum_name<stop_phase>{stop_phase::Noticing, "noticing"},
    enum_name<stop_phase>{stop_phase::Draining, "draining"},
    enum_name<stop_phase>{stop_phase::Closing, "closing"},
    enum_name<stop_phase>{stop_phase::Stopped, "stopped"},
};

/// Durations of the phases of a planned stop.
struct planned_stop_options
{
    /// How long the node reports that it isn't ready before it refuses requests. Must exceed the
    /// load balancer's check interval times its failure threshold.
    milliseconds notice{5000};
    /// Extended to the last deadline of an open request, if that is later.
    milliseconds drain{30000};
    milliseconds close{1000}; ///< for connections that callers keep open
};

/// What a stop still waits for.
struct stop_progress
{
    bool idle = false; ///< no request is open
    bool keysHandedOver = false; ///< no key is left to hand over
    bool connectionsClosed = false;
    steady_time lastDeadline; ///< no open request has a later one
};

/// State machine of a planned stop.
class planned_stop
{
public:
    planned_stop(const planned_stop_options &options, const clock_source &clock);

    /// Starts the stop; no effect if it has started.
    void begin();
    /// Enters the next phase if the current one is over, and returns it.
    std::optional<stop_phase> tick(const stop_progress &progress);

    [[nodiscard]] stop_phase phase() const { return m_phase; }
    [[nodiscard]] bool stopping() const { return m_phase != stop_phase::Running; }

private:
    [[nodiscard]] bool phaseOver(const stop_progress &progress) const;
    void enter(stop_phase phase);

    planned_stop_options m_options;
    const clock_source &m_clock;
    stop_phase m_phase = stop_phase::Running;
    steady_time m_phaseStart;
};

} // namespace orchidlead
