#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <optional>

namespace orchidlead {

/// How far a planned stop has come.
enum class stop_phase {
    Running,
    Noticing, ///< says that it isn't ready and still serves, so that the balancer notices
    Draining, ///< refuses new requests and finishes open ones
    Closing, ///< lets the last answers leave
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

/// How long the phases of a planned stop take at most.
struct planned_stop_options
{
    milliseconds notice{5000}; ///< longer than the balancer's check interval times its failures
    milliseconds drain{30000}; ///< or until the last deadline of an open request, if that is later
    milliseconds close{1000}; ///< for connections that are kept open by callers
};

/// What still holds a stop up.
struct stop_progress
{
    bool idle = false; ///< no request is open
    bool handedOver = false; ///< no key is left to hand over
    bool connectionsClosed = false;
    steady_time lastDeadline; ///< no open request's is later
};

/// Leads a node through its planned stop.
class planned_stop
{
public:
    planned_stop(const planned_stop_options &options, const clock_source &clock);

    /// Starts the stop; does nothing when it has started.
    void begin();
    /// Moves on where it is time; returns the new phase where it changed.
    std::optional<stop_phase> tick(const stop_progress &progress);

    [[nodiscard]] stop_phase phase() const { return m_phase; }
    [[nodiscard]] bool stopping() const { return m_phase != stop_phase::Running; }

private:
    [[nodiscard]] bool phaseOver(const stop_progress &progress) const;
    void enter(stop_phase phase);

    planned_stop_options m_options;
    const clock_source &m_clock;
    stop_phase m_phase = stop_phase::Running;
    steady_time m_entered;
};

} // namespace orchidlead
