#pragma once

#include "gateway/relay/relay_selector.h"
#include "gateway/servers/server_access.h"
#include "gateway/servers/server_directory.h"
#include "http/connection_pool.h"
#include "wire/log.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace orchidlead::gateway {

/// A call to a backend server.
struct server_call
{
    server_ptr server;
    http::outbound_call call;
    std::string request; ///< attempt of the client's request, for logs; empty: no single request
    bool repeatable = false; ///< may be sent again if it is left without answer
};

/// Sends the calls of this node to backend servers.
///
/// While this node is cut off from all servers, its peers relay the calls. A call that a relay
/// refused is sent to another one; a call that a server may have received is never sent again, and
/// its end says so.
class server_transport
{
public:
    using call_id = std::uint64_t;

    server_transport(http::io_loop &loop, http::connection_pool &pool, server_directory &directory,
                     const data_center_id &dataCenter, wire::log &log, std::uint32_t seed);

    /// Sets the function that returns the peers that may relay calls. Without it none does.
    void setRelays(std::function<std::vector<relay_candidate>()> relays)
    {
        m_findRelays = std::move(relays);
    }
    /// Starts a call. Reports no event before `start` returns.
    call_id start(server_call call);
    /// Starts a call that no other node relays, since it is relayed already.
    call_id startDirect(server_call call);
    /// Closes the call's connection; reports no further events of the call.
    void abandon(call_id call);
    /// Pauses or resumes reading a call's answer.
    void setReading(call_id call, bool reading);
    /// Opens a connection to a server and keeps it for later calls. Calls `onOutcome` once, after
    /// `probe` returns.
    void probe(const server_record &to, std::function<void(http::connect_outcome)> onOutcome);
    /// Probes servers when that is due; call about every 100 ms.
    void tick();

    [[nodiscard]] server_access_state access() const { return m_access.state(); }
    /// Whether a call was sent to its server directly, and no server has sent anything since this
    /// node was cut off: its connection is taken for dead.
    [[nodiscard]] bool isLost(call_id call) const;
    /// Returns the number of calls relayed for this node so far.
    [[nodiscard]] std::uint64_t relayedCalls() const { return m_relayedCalls; }
    /// Called after `access` has changed.
    void onAccessChanged(std::function<void(server_access_state)> handler)
    {
        m_onAccessChanged = std::move(handler);
    }

private:
    struct open_call
    {
        call_id id = 0;
        server_call wanted;
        bool mayBeRelayed = true;
        http::pool_call call = 0; ///< 0: waits for the round of connections
        http::timer_id slowTimer = 0;
        http::timer_id verdictTimer = 0;
        std::optional<http::connect_outcome> connectOutcome;
        bool written = false; ///< the head was requested from the owner
        std::string text; ///< head and body, until a relay has accepted them
        steady_time writtenAt{};
        std::optional<vm_id> relay; ///< that has the call
        steady_time relayedAt{};
        std::optional<relay_result> relayResult;
        std::uint32_t relaysTried = 0;
        std::vector<data_center_id> failedRelays; ///< where a relay was cut off or didn't answer
        bool awaitsAnswer = false; ///< sent, and nothing of its answer has arrived
    };
    using open_call_ptr = std::shared_ptr<open_call>;

    call_id add(server_call call, bool mayBeRelayed);
    void sendDirectly(const open_call_ptr &open);
    void onDirectEnd(const open_call_ptr &open, http::call_end how);
    /// Handles a connection that failed or takes long: waits for the round of connections, or has
    /// the call relayed.
    void onConnectTrouble(const open_call_ptr &open);
    void decideWaitingCalls();
    /// Has the call relayed, or ends it as not sent if that isn't allowed.
    void sendElsewhere(const open_call_ptr &open);
    void sendByRelay(const open_call_ptr &open);
    [[nodiscard]] http::outbound_call relayCall(const open_call_ptr &open,
                                                const relay_candidate &relay);
    [[nodiscard]] std::optional<std::string> writeRelayedHead(open_call &open);
    void onRelayEnd(const open_call_ptr &open, const relay_candidate &relay, http::call_end how);
    void refreshRelays();
    void cancelTimers(open_call &open);
    void onAnswerBytes(open_call &open);
    void stopAwaiting(open_call &open);
    void finish(const open_call_ptr &open, http::call_end how);
    /// Opens a connection. Calls `onFailure` at most once, also if it takes longer than usual.
    void connect(const server_record &to, std::function<void(http::connect_outcome)> onOutcome,
                 std::function<void()> onFailure);
    void onConnected();
    void onConnectFailure(const server_record &to);
    void startRound(const server_record &failed);
    /// Logs and reports the access if it has changed since the last call.
    void reportAccess();

    http::io_loop &m_loop;
    http::connection_pool &m_pool;
    server_directory &m_directory;
    data_center_id m_dataCenter;
    wire::log &m_log;
    server_access m_access;
    server_access_state m_reportedAccess = server_access_state::Reachable;
    std::unordered_map<call_id, open_call_ptr> m_calls;
    call_id m_lastCall = 0;
    std::vector<std::weak_ptr<open_call>> m_waiting; ///< for the round of connections
    relay_selector m_relays;
    steady_time m_relaysRefreshedAt{};
    std::uint64_t m_relayedCalls = 0;
    std::function<std::vector<relay_candidate>()> m_findRelays;
    std::function<void(server_access_state)> m_onAccessChanged;
};

} // namespace orchidlead::gateway
