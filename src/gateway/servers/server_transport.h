#pragma once

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
};

/// Sends the calls of this node to backend servers, and detects when the node is cut off from them.
class server_transport
{
public:
    using call_id = std::uint64_t;

    server_transport(http::io_loop &loop, http::connection_pool &pool, server_directory &directory,
                     const data_center_id &dataCenter, wire::log &log);

    /// Starts a call. Reports no event before `start` returns.
    call_id start(server_call call);
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
    /// Called after `access` has changed.
    void onAccessChanged(std::function<void(server_access_state)> handler)
    {
        m_onAccessChanged = std::move(handler);
    }

private:
    struct open_call
    {
        server_call wanted;
        http::pool_call call = 0;
        bool awaitsAnswer = false; ///< sent, and nothing of its answer has arrived
    };
    using open_call_ptr = std::shared_ptr<open_call>;

    void sendDirectly(call_id id, const open_call_ptr &open);
    void onAnswerBytes(open_call &open);
    void stopAwaiting(open_call &open);
    void onCallEnd(call_id id, http::call_end how);
    void onConnect(const server_record &to, http::connect_outcome outcome);
    void startRound(const server_record &failed);
    void reportAccess(server_access_state before);

    http::io_loop &m_loop;
    http::connection_pool &m_pool;
    server_directory &m_directory;
    data_center_id m_dataCenter;
    wire::log &m_log;
    server_access m_access;
    std::unordered_map<call_id, open_call_ptr> m_calls;
    call_id m_lastCall = 0;
    std::function<void(server_access_state)> m_onAccessChanged;
};

} // namespace orchidlead::gateway
