#pragma once

#include "gateway/codec.h"
#include "gateway/relay/relay_fields.h"
#include "gateway/servers/server_directory.h"
#include "gateway/servers/server_transport.h"
#include "http/listener.h"
#include "wire/log.h"

#include <memory>
#include <set>
#include <string>

namespace orchidlead::gateway {

/// Sends calls to backend servers for peers that are cut off from them.
///
/// The peer has chosen the server. This node sends the call only if the server may get one from
/// this node, and records what the answer says of the server. A relayed call is never relayed
/// again.
template <gateway_codec Codec>
class call_relay
{
public:
    call_relay(http::io_loop &loop, server_transport &transport, server_directory &directory,
               wire::log &log);
    /// Disconnects the calls in progress from this object.
    ~call_relay();
    call_relay(const call_relay &) = delete;
    call_relay &operator=(const call_relay &) = delete;

    [[nodiscard]] std::optional<http::listen_error> start(const socket_address &at);
    /// Refuses further calls, and closes connections after their present answers.
    void stop();
    /// Ends the calls on connections that are dead since this node was cut off from all servers, so
    /// that the peers may send them again. Those that must not be repeated keep waiting.
    void onServersCutOff();
    /// Closes idle connections of peers.
    void closeIdle(milliseconds minIdleTime);
    /// Returns the number of relayed calls without a complete answer.
    [[nodiscard]] std::size_t active() const { return m_shared->answering; }
    /// Returns the number of calls relayed so far.
    [[nodiscard]] std::uint64_t relayed() const { return m_relayed; }

private:
    struct relayed_call
    {
        http::inbound_ptr peer;
        http::request_head head;
        std::string attempt; ///< echoed by the server; empty for stage calls
        relay_order order;
        server_ptr server;
        server_transport::call_id call = 0;
        steady_time arrivedAt;
        bool withheld = false; ///< the server may no longer get the call
        int status = 0;
    };
    using relayed_call_ptr = std::shared_ptr<relayed_call>;

    void onRequest(const http::inbound_ptr &peer, http::request_head &&head, std::string &&body);
    [[nodiscard]] std::optional<relay_result> refusalFor(const server_ptr &to,
                                                         const relay_order &order) const;
    void send(const relayed_call_ptr &relayed, std::string &&body);
    [[nodiscard]] std::optional<std::string> writeHead(relayed_call &relayed) const;
    void onHead(const relayed_call_ptr &relayed, const http::response_head &head);
    void onBody(const relayed_call_ptr &relayed, std::string_view bytes);
    void onEnd(const relayed_call_ptr &relayed, http::call_end how);
    void abandon(const relayed_call_ptr &relayed);
    /// Removes a call that has ended from the calls in progress.
    void release(const relayed_call_ptr &relayed);
    void logEnd(const relayed_call &relayed, std::string_view how);

    http::io_loop &m_loop;
    server_transport &m_transport;
    server_directory &m_directory;
    wire::log &m_log;
    std::shared_ptr<http::inbound_shared> m_shared;
    std::unique_ptr<http::listener> m_listener;
    std::set<relayed_call_ptr> m_open;
    std::uint64_t m_relayed = 0;
    bool m_stopping = false;
};

} // namespace orchidlead::gateway

#include "gateway/relay/call_relay_impl.h"
