#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace orchidlead::gateway {

/// What is to be done about a data centre of which nothing was heard for a while.
enum class reach_step : std::uint8_t {
    AskPeers, ///< probe its nodes
    AskServers, ///< and open a connection to one of its servers
    Lost, ///< it counts as cut off from now on
    Regained, ///< it answered
};

struct reach_event
{
    data_center_id dataCenter;
    reach_step step = reach_step::AskPeers;
    std::size_t peers = 0; ///< how many nodes to probe
};

/// Tells which other data centres this node reaches, by any sign of life of their nodes or servers.
///
/// A cut takes all of a data centre at once. Noticed server by server it costs each of them a
/// timeout, and each request that waits there its aim; noticed as a whole it costs half a second.
/// Data centres where this node has work are looked into at once, others after seconds. One that
/// was never heard of counts as reached.
class data_center_reach
{
public:
    data_center_reach(const clock_source &clock, data_center_id own);

    void onHeard(const data_center_id &from);
    /// This node has work there, or sends some now.
    void onUse(const data_center_id &which);
    /// Gives what is due now; call every 100 ms or so.
    [[nodiscard]] std::vector<reach_event> tick();
    [[nodiscard]] bool reaches(const data_center_id &which) const;

private:
    struct state
    {
        steady_time heard;
        steady_time usedUntil; ///< this node has work there until then
        steady_time nextAsk;
        bool asked = false; ///< since something was last heard
        bool lost = false;
    };

    void forgivePause();

    const clock_source &m_clock;
    data_center_id m_own;
    std::map<data_center_id, state> m_states;
    steady_time m_lastTick;
};

} // namespace orchidlead::gateway
