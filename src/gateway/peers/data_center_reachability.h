#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// Next action on, or change of state of, a data centre that has been silent.
enum class reachability_event_type : std::uint8_t {
    ProbePeers, ///< send probes to nodes of the data centre
    ProbeServers, ///< open a connection to a backend server of the data centre
    Lost, ///< the data centre is considered unreachable from now on
    Regained, ///< a lost data centre is reachable again
};

struct reachability_event
{
    data_center_id dataCenter;
    reachability_event_type type = reachability_event_type::ProbePeers;
    std::size_t probeCount = 0; ///< how many nodes to probe
};

/// Detects which other data centres are unreachable, from any traffic of their nodes or servers.
///
/// A network partition cuts off all of a data centre at once. Detection server by server costs one
/// timeout per server, and the latency target of each request that waits there. Detection of the
/// whole data centre costs half a second. Data centres that this node exchanges work with are
/// probed within 150 ms of silence, others only after seconds. A data centre without any signal so
/// far is considered reachable.
class data_center_reachability
{
public:
    data_center_reachability(const clock_source &clock, data_center_id own);

    void onLivenessSignal(const data_center_id &from);
    /// Records that this node has requests open in the data centre, or sends one now.
    void onTraffic(const data_center_id &which);
    /// Returns the probes and state changes that are due; call about every 100 ms.
    [[nodiscard]] std::vector<reachability_event> tick();
    [[nodiscard]] bool isReachable(const data_center_id &which) const;
    /// Returns when a node or server of another data centre was last heard from; empty: never.
    [[nodiscard]] std::optional<steady_time> lastSignalFrom(const data_center_id &which) const;

private:
    struct state
    {
        steady_time lastSeen; ///< start of the silence; not before this node had work there
        steady_time lastSignalAt; ///< time of the last liveness signal
        steady_time activeUntil; ///< until then this node counts as having work there
        steady_time nextProbe;
        bool probed = false; ///< since the last liveness signal
        bool lost = false;
    };

    void compensateForPause();

    const clock_source &m_clock;
    data_center_id m_own;
    std::map<data_center_id, state> m_states;
    steady_time m_lastTick;
};

} // namespace orchidlead::gateway
