#pragma once

#include "gateway/gateway_metrics.h"
#include "gateway/peers/peer_network.h"
#include "gateway/servers/pool_splitter.h"
#include "gateway/stages/piece_redirection.h"
#include "gateway/stages/pool_load_table.h"
#include "wire/log.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Exchanges the loads of the pools hosted here with the hosts of the other pools of their
/// services, and keeps what is needed to decide on redirections.
class pool_redirector
{
public:
    /// Functions of the node that the redirector uses.
    struct callbacks
    {
        std::function<vm_id(const pool_key &)> hostOf;
        std::function<pool_load(const pool_key &)> loadOf; ///< of a pool hosted here
    };

    pool_redirector(const clock_source &clock, wire::log &log, gateway_metrics &metrics,
                    peer_network &peers, const server_directory &directory, pool_splitter &splitter,
                    callbacks node);

    /// Returns the pools that pieces waiting in a pool may be redirected to; empty if this node
    /// doesn't host the pool.
    [[nodiscard]] std::vector<redirection_target> targetsOf(const pool_key &pool);
    /// Returns whether pieces may be sent to a pool: a server there accepts calls of this node and
    /// isn't cold.
    [[nodiscard]] bool isOpen(const pool_key &pool) const;
    /// Records pieces that a pool hosted here has redirected.
    void onRedirected(const pool_key &from, const std::vector<piece_redirection> &redirections);
    /// Records a redirected piece that arrived at a pool hosted here.
    void onReceived(const pool_key &by, const data_center_id &from);
    /// Records a redirected piece that this node returned to its pool.
    void onReturned(const pool_key &pool);
    /// Sends the load of a pool to the hosts of the other pools if a report is due. `waiting` is
    /// its number of pieces, `fullCall` that of a full call.
    void report(const pool_key &pool, std::size_t waiting, std::uint32_t fullCall);
    void onFrame(const std::shared_ptr<peer_link> &link, const pool_load_frame &frame);

private:
    /// What was redirected from one pool to another since the last line of the log.
    struct unlogged
    {
        steady_time loggedAt{};
        std::size_t decisions = 0;
        std::size_t pieces = 0;
        std::size_t groups = 0;
    };

    /// Returns whether this node hosts a pool and no other node may.
    [[nodiscard]] bool isOnlyHost(const pool_key &pool) const;
    void log(const pool_key &from, const piece_redirection &redirection);

    const clock_source &m_clock;
    wire::log &m_log;
    gateway_metrics &m_metrics;
    peer_network &m_peers;
    const server_directory &m_directory;
    pool_splitter &m_splitter;
    callbacks m_node;
    pool_load_table m_table;
    std::map<std::pair<pool_key, pool_key>, unlogged> m_unlogged;
};

} // namespace orchidlead::gateway
