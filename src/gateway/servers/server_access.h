#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

namespace orchidlead::gateway {

/// Whether this node can open connections to backend servers.
enum class server_access_state : std::uint8_t {
    Reachable,
    Checking, ///< a connection failed, and a round of connections to other servers is open
    CutOff, ///< all connections of a round failed
};

/// Detects that this node is cut off from all backend servers, while its peers may still reach
/// them.
///
/// A connection that fails may be the fault of its server, of a service or of a data centre. A
/// round of connections to servers of other services and data centres tells these cases apart: any
/// success shows that this node is not cut off. Does no I/O itself.
class server_access
{
public:
    explicit server_access(const clock_source &clock);

    [[nodiscard]] server_access_state state() const { return m_state; }

    /// Records that a connection to a server was opened.
    void onConnected();
    /// Records that a connection to the server could not be opened, or not within the usual time.
    /// Returns whether the caller is to open a round of connections now and call `onRoundStarted`.
    [[nodiscard]] bool onConnectFailure(const backend_server_id &server);
    /// Records the number of connections of the round. Without any, nothing can be concluded.
    void onRoundStarted(std::size_t connections);
    /// Records that a connection of the round failed.
    void onRoundFailure();

    /// Records that a call was sent and its answer is awaited.
    void onCallSent();
    /// Records that an awaited answer began, or that its call ended without one.
    void onCallEnded();
    /// Records bytes of any server.
    void onReceived() { m_lastReceivedAt = m_clock.now(); }
    /// Whether nothing has arrived from any server since the failure that led to the current state.
    [[nodiscard]] bool silentSinceFailure() const { return m_lastReceivedAt < m_firstFailureAt; }

    /// Returns whether the caller is to open one connection now: to find out whether this node is
    /// still cut off, or why no server answers. Call about every 100 ms.
    [[nodiscard]] bool isProbeDue();

private:
    const clock_source &m_clock;
    server_access_state m_state = server_access_state::Reachable;
    std::set<backend_server_id> m_failed; ///< servers that failed since the last success
    std::size_t m_roundConnections = 0; ///< connections of the round that are still open
    steady_time m_roundEndedAt;
    steady_time m_firstFailureAt; ///< since the last success
    steady_time m_lastReceivedAt;
    std::size_t m_awaitedAnswers = 0;
    steady_time m_awaitingSince;
    steady_time m_nextProbeAt;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::server_access_state>{
    orchidlead::enum_name<orchidlead::gateway::server_access_state>{
        orchidlead::gateway::server_access_state::Reachable, "reachable"},
    orchidlead::enum_name<orchidlead::gateway::server_access_state>{
        orchidlead::gateway::server_access_state::Checking, "checking"},
    orchidlead::enum_name<orchidlead::gateway::server_access_state>{
        orchidlead::gateway::server_access_state::CutOff, "cut_off"},
};
