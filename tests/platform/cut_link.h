#pragma once

#include "http/acceptor.h"
#include "http/stream_socket.h"

#include <map>
#include <memory>
#include <set>

namespace orchidlead::platform_world {

/// How the connections of a gateway to backend servers behave during a cut.
enum class cut_kind {
    Reset, ///< open connections are reset, new ones refused
    Hang, ///< no byte passes in either direction, and new connections are never accepted
    RefuseNew, ///< open connections live on, new ones are refused
    Silent, ///< as `Hang`, but bytes that a server already received are still answered
};

/// The network between one gateway and the backend servers: a loopback proxy that can be cut.
class cut_link
{
public:
    explicit cut_link(http::io_loop &loop);
    ~cut_link();
    cut_link(const cut_link &) = delete;
    cut_link &operator=(const cut_link &) = delete;

    /// Excepts all addresses with this port from cuts.
    void except(std::uint16_t port) { m_excepted.insert(port); }
    /// Returns the function with which the gateway opens connections.
    [[nodiscard]] http::connect_function opener();

    /// Returns the address at which programs in other processes reach `to` through this link.
    [[nodiscard]] socket_address addressFor(const socket_address &to);

    void cut(cut_kind kind);
    /// Ends the cut; bytes that were held up are delivered.
    void heal();

private:
    class pipe;
    class proxy;

    [[nodiscard]] std::shared_ptr<http::stream_socket>
    open(http::io_loop &loop, const socket_address &to, http::stream_events &events);

    [[nodiscard]] proxy &proxyFor(const socket_address &to);
    static void applyCut(pipe &cutOff, cut_kind kind);

    http::io_loop &m_loop;
    std::set<std::uint16_t> m_excepted; ///< ports
    std::map<socket_address, std::unique_ptr<proxy>> m_proxies; ///< by the server's address
    std::vector<std::weak_ptr<pipe>> m_pipes;
    std::optional<cut_kind> m_cut;
};

} // namespace orchidlead::platform_world
